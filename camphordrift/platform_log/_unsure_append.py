"""Finds out whether an append took effect whose answer was lost."""

from camphordrift.platform_log._append_queue import AppendState, PendingAppend, settle
from camphordrift.platform_log._envelope import RecordId, decode_envelope
from camphordrift.platform_log._transport import LogRecord, ReadBatch


class UnsureAppend:
    """Reads on from an offset known to lie before the append, until each record is found.

    A record that is not found up to the end of the stream may still arrive later. It may only be
    appended again under the same id, since readers drop the second copy, and never if part of the
    stream was lost unread. The first copy in the stream is the one that counts: after a repeated
    append the stream is therefore still read up to that copy.
    """

    def __init__(self, batch: tuple[PendingAppend, ...], from_offset: int) -> None:
        self._sought: dict[RecordId, PendingAppend] = {item.record_id: item for item in batch}
        self._next_offset = from_offset
        self._end_offset = from_offset
        self._has_gap = False

    @property
    def next_offset(self) -> int:
        """The offset to read from."""
        return self._next_offset

    @property
    def at_end(self) -> bool:
        """Whether the stream was read up to its end as of the last read."""
        return self._next_offset >= self._end_offset

    @property
    def missing(self) -> tuple[PendingAppend, ...]:
        """The records that were not found and that somebody still waits for."""
        return tuple(
            pending for pending in self._sought.values() if pending.state is AppendState.UNSURE
        )

    @property
    def may_repeat(self) -> bool:
        """Whether the records may be appended again under their ids."""
        return self.at_end and not self._has_gap

    def on_read(self, batch: ReadBatch) -> None:
        """Looks through what was read at ``next_offset``."""
        for record in batch.records:
            self._look_at(record)
        self._end_offset = max(self._end_offset, batch.end_offset)

    def on_truncated(self, first_offset: int) -> None:
        """Goes on behind a part of the stream that is no longer kept."""
        self._has_gap = True
        self._next_offset = max(self._next_offset, first_offset)

    def _look_at(self, record: LogRecord) -> None:
        self._next_offset = max(self._next_offset, record.offset + 1)
        envelope = decode_envelope(record.payload)
        if envelope is None:
            return
        pending = self._sought.pop(envelope.record_id, None)
        if pending is not None:
            settle(pending, record.offset)
