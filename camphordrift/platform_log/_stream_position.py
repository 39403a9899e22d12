"""The decisions of reading a stream in order, each record once."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.platform_log._duplicates import DuplicateFilter
from camphordrift.platform_log._envelope import RecordId, decode_envelope
from camphordrift.platform_log._transport import LogRecord, ReadBatch


@dataclass(frozen=True)
class FollowedRecord:
    """A record as it is handed to whoever follows the stream."""

    #: Its place in the stream.
    offset: int

    #: Its id; no other record that is handed on has the same one.
    record_id: RecordId

    #: Who appended it.
    writer: str

    #: The content.
    payload: bytes

    #: When the service took it, in seconds since 1970 by the service's clock.
    appended_at: float


@dataclass(frozen=True)
class LogGap:
    """Records that the log dropped before they were read."""

    #: The offset that should have been read next.
    from_offset: int

    #: The oldest offset still kept.
    first_offset: int


class StreamPosition:
    """How far a stream has been read. Positions only grow."""

    def __init__(self, from_offset: int, remembered_record_ids: int) -> None:
        if from_offset < 0:
            raise ValueError(f"from_offset must not be negative: {from_offset}")
        self._next_offset = from_offset
        self._end_offset: Optional[int] = None
        self._lost_tail = False
        self._duplicates = DuplicateFilter(remembered_record_ids)
        self._dropped_duplicates = 0
        self._unreadable = 0

    @property
    def next_offset(self) -> int:
        """The offset of the next record to read."""
        return self._next_offset

    @property
    def caught_up(self) -> bool:
        """Whether everything was read that the stream had at the last read."""
        return self._end_offset is not None and self._next_offset >= self._end_offset

    @property
    def lost_tail(self) -> bool:
        """Whether the stream has become shorter than what was already read.

        The service has then lost records that it had taken. What was read stays in force, and
        records that are appended at offsets already read are not seen.
        """
        return self._lost_tail

    @property
    def dropped_duplicates(self) -> int:
        """Second copies that were passed over."""
        return self._dropped_duplicates

    @property
    def unreadable(self) -> int:
        """Records that are not in an envelope and were passed over."""
        return self._unreadable

    def on_read(self, batch: ReadBatch, from_offset: int) -> tuple[FollowedRecord, ...]:
        """Takes what was read from ``from_offset`` on and returns the records to hand on, in order.

        The position may have been moved ahead since the read began, so what the stream has lost is
        judged by the offset that was asked for.
        """
        self._end_offset = batch.end_offset
        self._lost_tail = batch.end_offset < from_offset
        followed = []
        for record in batch.records:
            if record.offset < self._next_offset:
                continue
            self._next_offset = record.offset + 1
            opened = self._open(record)
            if opened is not None:
                followed.append(opened)
        return tuple(followed)

    def on_truncated(self, first_offset: int) -> Optional[LogGap]:
        """Goes on at the oldest record kept; returns what was lost, if anything was."""
        if first_offset <= self._next_offset:
            return None
        gap = LogGap(self._next_offset, first_offset)
        self._next_offset = first_offset
        return gap

    def skip_to(self, offset: int) -> None:
        """Goes on at ``offset`` if that lies ahead, for a reader that knows the rest already."""
        self._next_offset = max(self._next_offset, offset)

    def _open(self, record: LogRecord) -> Optional[FollowedRecord]:
        envelope = decode_envelope(record.payload)
        if envelope is None:
            self._unreadable += 1
            return None
        if not self._duplicates.is_first(envelope.record_id):
            self._dropped_duplicates += 1
            return None
        return FollowedRecord(
            record.offset,
            envelope.record_id,
            envelope.writer,
            envelope.payload,
            record.appended_at,
        )
