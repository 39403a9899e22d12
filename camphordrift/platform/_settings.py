"""Parses the JSON settings file that the platform gives each process."""

import os
from pathlib import Path
from typing import Annotated, Optional

import msgspec

from camphordrift.platform._addresses import MAX_PORT, parse_address
from camphordrift.platform._caller_socket import SETTINGS_PATH_VARIABLE
from camphordrift.platform._json import Amount, PositiveAmount, PositiveCount, decode_json
from camphordrift.relay import Address, RelaySettings, RetryBudgetSettings

_MS_PER_SECOND = 1000.0

_BYTES_PER_MB = 1e6

_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


class _Section(msgspec.Struct, rename="pascal", frozen=True):
    """Base class of all sections; unknown fields are ignored."""


class _Listen(_Section, frozen=True):
    #: Address for callers.
    front: str
    #: Address at which the platform checks whether this VM accepts new connections.
    readiness_addr: str
    control: Optional[str] = None


class _Bounds(_Section, frozen=True):
    #: Seconds from SIGTERM to SIGKILL.
    grace_s: Amount = 8.0
    #: Milliseconds after which a revoked API key must be rejected.
    revoke_ms: Amount = 5000.0
    #: Milliseconds after which a new configuration must be in force.
    config_apply_ms: Amount = 2000.0
    #: Milliseconds after which no request may be sent to an evacuated zone; absent if there are no
    #: evacuations.
    evacuate_ms: Optional[Amount] = None
    retry_budget_ratio: Amount = 0.2
    budget_window_s: PositiveAmount = 10.0
    #: Retries that all VMs together may make in each window in addition to the ratio.
    retry_slack: Amount = 100.0


class _Store(_Section, frozen=True):
    address: str


class _MachineLimits(_Section, frozen=True):
    #: Share of a core's time that the VM gets.
    cpu_share: PositiveAmount = 1.0
    #: Speed of the core relative to a standard core.
    cpu_cores: PositiveAmount = 1.0
    link_mbps: PositiveAmount = 1000.0
    memory_mb: PositiveAmount = 160.0
    max_fds: PositiveCount = 4100


class _Settings(_Section, frozen=True):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    #: First and last port for traffic between VMs.
    port_range: tuple[_Port, _Port]
    platform: _Store
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()


_decoder = msgspec.json.Decoder(_Settings)


def load_settings() -> RelaySettings:
    """Loads the settings file whose path is in the environment.

    Raises:
        ValueError: The content is malformed; the message names the field.
        OSError: The file cannot be read.

    """
    content = Path(os.environ[SETTINGS_PATH_VARIABLE]).read_bytes()
    return decode_settings(content)


def decode_settings(content: bytes) -> RelaySettings:
    """Parses the content of a settings file.

    Raises:
        ValueError: The content is malformed; the message names the field.

    """
    parsed = decode_json(_decoder, content)
    return RelaySettings(
        vm=parsed.node_name,
        zone=parsed.zone,
        callers=parse_address(parsed.listen.front),
        readiness=parse_address(parsed.listen.readiness_addr),
        peers=Address(parsed.ip, parsed.port_range[0]),
        metrics=Address(parsed.ip, _METRICS_PORT),
        store=parse_address(parsed.platform.address),
        shutdown_grace_period=parsed.bounds.grace_s,
        key_revocation_delay=parsed.bounds.revoke_ms / _MS_PER_SECOND,
        configuration_apply_delay=parsed.bounds.config_apply_ms / _MS_PER_SECOND,
        budget=RetryBudgetSettings(
            ratio=parsed.bounds.retry_budget_ratio,
            slack=parsed.bounds.retry_slack,
            window=parsed.bounds.budget_window_s,
        ),
        evacuation_delay=_seconds(parsed.bounds.evacuate_ms),
        cores=parsed.limits.cpu_share * parsed.limits.cpu_cores,
        link_mbps=parsed.limits.link_mbps,
        max_descriptors=parsed.limits.max_fds,
        memory_bytes=parsed.limits.memory_mb * _BYTES_PER_MB,
    )


#: Port of the metrics endpoint; deploy/system.toml declares it to the platform.
_METRICS_PORT = 9464


def _seconds(milliseconds: Optional[float]) -> Optional[float]:
    return None if milliseconds is None else milliseconds / _MS_PER_SECOND
