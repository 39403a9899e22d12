"""Appends records to the log for many callers, in batches and under one rate limit."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Optional

import trio
from returns import result

from camphordrift.platform_log._append_queue import AppendQueue, AppendState, PendingAppend
from camphordrift.platform_log._append_search import AppendSearch
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
from camphordrift.results import Failure, ResultCode

#: Maximum number of records per read in the search for an append with an unknown outcome.
_RECORDS_PER_SEARCH_READ = 1_000


@dataclass
class _StreamWriter:
    #: Name of the stream.
    stream: str

    #: The records that callers want to append to the stream.
    queue: AppendQueue

    #: Offset at which the search for an append with an unknown outcome starts. An append of this
    #: process that is sent later cannot take effect before this offset.
    search_start_offset: int = 0

    #: Set when a record is added to the queue; replaced before each wait.
    wake_up: trio.Event = field(default_factory=trio.Event)

    #: One event per waiting caller, by record id; set once the record is known to be appended.
    appended_events: dict[RecordId, trio.Event] = field(default_factory=dict)


@dataclass(frozen=True)
class WriterStatistics:
    """Counters of a writer for metrics and the state dump, since the start of the process."""

    #: Number of appends sent, regardless of their outcome.
    appends: int

    #: Number of records submitted by callers.
    records: int

    #: Number of appends whose response was lost, so that their outcome was unknown at first.
    unsure: int

    #: Number of appends that were sent again with the same record ids.
    repeated: int

    #: Number of records that are currently waiting to be sent.
    waiting: int


class LogWriter:
    """Appends records to the log for all components of one process.

    Records of one stream that wait at the same time are appended in batches. The rate of appends is
    limited to this VM's share of the service's append rate. The task :meth:`run` must be running.
    ``clock`` returns monotonic seconds, for example ``trio.current_time``. All deadlines are by
    this clock.

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
        self._new_stream_sender, self._new_stream_receiver = trio.open_memory_channel[
            _StreamWriter
        ](1_000)
        self._append_count = 0
        self._record_count = 0
        self._unsure_append_count = 0
        self._reappend_count = 0

    @property
    def statistics(self) -> WriterStatistics:
        """Numbers of appends and records so far, and of the records that wait to be sent."""
        waiting = sum(stream.queue.waiting_count for stream in self._streams.values())
        return WriterStatistics(
            self._append_count,
            self._record_count,
            self._unsure_append_count,
            self._reappend_count,
            waiting,
        )

    async def run(self) -> None:
        """Sends appends until it is cancelled."""
        async with trio.open_nursery() as nursery:
            async for stream in self._new_stream_receiver:
                nursery.start_soon(self._append_batches, stream, nursery)

    async def append(
        self, stream: str, payload: bytes, deadline: float, record_id: Optional[RecordId] = None
    ) -> result.Result[int, Failure]:
        """Appends one record and returns its offset; returns at ``deadline`` at the latest.

        Fails with ``LOG_UNAVAILABLE`` or ``LOG_APPEND_BUDGET_SPENT`` if the record is guaranteed
        never to reach the log, and with ``LOG_APPEND_UNSURE`` if it may have been appended or may
        still be. A caller that has to recognise such a record in the log, or to void it, that is,
        to append a later record that cancels it, needs its id. It passes its own ``record_id``,
        created with :func:`new_record_id`.
        """
        chosen_id = record_id if record_id is not None else new_record_id()
        envelope = RecordEnvelope(chosen_id, self._writer_name, payload)
        writer = self._stream_writer(stream)
        pending = writer.queue.add(chosen_id, encode_envelope(envelope))
        self._record_count += 1
        appended = trio.Event()
        writer.appended_events[chosen_id] = appended
        writer.wake_up.set()
        try:
            with trio.move_on_after(max(0.0, deadline - self._clock())):
                await appended.wait()
            return writer.queue.final_result(pending)
        finally:
            del writer.appended_events[chosen_id]
            writer.queue.abandon(pending)

    def _stream_writer(self, stream: str) -> _StreamWriter:
        existing = self._streams.get(stream)
        if existing is not None:
            return existing
        queue = AppendQueue(self._settings.batch_records, self._settings.batch_bytes)
        added = _StreamWriter(stream, queue)
        self._streams[stream] = added
        self._new_stream_sender.send_nowait(added)
        return added

    async def _append_batches(self, writer: _StreamWriter, nursery: trio.Nursery) -> None:
        await self._read_end_offset(writer)
        backoff = self._new_backoff()
        while True:
            await self._wait_for_work(writer)
            await self._wait_for_budget(writer)
            batch = writer.queue.take_batch()
            if not batch:
                continue
            search_start_offset = writer.search_start_offset
            refusal_code = await self._send_append(writer, batch)
            if refusal_code is not None:
                writer.queue.on_refused(batch, refusal_code)
                await trio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            if any(pending.state is AppendState.UNSURE for pending in batch):
                nursery.start_soon(self._resolve_unsure, writer, batch, search_start_offset)

    async def _wait_for_work(self, writer: _StreamWriter) -> None:
        while not writer.queue.waiting_count:
            writer.wake_up = trio.Event()
            await writer.wake_up.wait()

    async def _wait_for_budget(self, writer: _StreamWriter) -> None:
        while not self._budget.try_spend(self._clock()):
            writer.queue.on_budget_spent()
            await trio.sleep(self._budget.seconds_until_available(self._clock()))

    async def _send_append(
        self, writer: _StreamWriter, batch: tuple[PendingAppend, ...]
    ) -> Optional[ResultCode]:
        """Sends one append; returns a result code if it is guaranteed to have had no effect."""
        payloads = tuple(pending.encoded for pending in batch)
        self._append_count += 1
        try:
            with trio.fail_after(self._settings.append_timeout_seconds):
                first_offset = await self._transport.append(writer.stream, payloads)
        except LogUnavailableError:
            return ResultCode.LOG_UNAVAILABLE
        except (AppendUnsureError, trio.TooSlowError):
            self._unsure_append_count += 1
            writer.queue.on_unsure(batch)
            return None
        writer.search_start_offset = max(writer.search_start_offset, first_offset + len(batch))
        if all(pending.state is not AppendState.UNSURE for pending in batch):
            writer.queue.on_appended(batch, first_offset)
        self._notify_appended(writer, batch)
        return None

    async def _read_end_offset(self, writer: _StreamWriter) -> None:
        """Reads the stream's end before the first append.

        Searches for appends with an unknown outcome start at this offset.
        """
        backoff = self._new_backoff()
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
                writer.search_start_offset = batch.end_offset
                return

    async def _resolve_unsure(
        self, writer: _StreamWriter, batch: tuple[PendingAppend, ...], search_start_offset: int
    ) -> None:
        """Determines the outcome of a batch whose response was lost, while callers still wait."""
        search = AppendSearch(batch, search_start_offset)
        backoff = self._new_backoff()
        reappend_after = self._settings.reappend_after_seconds
        reappend_at = None if reappend_after is None else self._clock() + reappend_after
        while search.missing:
            await self._continue_search(writer, search)
            self._notify_appended(writer, batch)
            if not search.missing:
                return
            if reappend_at is not None and self._clock() >= reappend_at and search.may_reappend:
                await self._reappend(writer, search)
                continue
            await trio.sleep(backoff.next_delay())

    async def _continue_search(self, writer: _StreamWriter, search: AppendSearch) -> None:
        while search.missing:
            try:
                with trio.fail_after(self._settings.read_timeout_seconds):
                    batch = await self._transport.read(
                        writer.stream, search.next_offset, _RECORDS_PER_SEARCH_READ
                    )
            except OffsetTruncatedError as error:
                search.on_truncated(error.first_offset)
            except (LogUnavailableError, trio.TooSlowError):
                return
            else:
                search.on_read(batch)
                if search.at_end:
                    return

    async def _reappend(self, writer: _StreamWriter, search: AppendSearch) -> None:
        """Appends the missing records again; the search then still determines their offsets."""
        await self._wait_for_budget(writer)
        self._reappend_count += 1
        missing = search.missing
        if not missing:
            return
        refusal_code = await self._send_append(writer, missing)
        if refusal_code is not None:
            await trio.sleep(self._settings.first_backoff_seconds)

    def _notify_appended(self, writer: _StreamWriter, batch: tuple[PendingAppend, ...]) -> None:
        for pending in batch:
            appended = writer.appended_events.get(pending.record_id)
            if appended is not None and pending.state is AppendState.APPENDED:
                appended.set()

    def _new_backoff(self) -> Backoff:
        return Backoff(
            self._settings.first_backoff_seconds,
            self._settings.maximum_backoff_seconds,
            self._random,
        )
