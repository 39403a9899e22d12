"""Reference configuration, read directly from the log stand-in, to compare VMs with."""

from collections.abc import Mapping
from typing import Any, Optional

import msgpack

from camphordrift.configuration import ConfigurationReplica
from camphordrift.platform_log import FollowedRecord, ReadBatch, StreamPosition
from camphordrift.standins import InMemoryLogService


class LogReference:
    """Replica that reads the log stand-in directly, unaffected by faults."""

    def __init__(self, service: InMemoryLogService, stream: str) -> None:
        self._stream = stream
        self._service = service
        self._position = StreamPosition(0, 1_000_000)
        self._replica = ConfigurationReplica()
        #: Encoded entries by version.
        self.encoded_entries: dict[int, bytes] = {0: b""}
        #: Version of each accepted record, by the note of the record.
        self.accepted_notes: dict[str, int] = {}

    @property
    def version(self) -> int:
        """The newest version."""
        return self._replica.state.version

    def catch_up(self) -> None:
        """Applies all records that were appended since the last call."""
        records = self._service.records_of(self._stream)
        new = tuple(record for record in records if record.offset >= self._position.next_offset)
        assert (
            not new or new[0].offset == self._position.next_offset
        ), "the log dropped records before the reference read them"
        from_offset = self._position.next_offset
        end_offset = new[-1].offset + 1 if new else from_offset
        for record in self._position.on_read(ReadBatch(new, end_offset), from_offset):
            self._apply(record)

    def _apply(self, record: FollowedRecord) -> None:
        version = self.version
        self._replica.on_record(record)
        assert self._replica.block is None
        if self.version == version:
            return
        assert self.version == version + 1
        newest = self._replica.state.history.entries[-1]
        assert newest.note not in self.accepted_notes, "a record was applied twice"
        self.accepted_notes[newest.note] = newest.version
        self.encoded_entries[self.version] = entries_of(self._replica.encoded_state())


def entries_of(encoded: Optional[bytes]) -> bytes:
    """Returns the entries of an encoded state, without its offset in the log."""
    if encoded is None:
        return b""
    fields: Mapping[str, Any] = msgpack.unpackb(encoded)
    return bytes(msgpack.packb(fields["entries"]))
