"""Loads settings files; errors end the command with exit code 2."""

from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from returns.result import Failure, Result

from camphordrift.daemons._exit_codes import CommandError, ExitCode
from camphordrift.security import FleetKeys, read_fleet_keys
from camphordrift.settings import (
    EntrySettings,
    SettingsErrors,
    StandinSettings,
    load_entry_settings,
    load_standin_settings,
)

Settings = TypeVar("Settings")


def entry_settings_from_file(path: Path) -> EntrySettings:
    """Returns the settings of an entry VM; raises ``CommandError`` if they are invalid."""
    return _unwrap(load_entry_settings(path))


def fleet_keys_from_settings(settings: EntrySettings) -> FleetKeys:
    """Returns the fleet keys; raises ``CommandError`` if they cannot be read."""
    keys = read_fleet_keys(settings.fleet_keys)
    if isinstance(keys, Failure):
        raise CommandError(ExitCode.BAD_INPUT, str(keys.failure()))
    return keys.unwrap()


def standin_settings_from_file(path: Path) -> StandinSettings:
    """Returns the settings of stand-ins; raises ``CommandError`` if they are invalid."""
    return _unwrap(load_standin_settings(path))


def problems_by_file(files: Sequence[Path], standins: bool) -> dict[Path, str]:
    """Returns the error lines of each invalid file."""
    problems = {}
    for file in files:
        loaded = load_standin_settings(file) if standins else load_entry_settings(file)
        if isinstance(loaded, Failure):
            problems[file] = str(loaded.failure())
    return problems


def _unwrap(loaded: Result[Settings, SettingsErrors]) -> Settings:
    if isinstance(loaded, Failure):
        raise CommandError(ExitCode.BAD_INPUT, str(loaded.failure()))
    return loaded.unwrap()
