"""The settings file that the platform gives each process."""

import os
from pathlib import Path
from typing import Optional

import msgspec

from camphordrift.relay import Address, RelaySettings, RetryBudgetSettings

#: Environment variable with the path of the settings file.
_PATH_VARIABLE = "CAMPHORDRIFT_SETTINGS"

_MS = 1000.0


class _Section(msgspec.Struct, rename="pascal", frozen=True):
    """Base of all sections; unknown fields are ignored."""


class _Listen(_Section, frozen=True):
    #: Where callers connect.
    front: str
    #: Where the platform asks whether this VM takes new connections.
    readiness_addr: str
    control: Optional[str] = None


class _Bounds(_Section, frozen=True):
    #: Seconds from SIGTERM to SIGKILL.
    grace_s: float = 8.0
    #: Milliseconds after which a withdrawn key must not work.
    revoke_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    #: Repeats of all VMs together in a window, besides the ratio.
    retry_slack: float = 100.0


class _Store(_Section, frozen=True):
    address: str


class _MachineLimits(_Section, frozen=True):
    #: Part of a core's time, and how many times as fast as a plain one the core is.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    link_mbps: float = 1000.0


class _Settings(_Section, frozen=True):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    #: First and last port that are free for traffic between VMs.
    port_range: tuple[int, int]
    platform: _Store
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()


def load_settings() -> RelaySettings:
    """Reads the settings file that the environment names.

    Raises:
        ValueError: The file cannot be read as settings; the message names the field.
        OSError: There is no such file.

    """
    content = Path(os.environ[_PATH_VARIABLE]).read_bytes()
    return decode_settings(content)


def decode_settings(content: bytes) -> RelaySettings:
    """Reads the content of a settings file."""
    read = msgspec.json.decode(content, type=_Settings)
    return RelaySettings(
        vm=read.node_name,
        zone=read.zone,
        callers=_address(read.listen.front),
        readiness=_address(read.listen.readiness_addr),
        peers=Address(read.ip, read.port_range[0]),
        metrics=Address(read.ip, _METRICS_PORT),
        store=_address(read.platform.address),
        shutdown_grace_period=read.bounds.grace_s,
        key_revocation_delay=read.bounds.revoke_ms / _MS,
        budget=RetryBudgetSettings(
            ratio=read.bounds.retry_budget_ratio,
            slack=read.bounds.retry_slack,
            window=read.bounds.budget_window_s,
        ),
        cores=read.limits.cpu_share * read.limits.cpu_cores,
        link_mbps=read.limits.link_mbps,
    )


#: Port of the metrics page; deploy/system.toml names it to the platform.
_METRICS_PORT = 9464


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
