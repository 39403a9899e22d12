"""Follows one stream of the log."""

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
    """Whoever a follower hands records to. Its methods do not wait."""

    def on_record(self, record: FollowedRecord) -> None:
        """Takes the next record; each is handed on once, in the order of the offsets."""
        ...

    def on_truncated(self, gap: LogGap) -> None:
        """Learns that records were dropped unread; the next record is at ``gap.first_offset``."""
        ...


class LogFollower:
    """Reads a stream from an offset on and hands its records to a handler, each once.

    Second copies of a record are dropped. Outages and slowness are waited out; a follower never
    goes back. A follower that starts at offset 0 of a stream whose beginning was dropped tells its
    handler so. ``run`` must be running. ``clock`` gives monotonic seconds.

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
        self._contact_at: Optional[float] = None
        self._reads_begun = 0
        self._newest_answered_read = 0
        self._caught_up_reads = 0
        self._poked = trio.Event()
        self._progress = trio.Event()

    @property
    def position(self) -> StreamPosition:
        """How far the stream has been read, with counters for the state dump."""
        return self._position

    @property
    def next_offset(self) -> int:
        """The offset of the next record to read."""
        return self._position.next_offset

    @property
    def caught_up(self) -> bool:
        """Whether everything was read that the stream had at the last contact."""
        return self._position.caught_up

    @property
    def caught_up_reads(self) -> int:
        """How many reads in a row have found nothing further."""
        return self._caught_up_reads

    @property
    def seconds_since_contact(self) -> float:
        """Time since the newest read that was answered began; infinite before the first.

        It counts from the beginning, because a process that is paused while it waits for an answer
        takes an old answer for a new one.
        """
        if self._contact_at is None:
            return math.inf
        return self._clock() - self._contact_at

    def request_read(self) -> None:
        """Reads at once, for a caller that knows of a new record."""
        self._poked.set()

    def skip_to(self, offset: int) -> None:
        """Goes on at ``offset`` if that lies ahead."""
        self._position.skip_to(offset)
        self._tell_progress()

    async def wait_until_read(self, offset: int) -> None:
        """Waits until the record at ``offset`` has been handed on or passed over."""
        while self._position.next_offset <= offset:
            await self._progress.wait()

    async def read_now(self) -> None:
        """Waits until a read that begins after this call has been answered."""
        self.request_read()
        target = self._reads_begun + 1
        while self._newest_answered_read < target:
            await self._progress.wait()

    async def run(self) -> None:
        """Follows the stream until it is cancelled."""
        while True:
            # A read that is already under way may miss the record that a poke tells of.
            self._poked = trio.Event()
            answered = await self._read_once()
            if not answered:
                await trio.sleep(self._backoff.next_delay())
                continue
            self._backoff.reset()
            if self._position.caught_up:
                with trio.move_on_after(self._settings.poll_seconds):
                    await self._poked.wait()

    async def _read_once(self) -> bool:
        self._reads_begun += 1
        begun_at = self._clock()
        from_offset = self._position.next_offset
        try:
            with trio.fail_after(self._settings.read_timeout_seconds):
                batch = await self._transport.read(
                    self._stream, from_offset, self._settings.read_records
                )
        except OffsetTruncatedError as error:
            self._contact_at = begun_at
            self._pass_gap(error.first_offset)
            return True
        except (LogUnavailableError, trio.TooSlowError):
            return False
        self._contact_at = begun_at
        self._newest_answered_read = self._reads_begun
        for record in self._position.on_read(batch, from_offset):
            self._handler.on_record(record)
        self._caught_up_reads = self._caught_up_reads + 1 if self.caught_up else 0
        self._tell_progress()
        return True

    def _pass_gap(self, first_offset: int) -> None:
        gap = self._position.on_truncated(first_offset)
        if gap is not None:
            self._handler.on_truncated(gap)
        self._tell_progress()

    def _tell_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()
