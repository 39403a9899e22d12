"""What every record of the system's own streams is wrapped in."""

from dataclasses import dataclass
from typing import NewType, Optional

import msgpack
import uuid6

#: Names one record, however often it is appended.
RecordId = NewType("RecordId", bytes)

#: Length of a record id in bytes.
RECORD_ID_BYTES = 16

#: Later versions may only add fields at the end, so that older readers pass over them.
ENVELOPE_VERSION = 1


@dataclass(frozen=True)
class RecordEnvelope:
    """A payload with the id by which readers recognize its second copy.

    An append whose answer is lost may be repeated under the same id; of several copies in a stream
    only the first counts. See also :class:`DuplicateFilter`.
    """

    #: The record's id.
    record_id: RecordId

    #: Who appended it, for people who read the log.
    writer: str

    #: The content.
    payload: bytes


def new_record_id() -> RecordId:
    """Returns an id that no other record has, beginning with the wall-clock time."""
    return RecordId(uuid6.uuid7().bytes)


def encode_envelope(envelope: RecordEnvelope) -> bytes:
    """Returns the envelope as it is appended to the log."""
    fields = (ENVELOPE_VERSION, envelope.record_id, envelope.writer, envelope.payload)
    return bytes(msgpack.packb(fields))


def decode_envelope(encoded: bytes) -> Optional[RecordEnvelope]:
    """Returns the envelope; ``None`` if the bytes are not one."""
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
