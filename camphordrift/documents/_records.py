"""The reference page of configuration records."""

import inspect
import json
import re
import typing
from collections.abc import Iterator

import pydantic
from pydantic.fields import FieldInfo

from camphordrift.configuration import HIGHEST_SCHEMA_VERSION, value_models
from camphordrift.documents._tables import table

#: Fields of records whose value class names them otherwise.
_OTHER_NAMES = {"account": "account_id"}

_MEANINGS_OF_RECORDS_ONLY = {"type": "Whether its backend servers are engines or plain servers."}

_RECORD_ROWS = (
    ("`schema_version`", f"Schema of the record, from 1 to {HIGHEST_SCHEMA_VERSION}.",
     "the highest that all live VMs read"),
    ("`author`", "Who publishes.", "refused"),
    ("`note`", "Why, for those who read the history.", "empty"),
    ("`changes`", "From 1 to 1000 changes, accepted or rejected together.", "refused"),
    ("`changes.kind`", "What the entry is about; one of the kinds below.", "refused"),
    ("`changes.key`", "The entry's name.", "refused"),
    ("`changes.replaces`", "Version of the entry that the author has seen; 0 for a new one.",
     "refused"),
    ("`changes.value`", "The entry's fields, as below.", "`remove` is needed"),
    ("`changes.remove`", "True to remove the entry.", "`value` is needed"),
)  # fmt: skip


def record_sections() -> str:
    """Returns the form of a record, and a section for each kind of entry."""
    parts = ["## The record", table(["Key", "Meaning", "Without it"], _RECORD_ROWS)]
    for kind, model in value_models().items():
        parts += [f"## `{kind}`", _introduction(model), _field_table(model)]
    return "\n\n".join(part.strip() for part in parts)


def _introduction(model: type[pydantic.BaseModel]) -> str:
    return inspect.cleandoc(_value_class(model).__doc__ or "").splitlines()[0]


def _field_table(model: type[pydantic.BaseModel]) -> str:
    meanings = {**_MEANINGS_OF_RECORDS_ONLY, **dict(_field_comments(_value_class(model)))}
    rows = [
        (
            f"`{name}`",
            meanings[_OTHER_NAMES.get(name, name)],
            field.description or "",
            _default(field),
            str(_since_schema(field)),
        )
        for name, field in model.model_fields.items()
    ]
    return table(["Key", "Meaning", "Value", "Without it", "Since schema"], rows)


def _value_class(model: type[pydantic.BaseModel]) -> type:
    returned: type = typing.get_type_hints(model.to_value)["return"]  # type: ignore[attr-defined]
    return returned


def _field_comments(value_class: type) -> Iterator[tuple[str, str]]:
    """Yields name and ``#:`` comment of each field, as written in the source."""
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
        return "refused"
    default = field.get_default(call_default_factory=True, validated_data={})
    return "none" if default is None or default == [] else f"`{json.dumps(default)}`"


def _since_schema(field: FieldInfo) -> object:
    extra = field.json_schema_extra
    return extra.get("since_schema_version", 1) if isinstance(extra, dict) else 1
