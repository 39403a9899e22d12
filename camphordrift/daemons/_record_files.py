"""Reads configuration records from TOML and JSON files."""

import json
import tomllib
from pathlib import Path
from typing import Any, Optional

from returns.result import Failure

from camphordrift.daemons._exit_codes import CommandError, ExitCode

#: Maximum size of a record file, in bytes.
MAX_RECORD_FILE_BYTES = 4_000_000


def read_record_file(path: Path) -> dict[str, Any]:
    """Returns the record in a file, parsed by its suffix ``.toml`` or ``.json``.

    Raises ``CommandError`` if the file cannot be read or parsed.
    """
    text = _read_text(path)
    match path.suffix:
        case ".toml":
            return _parse_toml(path, text)
        case ".json":
            return _parse_json(path, text)
        case _:
            raise _file_error(path, "expected a file named .toml or .json")


def find_record_problem(path: Path) -> Optional[str]:
    """Returns the validation error of the record in a file, or ``None`` if it is valid."""
    # Imported here, so that commands which only send a record do not load the models.
    from camphordrift.configuration import HIGHEST_SCHEMA_VERSION, prepare_record

    prepared = prepare_record(read_record_file(path), HIGHEST_SCHEMA_VERSION)
    return prepared.failure().detail if isinstance(prepared, Failure) else None


def _read_text(path: Path) -> str:
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_RECORD_FILE_BYTES + 1)
        if len(content) > MAX_RECORD_FILE_BYTES:
            raise _file_error(path, f"expected at most {MAX_RECORD_FILE_BYTES} bytes")
        return content.decode("utf-8")
    except OSError as error:
        raise _file_error(path, f"cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise _file_error(path, "expected text in UTF-8") from error


def _parse_toml(path: Path, text: str) -> dict[str, Any]:
    try:
        record = tomllib.loads(text)
        json.dumps(record, allow_nan=False)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise _file_error(path, f"expected TOML: {error}") from error
    except (TypeError, ValueError) as error:
        raise _file_error(path, f"contains a value that JSON does not support: {error}") from error
    return record


def _parse_json(path: Path, text: str) -> dict[str, Any]:
    try:
        record = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _file_error(path, f"expected JSON: {error}") from error
    if not isinstance(record, dict):
        raise _file_error(path, "expected a JSON object")
    return record


def _file_error(path: Path, detail: str) -> CommandError:
    return CommandError(ExitCode.BAD_INPUT, f"{path}: {' '.join(detail.split())}")
