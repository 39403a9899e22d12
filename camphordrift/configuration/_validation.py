"""Validates the records that operators write, and describes the first error in one line."""

from collections.abc import Mapping
from typing import Optional, TypeVar, Union

import pydantic
from returns import result

from camphordrift.configuration._records import (
    FLEET_TUNING_KEY,
    HIGHEST_SCHEMA_VERSION,
    AuthorName,
    Change,
    ConfigurationRecord,
    DecodedRecord,
    EntryKey,
    PublishedValue,
    RawValue,
    RecordKind,
    UnreadableSchema,
)
from camphordrift.configuration._value_models import (
    AnyValueModel,
    model_for,
    to_configuration_value,
)
from camphordrift.configuration._value_types import ValueModel
from camphordrift.results import Failure, ResultCode

#: Maximum number of changes in one record.
MAX_CHANGES = 1_000

_MAX_SHOWN_CHARACTERS = 80

M = TypeVar("M", bound=ValueModel)


class _ChangeModel(ValueModel):
    kind: str = pydantic.Field(
        description="one of " + ", ".join(f"'{kind.value}'" for kind in RecordKind)
    )
    key: str = pydantic.Field(min_length=1, max_length=200, description="the entry's name")
    replaces: int = pydantic.Field(
        ge=0, le=2**53, description="the version that the change replaces, 0 for a new entry"
    )
    value: Optional[dict[str, object]] = pydantic.Field(
        None, description="a map of the entry's fields"
    )
    remove: bool = pydantic.Field(False, description="true to remove the entry")


class _RecordModel(ValueModel):
    schema_version: int = pydantic.Field(ge=1, description="a whole number above 0")
    author: str = pydantic.Field(min_length=1, max_length=200, description="who publishes")
    note: str = pydantic.Field("", max_length=2_000, description="why, as text")
    changes: list[_ChangeModel] = pydantic.Field(
        min_length=1, max_length=MAX_CHANGES, description="a list of 1 to 1000 changes"
    )


class _InvalidRecordError(Exception):
    """Raised at the first error of a record; its text becomes the failure's detail."""


def validate_record(
    raw: object, readable_schema_version: int = HIGHEST_SCHEMA_VERSION
) -> result.Result[DecodedRecord, Failure]:
    """Returns the validated record; fails with ``RECORD_MALFORMED``.

    The failure's detail is one line that names the entry, the key, the value and what was expected.
    A record in a later schema than ``readable_schema_version`` is not validated, since its meaning
    is unknown.
    """
    if isinstance(raw, Mapping):
        schema_version = raw.get("schema_version")
        if type(schema_version) is int and schema_version > readable_schema_version:
            return result.Success(UnreadableSchema(schema_version))
    try:
        return result.Success(_record_from(raw))
    except _InvalidRecordError as error:
        return result.Failure(Failure(ResultCode.RECORD_MALFORMED, str(error)))


def validate_value(
    kind: RecordKind, name: str, raw: RawValue, schema_version: int
) -> result.Result[PublishedValue, Failure]:
    """Returns the validated value of one entry; fails with ``RECORD_MALFORMED``."""
    try:
        return result.Success(_published_value(EntryKey(kind, name), raw, schema_version))
    except _InvalidRecordError as error:
        return result.Failure(Failure(ResultCode.RECORD_MALFORMED, str(error)))


def record_to_dict(record: ConfigurationRecord) -> dict[str, object]:
    """Returns the record as a dictionary, in the form that operators write and the log stores."""
    return {
        "schema_version": record.schema_version,
        "author": record.author,
        "note": record.note,
        "changes": [_change_to_dict(change) for change in record.changes],
    }


def _change_to_dict(change: Change) -> dict[str, object]:
    raw: dict[str, object] = {
        "kind": change.key.kind.value,
        "key": change.key.name,
        "replaces": change.replaces,
    }
    if change.value is None:
        raw["remove"] = True
    else:
        raw["value"] = dict(change.value.raw)
    return raw


def _record_from(raw: object) -> ConfigurationRecord:
    if not isinstance(raw, Mapping):
        raise _InvalidRecordError(f"record: {_abbreviated(raw)}: expected a map of fields")
    model = _validated(_RecordModel, raw, "record")
    changes = tuple(_change_from(change, model.schema_version) for change in model.changes)
    _require_distinct_entries(changes)
    return ConfigurationRecord(model.schema_version, AuthorName(model.author), model.note, changes)


