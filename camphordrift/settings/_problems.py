"""Validation errors of a settings file, each formatted as one line."""

import difflib
import types
import typing
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Optional

import pydantic
from pydantic_core import ErrorDetails

from camphordrift.settings._fields import Expected

#: Maximum length of an invalid value in an error line, in characters.
MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True)
class SettingsProblem:
    """One validation error of a settings file."""

    #: The path of the settings file.
    file: str

    #: The dotted key, such as ``limits.max_body_bytes``.
    key: str

    #: The invalid value, truncated; ``None`` if there is none or it may be a secret.
    value: Optional[str]

    #: The message; for an invalid value, a description of the valid ones.
    expected: str

    def __str__(self) -> str:
        """Returns the error message, in one line."""
        if self.value is None:
            return f"{self.file}: {self.key}: {self.expected}"
        return f"{self.file}: {self.key} = {self.value}: {self.expected}"


@dataclass(frozen=True)
class SettingsErrors:
    """All validation errors of one settings file, in the order in which they were found."""

    #: The validation errors, at least one.
    problems: tuple[SettingsProblem, ...]

    def __str__(self) -> str:
        """Returns one line per error."""
        return "\n".join(str(problem) for problem in self.problems)


def problems_from_validation_error(
    file: str, model: type[pydantic.BaseModel], error: pydantic.ValidationError
) -> SettingsErrors:
    """Converts a pydantic error into one problem per invalid, missing or unknown key."""
    details = error.errors(include_url=False, include_context=False)
    return SettingsErrors(tuple(_problem(file, model, detail) for detail in details))


def _problem(file: str, model: type[pydantic.BaseModel], detail: ErrorDetails) -> SettingsProblem:
    location = detail["loc"]
    key = _dotted_key(location)
    expected = _expected_at(model, location)
    match detail["type"]:
        case "extra_forbidden":
            return SettingsProblem(file, key, None, _unknown_key_message(model, location))
        case "missing":
            return SettingsProblem(file, key, None, f"missing; expected {expected.text}")
        case _:
            shown_value = None if expected.secret else _truncate(repr(detail["input"]))
            return SettingsProblem(file, key, shown_value, f"expected {expected.text}")


def _dotted_key(location: Sequence[Any]) -> str:
    text = ""
    for step in location:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return _printable(text.lstrip("."))


def _printable(text: str) -> str:
    return "".join(character if character.isprintable() else "?" for character in text)


def _truncate(text: str) -> str:
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def _unknown_key_message(model: type[pydantic.BaseModel], location: Sequence[Any]) -> str:
    parent = _model_at(model, location[:-1])
    known = list(parent.model_fields) if parent is not None else []
    unknown = str(location[-1])
    suggestions = [name for name in known if name.startswith(f"{unknown}_")]
    suggestions += difflib.get_close_matches(unknown, known, n=1, cutoff=0.5)
    if suggestions:
        return f"unknown key; did you mean {suggestions[0]}?"
    return f"unknown key; valid keys: {', '.join(sorted(known))}"


def _model_at(
    model: type[pydantic.BaseModel], location: Sequence[Any]
) -> Optional[type[pydantic.BaseModel]]:
    current: Any = model
    for step in location:
        if isinstance(step, int):
            continue
        if not _is_model(current) or step not in current.model_fields:
            return None
        current = _nested_model_or_self(current.model_fields[step].annotation)
    return current if _is_model(current) else None


def _expected_at(model: type[pydantic.BaseModel], location: Sequence[Any]) -> Expected:
    names = [step for step in location if not isinstance(step, int)]
    parent = _model_at(model, names[:-1])
    field = parent.model_fields.get(names[-1]) if parent is not None and names else None
    if field is None:
        return Expected("a table")
    inside_list = bool(location) and isinstance(location[-1], int)
    found = None if inside_list else _expected_in_metadata(field.metadata)
    return found or _expected_for_type(field.annotation, inside_list)


def _expected_for_type(annotation: Any, inside_list: bool) -> Expected:
    if typing.get_origin(annotation) is list and not inside_list:
        element = _expected_for_type(annotation, inside_list=True)
        return Expected(f"a list, each element {element.text}", element.secret)
    for part in _nested_types(annotation):
        found = _expected_in_metadata(getattr(part, "__metadata__", ()))
        if found is not None:
            return found
    return Expected("a table")


def _expected_in_metadata(metadata: Sequence[Any]) -> Optional[Expected]:
    return next((item for item in metadata if isinstance(item, Expected)), None)


def _nested_types(annotation: Any) -> list[Any]:
    """Returns the annotation and all types nested in its lists and unions."""
    parts = [annotation]
    if typing.get_origin(annotation) in (list, typing.Union, types.UnionType):
        for argument in typing.get_args(annotation):
            parts += _nested_types(argument)
    return parts


def _nested_model_or_self(annotation: Any) -> Any:
    parts = _nested_types(annotation)
    return next((part for part in parts if _is_model(part)), annotation)


def _is_model(candidate: Any) -> bool:
    return isinstance(candidate, type) and issubclass(candidate, pydantic.BaseModel)
