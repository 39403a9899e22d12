"""Reads one stream of the log continuously and delivers its records in order."""

import math
from collections.abc import Callable
from random import Random
from typing import Optional, Protocol

import trio

from camphordrift.platform_log._pacing import Backoff
from camphordrift.platform_log._settings import FollowerSettings
from camphordrift.platform_log._stream_position import FollowedRecord, LogGap, StreamPosition
from camphordrift.platform_log._transport import (
    LogTransport,
    LogUnavailableError,
    OffsetTruncatedError,
)


class LogHandler(Protocol):
    """Receives the records of a follower. Its methods are synchronous and must not block."""

    def on_record(self, record: FollowedRecord) -> None:
        """Handles the next record; called once per record, in offset order."""
        ...

    def on_truncated(self, gap: LogGap) -> None:
        """Handles the loss of records that were truncated before they were read.

        The next record is at ``gap.first_offset``.
        """
        ...


class LogFollower:
    """Reads a stream from a start offset and delivers each record to a handler once.

    Duplicates of a record are dropped. Failed reads are retried with backoff; the position never
    decreases. A follower that starts at offset 0 of a stream whose beginning was truncated reports
    this to its handler. The task :meth:`run` must be running. ``clock`` returns monotonic seconds.

    See also :class:`LogWriter`.
    """

    def __init__(
        self,
        transport: LogTransport,
        stream: str,
        handler: LogHandler,
        settings: FollowerSettings,
        clock: Callable[[], float],
        random: Random,
        from_offset: int = 0,
    ) -> None:
        self._transport = transport
        self._stream = stream
        self._handler = handler
        self._settings = settings
        self._clock = clock
        self._position = StreamPosition(from_offset, settings.remembered_record_ids)
        self._backoff = Backoff(
            settings.first_backoff_seconds, settings.maximum_backoff_seconds, random
        )
        self._last_contact_at: Optional[float] = None
        self._reads_started = 0
        self._newest_completed_read = 0
        self._consecutive_caught_up_reads = 0
        self._read_requested = trio.Event()
        self._progress = trio.Event()

    @property
    def position(self) -> StreamPosition:
        """The read position in the stream, with counters for the state dump."""
        return self._position

    @property
    def next_offset(self) -> int:
        """The offset of the next record to read."""
        return self._position.next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the last successful read reached the end of the stream."""
        return self._position.caught_up

    @property
    def consecutive_caught_up_reads(self) -> int:
        """Number of consecutive successful reads that ended at the end of the stream."""
        return self._consecutive_caught_up_reads

    @property
    def seconds_since_contact(self) -> float:
        """Seconds since the start of the latest read with a response; infinite before the first.

        It is measured from the start of the read: if the process is paused while it waits, the
        response is already old when it is processed.
        """
        if self._last_contact_at is None:
            return math.inf
        return self._clock() - self._last_contact_at

    def request_read(self) -> None:
        """Requests a read now instead of after the poll interval, for example for a new record."""
        self._read_requested.set()

    def skip_to(self, offset: int) -> None:
        """Continues at ``offset`` if it is after the current position."""
        self._position.skip_to(offset)
        self._notify_progress()

    async def wait_until_read(self, offset: int) -> None:
        """Waits until the record at ``offset`` has been delivered or skipped."""
        while self._position.next_offset <= offset:
            await self._progress.wait()

    async def read_now(self) -> None:
        """Requests a read and waits until one that starts after this call has succeeded."""
        self.request_read()
        target = self._reads_started + 1
        while self._newest_completed_read < target:
            await self._progress.wait()

    async def run(self) -> None:
        """Follows the stream until it is cancelled."""
        while True:
            # Reset before the read: a request that arrives during the read must cause another read,
            # because the current one may miss the new record.
            self._read_requested = trio.Event()
            succeeded = await self._read_once()
            if not succeeded:
                await trio.sleep(self._backoff.next_delay())
                continue
            self._backoff.reset()
            if self._position.caught_up:
                with trio.move_on_after(self._settings.poll_seconds):
                    await self._read_requested.wait()

    async def _read_once(self) -> bool:
        self._reads_started += 1
        started_at = self._clock()
        from_offset = self._position.next_offset
        try:
            with trio.fail_after(self._settings.read_timeout_seconds):
                batch = await self._transport.read(
                    self._stream, from_offset, self._settings.read_records
                )
        except OffsetTruncatedError as error:
            self._last_contact_at = started_at
            self._skip_gap(error.first_offset)
            return True
        except (LogUnavailableError, trio.TooSlowError):
            return False
        self._last_contact_at = started_at
        self._newest_completed_read = self._reads_started
        for record in self._position.on_read(batch, from_offset):
            self._handler.on_record(record)
        self._consecutive_caught_up_reads = (
            self._consecutive_caught_up_reads + 1 if self.caught_up else 0
        )
        self._notify_progress()
        return True

    def _skip_gap(self, first_offset: int) -> None:
        gap = self._position.on_truncated(first_offset)
        if gap is not None:
            self._handler.on_truncated(gap)
        self._notify_progress()

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()
