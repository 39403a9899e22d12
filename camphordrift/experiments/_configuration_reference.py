"""The configuration as the log has it, seen past all faults, to compare VMs with."""

from collections.abc import Mapping
from typing import Any, Optional

import msgpack

from camphordrift.configuration import ConfigurationReplica
from camphordrift.platform_log import FollowedRecord, ReadBatch, StreamPosition
from camphordrift.standins import InMemoryLogService


class LogReference:
    """A replica that sees the log past all faults, to compare the VMs with."""

    def __init__(self, service: InMemoryLogService, stream: str) -> None:
        self._stream = stream
        self._service = service
        self._position = StreamPosition(0, 1_000_000)
        self._replica = ConfigurationReplica()
        #: The entries of each version that there was.
        self.contents: dict[int, bytes] = {0: b""}
        #: The version that each accepted record made, by its note.
        self.accepted_notes: dict[str, int] = {}

    @property
    def version(self) -> int:
        """The newest version."""
        return self._replica.state.version

    def read_on(self) -> None:
        """Folds what has reached the log since the last call."""
        kept = self._service.records_of(self._stream)
        new = tuple(record for record in kept if record.offset >= self._position.next_offset)
        assert not new or new[0].offset == self._position.next_offset, "the reference is too slow"
        from_offset = self._position.next_offset
        end_offset = new[-1].offset + 1 if new else from_offset
        for record in self._position.on_read(ReadBatch(new, end_offset), from_offset):
            self._fold(record)

    def _fold(self, record: FollowedRecord) -> None:
        version = self.version
        self._replica.on_record(record)
        assert self._replica.block is None
        if self.version == version:
            return
        assert self.version == version + 1
        newest = self._replica.state.history.entries[-1]
        assert newest.note not in self.accepted_notes, "one record took effect twice"
        self.accepted_notes[newest.note] = newest.version
        self.contents[self.version] = content_of(self._replica.encoded_state())


def content_of(encoded: Optional[bytes]) -> bytes:
    """Returns the entries of an encoded state alone, without its place in the log."""
    if encoded is None:
        return b""
    fields: Mapping[str, Any] = msgpack.unpackb(encoded)
    return bytes(msgpack.packb(fields["entries"]))
