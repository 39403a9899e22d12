"""Searches a stream for the records of an append whose response was lost."""

from camphordrift.platform_log._append_queue import AppendState, PendingAppend, mark_appended
from camphordrift.platform_log._envelope import RecordId, decode_envelope
from camphordrift.platform_log._transport import LogRecord, ReadBatch


class AppendSearch:
    """Reads a stream from an offset known to be before the append until all records are found.

    Even if a record is not found by the end of the stream, the lost append may still take effect.
    The record may therefore be appended again only under the same id, so that readers drop the
    second copy. It must not be appended again if part of the stream was truncated before it was
    read. Only the first copy in the stream counts, so after a second append the stream is still
    read up to that copy.
    """

    def __init__(self, batch: tuple[PendingAppend, ...], from_offset: int) -> None:
        self._not_found: dict[RecordId, PendingAppend] = {item.record_id: item for item in batch}
        self._next_offset = from_offset
        self._end_offset = from_offset
        self._has_gap = False

    @property
    def next_offset(self) -> int:
        """The offset of the next read."""
        return self._next_offset

    @property
    def at_end(self) -> bool:
        """Whether the last read reached the end of the stream."""
        return self._next_offset >= self._end_offset

    @property
    def missing(self) -> tuple[PendingAppend, ...]:
        """The records that were not found and whose callers still wait."""
        return tuple(
            pending for pending in self._not_found.values() if pending.state is AppendState.UNSURE
        )

    @property
    def may_reappend(self) -> bool:
        """Whether the records may be appended again under their ids."""
        return self.at_end and not self._has_gap

    def on_read(self, batch: ReadBatch) -> None:
        """Searches the records that were read from ``next_offset``."""
        for record in batch.records:
            self._check_record(record)
        self._end_offset = max(self._end_offset, batch.end_offset)

    def on_truncated(self, first_offset: int) -> None:
        """Continues after a truncated part of the stream, which may have contained the records."""
        self._has_gap = True
        self._next_offset = max(self._next_offset, first_offset)

    def _check_record(self, record: LogRecord) -> None:
        self._next_offset = max(self._next_offset, record.offset + 1)
        envelope = decode_envelope(record.payload)
        if envelope is None:
            return
        pending = self._not_found.pop(envelope.record_id, None)
        if pending is not None:
            mark_appended(pending, record.offset)
