"""Loads and validates settings files."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import pydantic
from returns.result import Failure, Result, Success

from camphordrift.settings._entry import EntrySettings
from camphordrift.settings._entry_model import EntryModel, to_entry_settings
from camphordrift.settings._problems import (
    SettingsErrors,
    SettingsProblem,
    problems_from_validation_error,
)
from camphordrift.settings._standins import StandinSettings
from camphordrift.settings._standins_model import StandinsModel, to_standin_settings

#: Maximum size of a settings file, in bytes.
MAX_FILE_BYTES = 1_000_000

Model = TypeVar("Model", bound=pydantic.BaseModel)


def load_entry_settings(path: Path) -> Result[EntrySettings, SettingsErrors]:
    """Loads the settings of an entry VM's process from a TOML file.

    Example::

        match load_entry_settings(Path("examples/kowalczyk/oliwa-1.toml")):
            case Success(settings): ...
            case Failure(errors): print(errors, file=sys.stderr)
    """
    directory = path.parent
    return _load(path, EntryModel).map(lambda model: to_entry_settings(model, directory))


def load_standin_settings(path: Path) -> Result[StandinSettings, SettingsErrors]:
    """Loads the settings of a stand-in process from a TOML file."""
    return _load(path, StandinsModel).map(to_standin_settings)


def parse_entry_settings(text: str, file: Path) -> Result[EntrySettings, SettingsErrors]:
    """Parses an entry VM's settings; errors and relative paths refer to ``file``."""
    return _parse(text, str(file), EntryModel).map(
        lambda model: to_entry_settings(model, file.parent)
    )


def parse_standin_settings(text: str, file: Path) -> Result[StandinSettings, SettingsErrors]:
    """Parses settings of stand-ins; ``file`` is the file name in errors."""
    return _parse(text, str(file), StandinsModel).map(to_standin_settings)


def _load(path: Path, model: type[Model]) -> Result[Model, SettingsErrors]:
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            return _unreadable_file_failure(str(path), f"expected at most {MAX_FILE_BYTES} bytes")
        text = content.decode("utf-8")
    except OSError as error:
        return _unreadable_file_failure(str(path), f"cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return _unreadable_file_failure(str(path), "expected text in UTF-8")
    return _parse(text, str(path), model)


def _parse(text: str, file: str, model: type[Model]) -> Result[Model, SettingsErrors]:
    try:
        table: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return _unreadable_file_failure(file, f"expected TOML: {' '.join(str(error).split())}")
    try:
        return Success(model.model_validate(table))
    except pydantic.ValidationError as error:
        return Failure(problems_from_validation_error(file, model, error))


def _unreadable_file_failure(file: str, expected: str) -> Result[Any, SettingsErrors]:
    return Failure(SettingsErrors((SettingsProblem(file, "the file", None, expected),)))
