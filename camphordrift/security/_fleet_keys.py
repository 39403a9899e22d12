"""Fleet keys, with which the VMs of one fleet authenticate to each other, and their rotation.

To rotate the key without interruption: append the new key on every VM, move it to the front on
every VM, then remove the old key on every VM. A step may take any time, since all listed keys are
accepted.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Failure, Result, Success

from camphordrift.security._keys import MAX_KEY_CHARACTERS
from camphordrift.settings import KeySources

#: Minimum length of a fleet key, in characters. ``camphordrift keygen fleet`` makes longer ones.
MIN_FLEET_KEY_CHARACTERS = 32

#: Maximum size of a key file, in bytes.
MAX_KEY_FILE_BYTES = 100_000


@dataclass(frozen=True)
class FleetKeys:
    """The key that this VM authenticates with, and the keys that it accepts from other VMs."""

    #: The key that this VM authenticates with.
    sent: str = field(repr=False)

    #: The keys accepted from other VMs, including ``sent``.
    accepted: tuple[str, ...] = field(repr=False)

    def __post_init__(self) -> None:
        """Raises ``ValueError`` if ``sent`` is not accepted or a key is too short."""
        if self.sent not in self.accepted:
            raise ValueError("the key that is sent must also be accepted")
        if any(len(key) < MIN_FLEET_KEY_CHARACTERS for key in self.accepted):
            raise ValueError(f"a fleet key needs at least {MIN_FLEET_KEY_CHARACTERS} characters")


@dataclass(frozen=True)
class KeyProblem:
    """Error for keys or certificates that cannot be loaded. It never contains a key."""

    #: The file or environment variable.
    source: str

    #: The error message.
    detail: str

    def __str__(self) -> str:
        """Returns ``source: detail``."""
        return f"{self.source}: {self.detail}"


def read_fleet_keys(
    sources: KeySources, environment: Mapping[str, str] = os.environ
) -> Result[FleetKeys, KeyProblem]:
    """Reads the keys from files, then from environment variables; the first key is sent."""
    keys: list[str] = []
    for file in sources.files:
        lines = _read_lines(file)
        if isinstance(lines, KeyProblem):
            return Failure(lines)
        keys += lines
    for variable in sources.environment_variables:
        value = environment.get(variable, "").strip()
        if not value:
            return Failure(KeyProblem(variable, "the environment variable is not set"))
        keys.append(value)
    return _validate_keys(keys, sources)


def _validate_keys(keys: list[str], sources: KeySources) -> Result[FleetKeys, KeyProblem]:
    source = ", ".join([*map(str, sources.files), *sources.environment_variables])
    if not keys:
        return Failure(KeyProblem(source or "fleet keys", "no fleet key is configured"))
    for key in keys:
        if not MIN_FLEET_KEY_CHARACTERS <= len(key) <= MAX_KEY_CHARACTERS or not key.isascii():
            bounds = f"{MIN_FLEET_KEY_CHARACTERS} to {MAX_KEY_CHARACTERS}"
            return Failure(KeyProblem(source, f"a fleet key needs {bounds} ASCII characters"))
    return Success(FleetKeys(keys[0], tuple(dict.fromkeys(keys))))


def _read_lines(file: Path) -> list[str] | KeyProblem:
    try:
        with file.open("rb") as stream:
            text = stream.read(MAX_KEY_FILE_BYTES + 1).decode("utf-8")
    except OSError as error:
        return KeyProblem(str(file), f"cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return KeyProblem(str(file), "is not text in UTF-8")
    if len(text) > MAX_KEY_FILE_BYTES:
        return KeyProblem(str(file), f"is over {MAX_KEY_FILE_BYTES} bytes")
    stripped = [line.strip() for line in text.splitlines()]
    return [line for line in stripped if line and not line.startswith("#")]
