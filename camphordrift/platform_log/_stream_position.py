"""Tracks the read position in a stream, so that each record is delivered once and in order."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.platform_log._duplicates import DuplicateFilter
from camphordrift.platform_log._envelope import RecordId, decode_envelope
from camphordrift.platform_log._transport import LogRecord, ReadBatch


@dataclass(frozen=True)
class FollowedRecord:
    """A record that is delivered to the handler of a follower."""

    #: The record's offset in the stream.
    offset: int

    #: The record's id. Duplicates that :class:`DuplicateFilter` detects are not delivered.
    record_id: RecordId

    #: Name of the process that appended it.
    writer: str

    #: Content of the record, without its envelope.
    payload: bytes

    #: When the log service accepted the record, in Unix seconds on the service's clock.
    appended_at: float


@dataclass(frozen=True)
class LogGap:
    """A range of records that the log truncated before they were read."""

    #: Offset of the first record in the gap.
    from_offset: int

    #: Offset of the oldest retained record, which is the first one after the gap.
    first_offset: int


class StreamPosition:
    """The read position in a stream, with a filter for duplicate and unreadable records.

    The position never decreases.
    """

    def __init__(self, from_offset: int, remembered_record_ids: int) -> None:
        if from_offset < 0:
            raise ValueError(f"from_offset must not be negative: {from_offset}")
        self._next_offset = from_offset
        self._end_offset: Optional[int] = None
        self._lost_tail = False
        self._duplicates = DuplicateFilter(remembered_record_ids)
        self._dropped_duplicate_count = 0
        self._unreadable = 0

    @property
    def next_offset(self) -> int:
        """The offset of the next record to read."""
        return self._next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the last read reached the end of the stream."""
        return self._end_offset is not None and self._next_offset >= self._end_offset

    @property
    def lost_tail(self) -> bool:
        """Whether the stream ends before the offset that the last read started from.

        The service has then lost records that it had acknowledged. Records that were already read
        remain valid, and records appended later at those offsets are not delivered.
        """
        return self._lost_tail

    @property
    def dropped_duplicate_count(self) -> int:
        """Number of duplicate records that were dropped."""
        return self._dropped_duplicate_count

    @property
    def unreadable(self) -> int:
        """Number of records that were skipped because they have no valid envelope."""
        return self._unreadable

    def on_read(self, batch: ReadBatch, from_offset: int) -> tuple[FollowedRecord, ...]:
        """Applies the result of a read from ``from_offset`` and returns the records to deliver.

        The position may have been advanced since the read started, so a lost tail is detected by
        ``from_offset`` and not by the current position.
        """
        self._end_offset = batch.end_offset
        self._lost_tail = batch.end_offset < from_offset
        followed = []
        for record in batch.records:
            if record.offset < self._next_offset:
                continue
            self._next_offset = record.offset + 1
            decoded = self._decode_record(record)
            if decoded is not None:
                followed.append(decoded)
        return tuple(followed)

    def on_truncated(self, first_offset: int) -> Optional[LogGap]:
        """Continues at the oldest retained record; returns the skipped range, if there is one."""
        if first_offset <= self._next_offset:
            return None
        gap = LogGap(self._next_offset, first_offset)
        self._next_offset = first_offset
        return gap

    def skip_to(self, offset: int) -> None:
        """Continues at ``offset`` if it is ahead, for a reader that already has earlier records."""
        self._next_offset = max(self._next_offset, offset)

    def _decode_record(self, record: LogRecord) -> Optional[FollowedRecord]:
        envelope = decode_envelope(record.payload)
        if envelope is None:
            self._unreadable += 1
            return None
        if not self._duplicates.remember_if_new(envelope.record_id):
            self._dropped_duplicate_count += 1
            return None
        return FollowedRecord(
            record.offset,
            envelope.record_id,
            envelope.writer,
            envelope.payload,
            record.appended_at,
        )
