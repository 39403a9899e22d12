"""Encodes and decodes the records of a claims stream with MessagePack."""

import sys
import uuid
from typing import Any, Optional

import msgpack

from camphordrift.calls._keys import CallKey
from camphordrift.calls._records import (
    CallRecord,
    Claimant,
    ClaimRecord,
    HeartbeatRecord,
    OutcomeKind,
    OutcomeRecord,
    VoidRecord,
)
from camphordrift.identifiers import AccountId, Incarnation, VmId

#: Version of the format. A process that reads a higher version stops deciding on claims.
CLAIM_RECORD_VERSION = 1


class ClaimRecordTooNewError(Exception):
    """The record has a newer format version, which this program cannot interpret."""


def encode_call_record(record: CallRecord) -> bytes:
    """Encodes a record for the log."""
    packed: bytes = msgpack.packb(_fields_from_record(record))
    return packed


def decode_call_record(payload: bytes) -> Optional[CallRecord]:
    """Decodes a record; returns ``None`` for bytes that are not a valid record.

    Raises ``ClaimRecordTooNewError`` for a record of a newer version.
    """
    try:
        fields = msgpack.unpackb(payload)
        version = int(fields["v"])
    except (ValueError, KeyError, TypeError, IndexError, msgpack.UnpackException):
        return None
    if version > CLAIM_RECORD_VERSION:
        raise ClaimRecordTooNewError(f"record version {version} is above {CLAIM_RECORD_VERSION}")
    try:
        return _record_from_fields(fields)
    except (ValueError, KeyError, TypeError):
        return None


def _fields_from_record(record: CallRecord) -> dict[str, Any]:
    common = {"v": CLAIM_RECORD_VERSION, "id": record.record_id}
    match record:
        case ClaimRecord():
            return common | {
                "kind": "claim",
                "attempt": record.attempt_id,
                "account": record.key.account_id,
                "key": record.key.value.bytes,
                "digest": record.body_digest,
                "vm": record.claimant.vm_id,
                "incarnation": record.claimant.incarnation,
                "dispatch_within": record.dispatch_within_seconds,
                "run_timeout": record.run_timeout_seconds,
            }
        case VoidRecord():
            return common | {
                "kind": "void",
                "attempt": record.attempt_id,
                "account": record.key.account_id,
                "key": record.key.value.bytes,
            }
        case OutcomeRecord():
            return common | {
                "kind": "outcome",
                "attempt": record.attempt_id,
                "account": record.key.account_id,
                "key": record.key.value.bytes,
                "outcome": record.kind.value,
                "status": record.status,
                "type": record.content_type,
                "body": record.body,
                "answer_digest": record.answer_digest,
                "size": record.body_size,
            }
        case HeartbeatRecord():
            return common | {"kind": "mark"}


def _interned(text: object) -> str:
    """Interns a text, since many records share few accounts, VMs and media types."""
    return sys.intern(str(text))


def _key_from_fields(fields: dict[str, Any]) -> CallKey:
    return CallKey(
        account_id=AccountId(_interned(fields["account"])), value=uuid.UUID(bytes=fields["key"])
    )


def _record_from_fields(fields: dict[str, Any]) -> Optional[CallRecord]:
    record_id = str(fields["id"])
    match fields["kind"]:
        case "claim":
            return ClaimRecord(
                record_id=record_id,
                attempt_id=str(fields["attempt"]),
                key=_key_from_fields(fields),
                body_digest=bytes(fields["digest"]),
                claimant=Claimant(
                    vm_id=VmId(_interned(fields["vm"])),
                    incarnation=Incarnation(int(fields["incarnation"])),
                ),
                dispatch_within_seconds=float(fields["dispatch_within"]),
                run_timeout_seconds=float(fields["run_timeout"]),
            )
        case "void":
            return VoidRecord(
                record_id=record_id, attempt_id=str(fields["attempt"]), key=_key_from_fields(fields)
            )
        case "outcome":
            return OutcomeRecord(
                record_id=record_id,
                attempt_id=str(fields["attempt"]),
                key=_key_from_fields(fields),
                kind=OutcomeKind(fields["outcome"]),
                status=int(fields["status"]),
                content_type=_interned(fields["type"]),
                body=fields["body"],
                answer_digest=bytes(fields["answer_digest"]),
                body_size=int(fields["size"]),
            )
        case "mark":
            return HeartbeatRecord(record_id=record_id)
        case _:
            return None
