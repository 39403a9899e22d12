"""Loads settings files for commands."""

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


def entry_settings_of(path: Path) -> EntrySettings:
    """Returns the settings of an entry VM, or ends the command with what is wrong with them."""
    return _unwrap(load_entry_settings(path))


def fleet_keys_of(settings: EntrySettings) -> FleetKeys:
    """Returns the fleet's keys, or ends the command with why they cannot be read."""
    keys = read_fleet_keys(settings.fleet_keys)
    if isinstance(keys, Failure):
        raise CommandError(ExitCode.BAD_INPUT, str(keys.failure()))
    return keys.unwrap()


def standin_settings_of(path: Path) -> StandinSettings:
    """Returns the settings of stand-ins, or ends the command with what is wrong with them."""
    return _unwrap(load_standin_settings(path))


def problems_of_files(files: Sequence[Path], standins: bool) -> dict[Path, str]:
    """Returns what is wrong with each of the files that is not good."""
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
