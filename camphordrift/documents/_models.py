"""Reference sections for the pydantic models of settings files."""

import json
import types
import typing
from collections.abc import Iterator
from typing import Any

import pydantic
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from camphordrift.documents._tables import table
from camphordrift.settings import Expected


def model_reference(model: type[pydantic.BaseModel], title: str, heading: str = "##") -> str:
    """Returns a Markdown section for ``model``, followed by one for each nested table."""
    parts = [f"{heading} {title}", "", _summary(model), "", _field_table(model)]
    for name, field in model.model_fields.items():
        inner = _inner_model(field.annotation)
        if inner is None:
            continue
        dotted_name = name if title.startswith("File") else f"{title.strip('[]`')}.{name}"
        table_header = f"[[{dotted_name}]]" if _is_list(field.annotation) else f"[{dotted_name}]"
        parts.append(model_reference(inner, f"`{table_header}`", heading))
    return "\n".join(parts)


def _summary(model: type[pydantic.BaseModel]) -> str:
    return (model.__doc__ or "").strip().splitlines()[0]


def _field_table(model: type[pydantic.BaseModel]) -> str:
    rows = [
        (f"`{name}`", field.description or "", _expected(field), _default(field))
        for name, field in model.model_fields.items()
    ]
    return table(["Key", "Description", "Value", "Default"], rows)


def _expected(field: FieldInfo) -> str:
    for metadata in [field.metadata, *_nested_metadata(field.annotation)]:
        for item in metadata:
            if isinstance(item, Expected):
                prefix = "list, each " if _is_list(field.annotation) else ""
                return item.text if item.text.startswith("a list") else prefix + item.text
    if _inner_model(field.annotation) is not None:
        return "list of tables" if _is_list(field.annotation) else "table"
    return _type_name(field.annotation)


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    default = field.get_default(call_default_factory=True, validated_data={})
    if isinstance(default, pydantic.BaseModel):
        return "its defaults"
    if default is None or default is PydanticUndefined or default in ([], ()):
        return "none"
    return f"`{json.dumps(default, default=str)}`"


def _nested_metadata(annotation: Any) -> Iterator[tuple[Any, ...]]:
    yield getattr(annotation, "__metadata__", ())
    for argument in typing.get_args(annotation):
        yield from _nested_metadata(argument)


def _inner_model(annotation: Any) -> type[pydantic.BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return annotation
    found = (_inner_model(argument) for argument in typing.get_args(annotation))
    return next((model for model in found if model is not None), None)


def _is_list(annotation: Any) -> bool:
    if typing.get_origin(annotation) in (list, tuple, frozenset):
        return True
    if typing.get_origin(annotation) in (typing.Union, types.UnionType):
        return any(_is_list(argument) for argument in typing.get_args(annotation))
    return False


def _type_name(annotation: Any) -> str:
    if isinstance(annotation, type):
        return annotation.__name__
    return str(annotation).replace("typing.", "")
