"""The sections of the reference page of configuration records."""

import inspect
import json
import re
import typing
from collections.abc import Iterator

import pydantic
from pydantic.fields import FieldInfo

from camphordrift.configuration import HIGHEST_SCHEMA_VERSION, value_models
from camphordrift.documents._tables import table

#: Names of record fields whose value class has another name for them.
_VALUE_FIELD_NAMES = {"account": "account_id"}

_RECORD_ONLY_DESCRIPTIONS = {"type": "Whether the backend servers are engines or plain servers."}

_RECORD_ROWS = (
    ("`schema_version`", f"Schema of the record, from 1 to {HIGHEST_SCHEMA_VERSION}.",
     "the highest that all live VMs support"),
    ("`author`", "The person who publishes the record.", "required"),
    ("`note`", "Reason for the change, shown in the history.", "empty"),
    ("`changes`", "From 1 to 1000 changes, accepted or rejected together.", "required"),
    ("`changes.kind`", "Kind of the entry, one of those below.", "required"),
    ("`changes.key`", "Name of the entry.", "required"),
    ("`changes.replaces`", "Version of the entry that the change replaces; 0 for a new entry.",
     "required"),
    ("`changes.value`", "Fields of the entry, as listed below.", "required without `remove`"),
    ("`changes.remove`", "True to remove the entry.", "required without `value`"),
)  # fmt: skip


def record_sections() -> str:
    """Returns Markdown sections for the record itself and for each kind of entry."""
    parts = ["## The record", table(["Key", "Description", "Default"], _RECORD_ROWS)]
    for kind, model in value_models().items():
        parts += [f"## `{kind}`", _introduction(model), _field_table(model)]
    return "\n\n".join(part.strip() for part in parts)


def _introduction(model: type[pydantic.BaseModel]) -> str:
    return inspect.cleandoc(_value_class(model).__doc__ or "").splitlines()[0]


def _field_table(model: type[pydantic.BaseModel]) -> str:
    descriptions = {**_RECORD_ONLY_DESCRIPTIONS, **dict(_field_comments(_value_class(model)))}
    rows = [
        (
            f"`{name}`",
            descriptions[_VALUE_FIELD_NAMES.get(name, name)],
            field.description or "",
            _default(field),
            str(_since_schema(field)),
        )
        for name, field in model.model_fields.items()
    ]
    return table(["Key", "Description", "Value", "Default", "Since schema"], rows)


def _value_class(model: type[pydantic.BaseModel]) -> type:
    returned: type = typing.get_type_hints(model.to_value)["return"]  # type: ignore[attr-defined]
    return returned


def _field_comments(value_class: type) -> Iterator[tuple[str, str]]:
    """Yields the name of each field and its ``#:`` comment from the source."""
    comment: list[str] = []
    for line in inspect.getsource(value_class).splitlines():
        stripped = line.strip()
        field = re.match(r"(\w+): ", stripped)
        if stripped.startswith("#:"):
            comment.append(stripped.removeprefix("#:").strip())
        elif field is not None and comment:
            yield field[1], " ".join(comment).replace("``", "`")
            comment = []
        else:
            comment = []


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    default = field.get_default(call_default_factory=True, validated_data={})
    return "none" if default is None or default == [] else f"`{json.dumps(default)}`"


def _since_schema(field: FieldInfo) -> object:
    extra = field.json_schema_extra
    return extra.get("since_schema_version", 1) if isinstance(extra, dict) else 1
