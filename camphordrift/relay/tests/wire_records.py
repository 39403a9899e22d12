r"""Records what a build sends to other VMs and leaves on the store, for tests of later builds.

Run as a script with the build's checkout first on ``PYTHONPATH``, and the names of its modules::

    git worktree add --detach ../former 0a2fe75
    PYTHONPATH=../former python camphordrift/relay/tests/wire_records.py \
        camphordrift.relay._peer_messages camphordrift.relay._quarantine_records \
        > camphordrift/relay/tests/wire_0a2fe75.json
"""

import importlib
import itertools
import sys
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Optional, Union, get_args

import msgspec
import trio
from msgspec import inspect

#: Traits of the quarantine that is recorded.
TRAITS = ("part-1", "part-2")


class WireRecord(msgspec.Struct, frozen=True):
    """What one build sends and stores."""

    #: Encoded samples of each kind of message.
    messages: dict[str, list[bytes]]
    #: Description of each kind of message, as of :func:`describe`.
    schema: dict[str, Any]
    #: Value of a member's record.
    member: bytes
    #: Key and value of the record of a quarantine of :data:`TRAITS`.
    quarantine_key: str
    quarantine: bytes


def load_record(commit: str) -> WireRecord:
    """Returns the record of the build of a commit."""
    path = Path(__file__).with_name(f"wire_{commit}.json")
    return msgspec.json.decode(path.read_bytes(), type=WireRecord)


def describe(kind: inspect.Type) -> Any:
    """Returns a description of a type from which :func:`build_type` makes an equivalent one."""
    match kind:
        case inspect.StructType() | inspect.DataclassType():
            fields = {f.encode_name: [describe(f.type), f.required] for f in kind.fields}
            tag = getattr(kind, "tag", None)
            return {"struct": kind.cls.__name__, "tag": tag, "fields": fields}
        case inspect.EnumType():
            return {"enum": kind.cls.__name__, "values": [member.value for member in kind.cls]}
        case inspect.UnionType():
            inner = [t for t in kind.types if not isinstance(t, inspect.NoneType)]
            if len(inner) == 1:
                return {"optional": describe(inner[0])}
            return {"any": [describe(t) for t in kind.types]}
        case inspect.VarTupleType() | inspect.FrozenSetType():
            return {"sequence": describe(kind.item_type)}
        case inspect.DictType():
            return {"mapping": describe(kind.value_type)}
        case inspect.TupleType():
            return {"items": [describe(item) for item in kind.item_types]}
        case _:
            return type(kind).__name__


def build_type(description: Any) -> Any:
    """Returns a type that decodes as strictly as the described one."""
    match description:
        case {"struct": name, "tag": tag, "fields": fields}:
            defined = [
                (field, build_type(inner)) if required else (field, build_type(inner), None)
                for field, (inner, required) in fields.items()
            ]
            return msgspec.defstruct(name, defined, tag=tag, frozen=True)
        case {"enum": name, "values": values}:
            return Enum(name, {f"VALUE_{number}": value for number, value in enumerate(values)})
        case {"optional": inner}:
            return Optional[build_type(inner)]
        case {"sequence": inner}:
            return tuple[build_type(inner), ...]  # type: ignore[misc]
        case _:
            names = {"IntType": int, "FloatType": float, "StrType": str}
            return {**names, "BoolType": bool, "BytesType": bytes}[description]


def build_decoder(schema: dict[str, Any]) -> "msgspec.msgpack.Decoder[Any]":
    """Returns a decoder of the described messages."""
    types = tuple(build_type(description) for description in schema.values())
    return msgspec.msgpack.Decoder(Union[types])


def sample_documents(kind: inspect.Type) -> Iterator[Any]:
    """Yields samples of a type: with and without optional values, and with each of an enum."""
    match kind:
        case inspect.StructType() | inspect.DataclassType():
            names = [field.encode_name for field in kind.fields]
            columns = [list(sample_documents(field.type)) for field in kind.fields]
            count = max(map(len, columns), default=1)
            tag = {} if getattr(kind, "tag", None) is None else {"type": kind.tag}  # type: ignore[union-attr]
            for number in range(count):
                values = [column[min(number, len(column) - 1)] for column in columns]
                yield {**tag, **dict(zip(names, values, strict=True))}
        case inspect.EnumType():
            yield from (member.value for member in kind.cls)
        case inspect.UnionType():
            inner = next(t for t in kind.types if not isinstance(t, inspect.NoneType))
            yield from itertools.chain(sample_documents(inner), [None])
        case inspect.VarTupleType() | inspect.FrozenSetType():
            for item in sample_documents(kind.item_type):
                yield [item]
            yield []
        case inspect.DictType():
            yield {"vm-1": next(sample_documents(kind.value_type))}
        case inspect.TupleType():
            yield [next(sample_documents(item)) for item in kind.item_types]
        case inspect.BytesType():
            yield b"\x00content"
        case _:
            yield {
                "IntType": 1_700_000_000_000,
                "FloatType": 1.5,
                "StrType": "vm-1",
                "BoolType": True,
            }[type(kind).__name__]


def schema_of(union: Any) -> dict[str, Any]:
    """Returns the descriptions of all messages of a union, by kind."""
    described = (describe(inspect.type_info(message_type)) for message_type in get_args(union))
    return {description["tag"]: description for description in described}


def samples_of(union: Any) -> dict[str, list[Any]]:
    """Returns sample messages of each type of a union, by kind."""
    return {
        message_type.__struct_config__.tag: [
            msgspec.convert(document, message_type)
            for document in sample_documents(inspect.type_info(message_type))
        ]
        for message_type in get_args(union)
    }


def _quarantine_record(module: Any) -> tuple[str, bytes]:
    """Returns the key and value that the build writes for a quarantine of :data:`TRAITS`."""
    written: list[Any] = []

    async def append(topic: str, record: Any) -> int:
        written.append(record)
        return 0

    records = module.QuarantineRecords(
        SimpleNamespace(append=append),
        "members",
        SimpleNamespace(quarantined_traits=lambda: {TRAITS: 1.0}),
        SimpleNamespace(call_on_restore=lambda call: None),
        lambda: True,
    )
    trio.run(records._write_changes)
    return written[0].key, written[0].value


def record(messages: Any, quarantines: Any) -> WireRecord:
    """Returns the record of the build whose modules are given."""
    samples = samples_of(messages.Message)
    key, value = _quarantine_record(quarantines)
    return WireRecord(
        {kind: [msgspec.msgpack.encode(m) for m in found] for kind, found in samples.items()},
        schema_of(messages.Message),
        messages.encode_member(samples["Member"][0]),
        key,
        value,
    )


if __name__ == "__main__":
    modules = [importlib.import_module(name) for name in sys.argv[1:]]
    content = msgspec.json.encode(record(*modules))
    sys.stdout.write(msgspec.json.format(content, indent=1).decode() + "\n")
