"""Appends records for many callers under one budget."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Optional

import trio
from returns import result

from camphordrift.platform_log._append_queue import AppendQueue, AppendState, PendingAppend
from camphordrift.platform_log._envelope import (
    RecordEnvelope,
    RecordId,
    encode_envelope,
    new_record_id,
)
from camphordrift.platform_log._pacing import AppendBudget, Backoff
from camphordrift.platform_log._settings import WriterSettings
from camphordrift.platform_log._transport import (
    AppendUnsureError,
    LogTransport,
    LogUnavailableError,
    OffsetTruncatedError,
)
from camphordrift.platform_log._unsure_append import UnsureAppend
from camphordrift.results import Failure, ResultCode

#: Records in one read while an unsure append is looked for.
_SEARCH_RECORDS = 1_000


@dataclass
class _StreamWriter:
    #: The stream's name.
    stream: str

    #: What waits for it.
    queue: AppendQueue

    #: An offset before which no append of this process that is still unsure can stand.
    known_offset: int = 0

    #: Set when something waits; replaced once seen.
    wake_up: trio.Event = field(default_factory=trio.Event)

    #: One per caller that waits, by record id.
    settled: dict[RecordId, trio.Event] = field(default_factory=dict)


@dataclass(frozen=True)
class WriterStatistics:
    """What a writer has done so far, for metrics and the state dump."""

    #: Appends sent, whatever became of them.
    appends: int

    #: Records that callers handed in.
    records: int

    #: Appends whose answer was lost.
    unsure: int

    #: Appends that were sent again under the same record ids.
    repeated: int

    #: Records that wait to be sent.
    waiting: int


class LogWriter:
    """Appends records to the log for every part of one process.

    Records that wait together go out as one append, within this VM's share of the service's rate.
    ``run`` must be running. ``clock`` and all deadlines are monotonic seconds, such as
    ``trio.current_time``.

    Example::

        offset = await writer.append("configuration", payload, deadline=clock() + 5.0)

    See also :class:`LogFollower`.
    """

    def __init__(
        self,
        transport: LogTransport,
        writer_name: str,
        settings: WriterSettings,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._transport = transport
        self._writer_name = writer_name
        self._settings = settings
        self._clock = clock
        self._random = random
        self._budget = AppendBudget(settings.appends_per_second, settings.burst_appends, clock())
        self._streams: dict[str, _StreamWriter] = {}
        self._new_stream, self._new_streams = trio.open_memory_channel[_StreamWriter](1_000)
        self._append_count = 0
        self._record_count = 0
        self._unsure_count = 0
        self._repeated_count = 0

    @property
    def statistics(self) -> WriterStatistics:
        """What the writer has done so far."""
        waiting = sum(stream.queue.waiting_count for stream in self._streams.values())
        return WriterStatistics(
            self._append_count,
            self._record_count,
            self._unsure_count,
            self._repeated_count,
            waiting,
        )

    async def run(self) -> None:
        """Serves appends until it is cancelled."""
        async with trio.open_nursery() as nursery:
            async for stream in self._new_streams:
                nursery.start_soon(self._serve, stream, nursery)

    async def append(
        self, stream: str, payload: bytes, deadline: float, record_id: Optional[RecordId] = None
    ) -> result.Result[int, Failure]:
        """Appends one record and returns its offset, at the latest at ``deadline``.

        Fails with ``LOG_UNAVAILABLE`` or ``LOG_APPEND_BUDGET_SPENT`` if the record surely never
        reaches the log, and with ``LOG_APPEND_UNSURE`` if it may still do so. A caller that has to
        void an unsure record chooses its ``record_id`` itself, with :func:`new_record_id`.
        """
        chosen_id = record_id if record_id is not None else new_record_id()
        envelope = RecordEnvelope(chosen_id, self._writer_name, payload)
        writer = self._stream_writer(stream)
        pending = writer.queue.add(chosen_id, encode_envelope(envelope))
        self._record_count += 1
        settled = trio.Event()
        writer.settled[chosen_id] = settled
        writer.wake_up.set()
        try:
            with trio.move_on_after(max(0.0, deadline - self._clock())):
                await settled.wait()
            return writer.queue.conclude(pending)
        finally:
            del writer.settled[chosen_id]
            writer.queue.abandon(pending)

    def _stream_writer(self, stream: str) -> _StreamWriter:
        known = self._streams.get(stream)
        if known is not None:
            return known
        queue = AppendQueue(self._settings.batch_records, self._settings.batch_bytes)
        added = _StreamWriter(stream, queue)
        self._streams[stream] = added
        self._new_stream.send_nowait(added)
        return added

    async def _serve(self, writer: _StreamWriter, nursery: trio.Nursery) -> None:
        await self._find_end(writer)
        backoff = self._backoff()
        while True:
            await self._wait_for_work(writer)
            await self._wait_for_budget(writer)
            batch = writer.queue.take_batch()
            if not batch:
                continue
            known_offset = writer.known_offset
            refusal = await self._attempt(writer, batch)
            if refusal is not None:
                writer.queue.on_refused(batch, refusal)
                await trio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            if any(pending.state is AppendState.UNSURE for pending in batch):
                nursery.start_soon(self._resolve, writer, batch, known_offset)

    async def _wait_for_work(self, writer: _StreamWriter) -> None:
        while not writer.queue.waiting_count:
            writer.wake_up = trio.Event()
            await writer.wake_up.wait()

    async def _wait_for_budget(self, writer: _StreamWriter) -> None:
        while not self._budget.try_spend(self._clock()):
            writer.queue.on_budget_spent()
            await trio.sleep(self._budget.seconds_until_free(self._clock()))

    async def _attempt(
        self, writer: _StreamWriter, batch: tuple[PendingAppend, ...]
    ) -> Optional[ResultCode]:
        """Sends one append; returns the code if it surely had no effect."""
        payloads = tuple(pending.encoded for pending in batch)
        self._append_count += 1
        try:
            with trio.fail_after(self._settings.answer_timeout_seconds):
                first_offset = await self._transport.append(writer.stream, payloads)
        except LogUnavailableError:
            return ResultCode.LOG_UNAVAILABLE
        except (AppendUnsureError, trio.TooSlowError):
            self._unsure_count += 1
            writer.queue.on_unsure(batch)
            return None
        writer.known_offset = max(writer.known_offset, first_offset + len(batch))
        if all(pending.state is not AppendState.UNSURE for pending in batch):
            writer.queue.on_appended(batch, first_offset)
        self._tell_settled(writer, batch)
        return None

    async def _find_end(self, writer: _StreamWriter) -> None:
        """Learns an offset before the first append, from which an unsure one can be looked for."""
        backoff = self._backoff()
        from_offset = 0
        while True:
            try:
                with trio.fail_after(self._settings.read_timeout_seconds):
                    batch = await self._transport.read(writer.stream, from_offset, 1)
            except OffsetTruncatedError as error:
                from_offset = error.first_offset
            except (LogUnavailableError, trio.TooSlowError):
                await trio.sleep(backoff.next_delay())
            else:
                writer.known_offset = batch.end_offset
                return

    async def _resolve(
        self, writer: _StreamWriter, batch: tuple[PendingAppend, ...], known_offset: int
    ) -> None:
        """Settles a batch whose answer was lost, as far as its callers still wait."""
        search = UnsureAppend(batch, known_offset)
        backoff = self._backoff()
        repeat_after = self._settings.reappend_after_seconds
        repeat_at = None if repeat_after is None else self._clock() + repeat_after
        while search.missing:
            await self._read_on(writer, search)
            self._tell_settled(writer, batch)
            if not search.missing:
                return
            if repeat_at is not None and self._clock() >= repeat_at and search.may_repeat:
                await self._repeat(writer, search)
                continue
            await trio.sleep(backoff.next_delay())

    async def _read_on(self, writer: _StreamWriter, search: UnsureAppend) -> None:
        while search.missing:
            try:
                with trio.fail_after(self._settings.read_timeout_seconds):
                    batch = await self._transport.read(
                        writer.stream, search.next_offset, _SEARCH_RECORDS
                    )
            except OffsetTruncatedError as error:
                search.on_truncated(error.first_offset)
            except (LogUnavailableError, trio.TooSlowError):
                return
            else:
                search.on_read(batch)
                if search.at_end:
                    return

    async def _repeat(self, writer: _StreamWriter, search: UnsureAppend) -> None:
        """Appends what was not found again; its place is still found by reading."""
        await self._wait_for_budget(writer)
        self._repeated_count += 1
        missing = search.missing
        if not missing:
            return
        refusal = await self._attempt(writer, missing)
        if refusal is not None:
            await trio.sleep(self._settings.first_backoff_seconds)

    def _tell_settled(self, writer: _StreamWriter, batch: tuple[PendingAppend, ...]) -> None:
        for pending in batch:
            settled = writer.settled.get(pending.record_id)
            if settled is not None and pending.state is AppendState.APPENDED:
                settled.set()

    def _backoff(self) -> Backoff:
        return Backoff(
            self._settings.first_backoff_seconds,
            self._settings.maximum_backoff_seconds,
            self._random,
        )
