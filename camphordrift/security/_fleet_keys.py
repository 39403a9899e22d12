"""The keys by which the VMs of one fleet know each other, and their rotation.

To change the key without a gap: append the new key on every VM, move it to the front on every VM,
then take the old one out on every VM. Each step may take any time, since all keys are accepted.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Failure, Result, Success

from camphordrift.security._keys import MAX_KEY_CHARACTERS
from camphordrift.settings import KeySources

#: Shortest fleet key, in characters. Keys of ``camphordrift keygen fleet`` are longer.
MIN_FLEET_KEY_CHARACTERS = 32

#: Largest key file that is read, in bytes.
MAX_KEY_FILE_BYTES = 100_000


@dataclass(frozen=True)
class FleetKeys:
    """The fleet's keys: one to prove membership with, and all those that are accepted."""

    #: The key that this VM uses.
    sent: str = field(repr=False)

    #: The keys that other VMs may use, ``sent`` included.
    accepted: tuple[str, ...] = field(repr=False)

    def __post_init__(self) -> None:
        """Checks the keys."""
        if self.sent not in self.accepted:
            raise ValueError("the key that is sent has to be accepted, too")
        if any(len(key) < MIN_FLEET_KEY_CHARACTERS for key in self.accepted):
            raise ValueError(f"a fleet key has at least {MIN_FLEET_KEY_CHARACTERS} characters")


@dataclass(frozen=True)
class KeyProblem:
    """Why keys could not be read. Its text never has a key in it."""

    #: The file or variable.
    source: str

    #: What is wrong with it.
    detail: str

    def __str__(self) -> str:
        """Returns the line for the operator."""
        return f"{self.source}: {self.detail}"


def read_fleet_keys(
    sources: KeySources, environment: Mapping[str, str] = os.environ
) -> Result[FleetKeys, KeyProblem]:
    """Reads the keys from files, then from environment variables."""
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
    return _check(keys, sources)


def _check(keys: list[str], sources: KeySources) -> Result[FleetKeys, KeyProblem]:
    source = ", ".join([*map(str, sources.files), *sources.environment_variables])
    if not keys:
        return Failure(KeyProblem(source or "fleet keys", "no fleet key is given"))
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