def _change_from(model: _ChangeModel, schema_version: int) -> Change:
    try:
        kind = RecordKind(model.kind)
    except ValueError:
        expected = _ChangeModel.model_fields["kind"].description
        raise _InvalidRecordError(
            f"change of {model.key}: kind = {_abbreviated(model.kind)}: expected {expected}"
        ) from None
    key = EntryKey(kind, model.key)
    if kind is RecordKind.FLEET_TUNING and model.key != FLEET_TUNING_KEY:
        raise _InvalidRecordError(
            f"{key}: key = {_abbreviated(model.key)}: expected '{FLEET_TUNING_KEY}'"
        )
    if (model.value is None) != model.remove:
        raise _InvalidRecordError(f"{key}: expected either value, or remove = true")
    if model.value is None:
        return Change(key, model.replaces, None)
    return Change(key, model.replaces, _published_value(key, model.value, schema_version))


def _published_value(key: EntryKey, raw: RawValue, schema_version: int) -> PublishedValue:
    if key.kind is RecordKind.SERVICE and raw.get("type") not in ("model", "plain"):
        raise _InvalidRecordError(
            f"{key}: type = {_abbreviated(raw.get('type'))}: expected 'model' or 'plain'"
        )
    model_class = model_for(key.kind, raw.get("type"))
    _require_known_in_schema(key, model_class, raw, schema_version)
    model = _validated(model_class, raw, str(key))
    return PublishedValue(raw, to_configuration_value(model, key.name))


def _require_known_in_schema(
    key: EntryKey, model_class: type[AnyValueModel], raw: RawValue, schema_version: int
) -> None:
    for name, field in model_class.model_fields.items():
        extra = field.json_schema_extra
        since = extra.get("since_schema_version", 1) if isinstance(extra, dict) else 1
        if name in raw and isinstance(since, int) and since > schema_version:
            raise _InvalidRecordError(
                f"{key}: {name}: expected schema_version {since} or later,"
                f" the record has {schema_version}"
            )


def _require_distinct_entries(changes: tuple[Change, ...]) -> None:
    seen: set[EntryKey] = set()
    for change in changes:
        if change.key in seen:
            raise _InvalidRecordError(f"{change.key}: expected at most one change per record")
        seen.add(change.key)


def _validated(model_class: type[M], raw: Mapping[str, object], context: str) -> M:
    try:
        return model_class.model_validate(dict(raw))
    except pydantic.ValidationError as error:
        raise _InvalidRecordError(_message_for(model_class, error, context)) from None


def _message_for(
    model_class: type[ValueModel], error: pydantic.ValidationError, context: str
) -> str:
    # A misspelt key is also reported as missing under its correct name. The unknown key is the
    # more useful message, so it is reported first.
    errors = sorted(error.errors(), key=lambda item: item["type"] != "extra_forbidden")
    first = errors[0]
    location = first["loc"]
    if not location:
        return f"{context}: {str(first['ctx']['error'])}"
    path = ".".join(str(part) for part in location)
    if first["type"] == "extra_forbidden":
        known = ", ".join(_fields_at(model_class, location))
        return (
            f"{context}: {path} = {_abbreviated(first['input'])}:"
            f" unknown key; expected one of {known}"
        )
    expected = _expected_at(model_class, location)
    if first["type"] == "missing":
        return f"{context}: {path}: missing; expected {expected}"
    return f"{context}: {path} = {_abbreviated(first['input'])}: expected {expected}"


def _fields_at(
    model_class: type[ValueModel], location: tuple[Union[int, str], ...]
) -> tuple[str, ...]:
    if len(location) > 1 and model_class is _RecordModel:
        return tuple(_ChangeModel.model_fields)
    if len(location) > 1:
        return ("method", "path_prefix")
    return tuple(model_class.model_fields)


def _expected_at(model_class: type[ValueModel], location: tuple[Union[int, str], ...]) -> str:
    if model_class is _RecordModel and len(location) > 2 and location[0] == "changes":
        inner = _ChangeModel.model_fields.get(str(location[2]))
        return str(inner.description) if inner is not None else "a change"
    field = model_class.model_fields.get(str(location[0]))
    return str(field.description) if field is not None else "another value"


def _abbreviated(value: object) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[:_MAX_SHOWN_CHARACTERS] + "..."
