"""Encoding of records and checkpoints for the log and for transfer between VMs (MessagePack)."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Optional, Union

import msgpack
from returns import result

from camphordrift.configuration._history import HistoricChange, HistoryEntry
from camphordrift.configuration._records import (
    HIGHEST_SCHEMA_VERSION,
    ConfigurationRecord,
    EntryKey,
    RecordKind,
    UnreadableSchema,
)
from camphordrift.configuration._state import (
    CheckpointInfo,
    ConfigurationState,
    Entry,
    restored_state,
)
from camphordrift.configuration._validation import (
    record_to_dict,
    validate_record,
    validate_value,
)
from camphordrift.results import Failure, ResultCode

_LOWEST_SCHEMA_VERSION = 1


class _PayloadType(Enum):
    RECORD = "record"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True)
class Checkpoint:
    """A decoded checkpoint, read from the log or received from a peer."""

    #: The complete state after all records of the log before its offset.
    state: ConfigurationState


@dataclass(frozen=True)
class UnreadablePayload:
    """A payload whose schema version is higher than this program can read."""

    #: The payload's schema version.
    schema_version: int

    #: For a checkpoint, the first offset of the log that it does not cover; ``None`` for a record.
    offset: Optional[int] = None


#: The result of decoding a payload.
DecodedPayload = Union[ConfigurationRecord, Checkpoint, UnreadablePayload]


def encode_record(record: ConfigurationRecord) -> bytes:
    """Returns the encoded record, as it is appended to the log."""
    return _pack(_PayloadType.RECORD, record.schema_version, {"record": record_to_dict(record)})


def encode_checkpoint(state: ConfigurationState) -> bytes:
    """Returns the encoded state, for the log and for peers.

    The checkpoint's schema version is the highest among its entries, so that every program that
    can read all entries can read the checkpoint. Equal states have equal encodings.
    """
    entries = sorted(state.entries.values(), key=lambda entry: str(entry.key))
    schema_version = max(
        (entry.schema_version for entry in entries), default=_LOWEST_SCHEMA_VERSION
    )
    body = {
        "offset": state.offset,
        "version": state.version,
        "entries": [_entry_to_dict(entry) for entry in entries],
        "checkpoint": _checkpoint_info_to_list(state.checkpoint),
        "history": [
            _history_entry_to_dict(history_entry) for history_entry in state.history.entries
        ],
    }
    return _pack(_PayloadType.CHECKPOINT, schema_version, body)


def decode_payload(
    encoded: bytes, readable_schema_version: int = HIGHEST_SCHEMA_VERSION
) -> result.Result[DecodedPayload, Failure]:
    """Decodes a record or checkpoint; fails with ``RECORD_MALFORMED``.

    If its schema version exceeds ``readable_schema_version``, only the header is read.
    """
    try:
        fields = msgpack.unpackb(encoded, strict_map_key=True)
    except (ValueError, msgpack.UnpackException):
        return _malformed_payload_failure("the payload is not valid MessagePack")
    if not isinstance(fields, Mapping):
        return _malformed_payload_failure("the payload is not a MessagePack map")
    schema_version = fields.get("schema_version")
    if type(schema_version) is not int or schema_version < _LOWEST_SCHEMA_VERSION:
        return _malformed_payload_failure("schema_version: expected a whole number above 0")
    if schema_version > readable_schema_version:
        offset = fields.get("offset")
        return result.Success(
            UnreadablePayload(schema_version, offset if type(offset) is int else None)
        )
    match fields.get("type"):
        case _PayloadType.RECORD.value:
            return _decode_record(fields, schema_version)
        case _PayloadType.CHECKPOINT.value:
            return _decode_checkpoint(fields)
        case other:
            return _malformed_payload_failure(
                f"type = {other!r}: expected 'record' or 'checkpoint'"
            )


def _pack(kind: _PayloadType, schema_version: int, body: Mapping[str, object]) -> bytes:
    return bytes(msgpack.packb({"type": kind.value, "schema_version": schema_version, **body}))


def _decode_record(
    fields: Mapping[str, Any], schema_version: int
) -> result.Result[DecodedPayload, Failure]:
    raw = fields.get("record")
    if not isinstance(raw, Mapping) or raw.get("schema_version") != schema_version:
        return _malformed_payload_failure(
            "record: expected a map with the same schema_version as its header"
        )
    match validate_record(raw, schema_version):
        case result.Success(ConfigurationRecord() as record):
            return result.Success(record)
        case result.Success(UnreadableSchema(later)):
            return result.Success(UnreadablePayload(later))
        case result.Failure(failure):
            return result.Failure(failure)
        case _:
            raise AssertionError("unreachable")


def _decode_checkpoint(fields: Mapping[str, Any]) -> result.Result[DecodedPayload, Failure]:
    try:
        state = restored_state(
            int(fields["offset"]),
            int(fields["version"]),
            [_entry_from_dict(raw) for raw in fields["entries"]],
            [_history_entry_from_dict(raw) for raw in fields["history"]],
            _checkpoint_info_from_list(fields["checkpoint"]),
        )
    except (LookupError, TypeError, ValueError) as error:
        return _malformed_payload_failure(f"checkpoint: {error!r}")
    return result.Success(Checkpoint(state))


def _checkpoint_info_to_list(checkpoint_info: Optional[CheckpointInfo]) -> Optional[list[object]]:
    return (
        None if checkpoint_info is None else [checkpoint_info.offset, checkpoint_info.appended_at]
    )


def _checkpoint_info_from_list(raw: Any) -> Optional[CheckpointInfo]:
    return None if raw is None else CheckpointInfo(int(raw[0]), float(raw[1]))


def _entry_to_dict(entry: Entry) -> dict[str, object]:
    return {
        "kind": entry.key.kind.value,
        "name": entry.key.name,
        "version": entry.version,
        "schema_version": entry.schema_version,
        "author": entry.author,
        "value": None if entry.value is None else _sorted_map(entry.value.raw),
    }


def _sorted_map(raw: Mapping[str, object]) -> dict[str, object]:
    return {field: raw[field] for field in sorted(raw)}


def _entry_from_dict(raw: Mapping[str, Any]) -> Entry:
    key = EntryKey(RecordKind(raw["kind"]), str(raw["name"]))
    schema_version = int(raw["schema_version"])
    value = None
    if raw["value"] is not None:
        match validate_value(key.kind, key.name, raw["value"], schema_version):
            case result.Success(published):
                value = published
            case result.Failure(failure):
                raise ValueError(failure.detail)
    return Entry(key, int(raw["version"]), schema_version, str(raw["author"]), value)


def _history_entry_to_dict(history_entry: HistoryEntry) -> dict[str, object]:
    return {
        "version": history_entry.version,
        "offset": history_entry.offset,
        "record_id": history_entry.record_id,
        "author": history_entry.author,
        "note": history_entry.note,
        "changes": [_historic_change_to_list(change) for change in history_entry.changes],
    }


def _history_entry_from_dict(raw: Mapping[str, Any]) -> HistoryEntry:
    return HistoryEntry(
        int(raw["version"]),
        int(raw["offset"]),
        str(raw["record_id"]),
        str(raw["author"]),
        str(raw["note"]),
        tuple(_historic_change_from_list(change) for change in raw["changes"]),
    )


def _historic_change_to_list(change: HistoricChange) -> list[object]:
    return [
        change.key.kind.value,
        change.key.name,
        change.version_before,
        None if change.before is None else _sorted_map(change.before),
        None if change.after is None else _sorted_map(change.after),
    ]


def _historic_change_from_list(raw: Any) -> HistoricChange:
    kind, name, version_before, before, after = raw
    return HistoricChange(
        EntryKey(RecordKind(kind), str(name)),
        int(version_before),
        None if before is None else dict(before),
        None if after is None else dict(after),
    )


def _malformed_payload_failure(detail: str) -> result.Result[DecodedPayload, Failure]:
    return result.Failure(Failure(ResultCode.RECORD_MALFORMED, detail))
