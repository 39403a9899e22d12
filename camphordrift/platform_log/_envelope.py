"""The envelope that wraps every record in this system's log streams."""

from dataclasses import dataclass
from typing import NewType, Optional

import msgpack
import uuid6

#: Identifies a record; all copies of it in a stream have the same id.
RecordId = NewType("RecordId", bytes)

#: Number of bytes in a record id.
RECORD_ID_BYTES = 16

#: Version of the envelope's encoding. Later versions may only add fields at the end, so that older
#: readers can ignore them.
ENVELOPE_VERSION = 1


@dataclass(frozen=True)
class RecordEnvelope:
    """A payload with the record id by which readers detect duplicates.

    An append whose response was lost may be retried with the same id. Of several copies in a
    stream, only the first counts. See also :class:`DuplicateFilter`.
    """

    #: Id of the record.
    record_id: RecordId

    #: Name of the process that appended it; only for people who inspect the log.
    writer: str

    #: Content of the record, which this package does not interpret.
    payload: bytes


def new_record_id() -> RecordId:
    """Returns a unique id (UUID version 7), which begins with the wall-clock time."""
    return RecordId(uuid6.uuid7().bytes)


def encode_envelope(envelope: RecordEnvelope) -> bytes:
    """Returns the msgpack encoding that is appended to the log."""
    fields = (ENVELOPE_VERSION, envelope.record_id, envelope.writer, envelope.payload)
    return bytes(msgpack.packb(fields))


def decode_envelope(encoded: bytes) -> Optional[RecordEnvelope]:
    """Returns the decoded envelope; ``None`` if the bytes are not a valid one."""
    try:
        fields = msgpack.unpackb(encoded, use_list=False)
    except (ValueError, msgpack.UnpackException):
        return None
    match fields:
        case (int(version), bytes(record_id), str(writer), bytes(payload), *_):
            if version < ENVELOPE_VERSION or len(record_id) != RECORD_ID_BYTES:
                return None
            return RecordEnvelope(RecordId(record_id), writer, payload)
        case _:
            return None
