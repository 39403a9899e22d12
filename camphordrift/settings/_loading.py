"""Reads settings files."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import pydantic
from returns.result import Failure, Result, Success

from camphordrift.settings._entry import EntrySettings
from camphordrift.settings._entry_model import EntryModel, entry_settings
from camphordrift.settings._problems import (
    SettingsErrors,
    SettingsProblem,
    problems_of_validation,
)
from camphordrift.settings._standins import StandinSettings
from camphordrift.settings._standins_model import StandinsModel, standin_settings

#: Largest settings file that is read, in bytes.
MAX_FILE_BYTES = 1_000_000

Model = TypeVar("Model", bound=pydantic.BaseModel)


def load_entry_settings(path: Path) -> Result[EntrySettings, SettingsErrors]:
    """Reads the settings of an entry VM's process.

    Example::

        match load_entry_settings(Path("examples/kowalczyk/oliwa-1.toml")):
            case Success(settings): ...
            case Failure(errors): print(errors, file=sys.stderr)
    """
    directory = path.parent
    return _load(path, EntryModel).map(lambda model: entry_settings(model, directory))


def load_standin_settings(path: Path) -> Result[StandinSettings, SettingsErrors]:
    """Reads the settings of a process of stand-ins."""
    return _load(path, StandinsModel).map(standin_settings)


def parse_entry_settings(text: str, file: Path) -> Result[EntrySettings, SettingsErrors]:
    """Reads settings of an entry VM's process from ``text``; ``file`` names it in errors."""
    return _parse(text, str(file), EntryModel).map(lambda model: entry_settings(model, file.parent))


def parse_standin_settings(text: str, file: Path) -> Result[StandinSettings, SettingsErrors]:
    """Reads settings of stand-ins from ``text``; ``file`` names it in errors."""
    return _parse(text, str(file), StandinsModel).map(standin_settings)


def _load(path: Path, model: type[Model]) -> Result[Model, SettingsErrors]:
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            return _file_failure(str(path), f"expected at most {MAX_FILE_BYTES} bytes")
        text = content.decode("utf-8")
    except OSError as error:
        return _file_failure(str(path), f"cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return _file_failure(str(path), "expected text in UTF-8")
    return _parse(text, str(path), model)


def _parse(text: str, file: str, model: type[Model]) -> Result[Model, SettingsErrors]:
    try:
        table: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return _file_failure(file, f"expected TOML: {' '.join(str(error).split())}")
    try:
        return Success(model.model_validate(table))
    except pydantic.ValidationError as error:
        return Failure(problems_of_validation(file, model, error))


def _file_failure(file: str, expected: str) -> Result[Any, SettingsErrors]:
    return Failure(SettingsErrors((SettingsProblem(file, "the file", None, expected),)))
