"""An in-memory stand-in for the platform's log service, with faults to inject."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Optional

import trio

from camphordrift.platform_log import (
    AppendRefusedError,
    AppendUnsureError,
    LogRecord,
    LogUnavailableError,
    OffsetTruncatedError,
    ReadBatch,
)


@dataclass(frozen=True)
class LogLimits:
    """Rate limit, retention and latency of the stand-in log service."""

    #: Maximum sustained number of appends per second, over all streams.
    appends_per_second: float = 300.0

    #: Maximum number of appends in a burst.
    burst_appends: float = 300.0

    #: Age in seconds above which records are dropped; ``None`` for no limit.
    retention_seconds: Optional[float] = None

    #: Maximum number of records per stream, beyond which the oldest are dropped; ``None`` for no
    #: limit.
    retention_records: Optional[int] = None

    #: Seconds from a request to its response.
    latency_seconds: float = 0.002

    def __post_init__(self) -> None:
        if self.appends_per_second <= 0 or self.burst_appends < 1:
            raise ValueError("appends_per_second must be positive and burst_appends at least 1")
        if self.latency_seconds < 0:
            raise ValueError(f"latency_seconds must not be negative: {self.latency_seconds}")


@dataclass(frozen=True)
class ResponseLoss:
    """Whether and when an append takes effect whose response is lost."""

    #: Whether the records are added to the stream at all.
    takes_effect: bool

    #: Seconds from the request until the records are added.
    effect_delay_seconds: float = 0.0


class LogFaults:
    """The faults that are injected into the stand-in log service.

    Example::

        faults.lose_next_responses(1, ResponseLoss(takes_effect=True))
        faults.begin_outage()
    """

    def __init__(self) -> None:
        self._outage = False
        self._unresponsive = False
        self._added_latency_seconds = 0.0
        self._response_losses: list[ResponseLoss] = []

    @property
    def outage(self) -> bool:
        """Whether an outage makes the service unavailable."""
        return self._outage

    @property
    def unresponsive(self) -> bool:
        """Whether requests hang during an outage, instead of failing at once."""
        return self._outage and self._unresponsive

    @property
    def added_latency_seconds(self) -> float:
        """Seconds of latency that are added to each request."""
        return self._added_latency_seconds

    def begin_outage(self, unresponsive: bool = False) -> None:
        """Makes the service unavailable.

        Requests fail at once, or hang until the end of the outage if ``unresponsive`` is true.
        """
        self._outage = True
        self._unresponsive = unresponsive

    def end_outage(self) -> None:
        """Makes the service available again."""
        self._outage = False
        self._unresponsive = False

    def slow_down(self, seconds: float) -> None:
        """Adds ``seconds`` of latency to each request; zero removes it."""
        if seconds < 0:
            raise ValueError(f"the added latency must not be negative: {seconds}")
        self._added_latency_seconds = seconds

    def lose_next_responses(self, count: int, loss: ResponseLoss) -> None:
        """Loses the responses to the next ``count`` appends that the service accepts."""
        self._response_losses.extend([loss] * count)

    def pop_response_loss(self) -> Optional[ResponseLoss]:
        """Removes and returns the loss for the current append; ``None`` if it gets a response."""
        return self._response_losses.pop(0) if self._response_losses else None


@dataclass
class _Stream:
    #: Retained records, oldest first.
    records: list[LogRecord] = field(default_factory=list)

    #: Offset that the next appended record gets.
    end_offset: int = 0

    @property
    def first_offset(self) -> int:
        return self.end_offset - len(self.records)


@dataclass(frozen=True)
class _DelayedAppend:
    #: When the records are added to the stream, in seconds by the service's clock.
    due_at: float

    #: Name of the stream.
    stream: str

    #: Payloads of the records.
    payloads: tuple[bytes, ...]


class InMemoryLogService:
    """Implements :class:`camphordrift.platform_log.LogTransport` in memory.

    ``clock`` returns seconds; in tests it is ``trio.current_time``. An append takes effect after
    half of its latency, so a caller that stops waiting does not know whether it took effect.
    """

    def __init__(
        self, clock: Callable[[], float], limits: LogLimits, faults: Optional[LogFaults] = None
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._faults = faults if faults is not None else LogFaults()
        self._streams: dict[str, _Stream] = {}
        self._delayed: list[_DelayedAppend] = []
        self._tokens = limits.burst_appends
        self._tokens_updated_at = clock()
        self._append_count = 0
        self._refused_count = 0
        self._record_count = 0
        self._read_count = 0

    @property
    def faults(self) -> LogFaults:
        """The faults that are injected into the service."""
        return self._faults

    @property
    def append_count(self) -> int:
        """Number of appends that the service accepted, including those with a lost response."""
        return self._append_count

    @property
    def refused_count(self) -> int:
        """Number of appends that the service refused because of its rate limit."""
        return self._refused_count

    @property
    def record_count(self) -> int:
        """Number of records that were added to a stream."""
        return self._record_count

    @property
    def read_count(self) -> int:
        """Number of reads that the service handled."""
        return self._read_count

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends ``payloads`` atomically and returns the offset of the first.

        Raises :class:`LogUnavailableError` during an outage, :class:`AppendRefusedError` if the
        rate limit is exceeded, and :class:`AppendUnsureError` if the response is lost.
        """
        if not payloads:
            raise ValueError("an append needs at least one payload")
        await self._wait_half_latency()
        self._consume_append_token()
        loss = self._faults.pop_response_loss()
        if loss is not None:
            self._apply_response_loss(loss, stream, tuple(payloads))
            await self._wait_half_latency(already_accepted=True)
            raise AppendUnsureError("the response was lost")
        offset = self._store(stream, payloads)
        await self._wait_half_latency(already_accepted=True)
        return offset

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads up to ``max_records`` records, starting at ``from_offset``.

        Raises :class:`LogUnavailableError` during an outage, and :class:`OffsetTruncatedError` if
        the record at ``from_offset`` has been dropped.
        """
        await self._wait_half_latency()
        await self._wait_half_latency()
        self._read_count += 1
        log = self._updated_stream(stream)
        if from_offset < log.first_offset:
            raise OffsetTruncatedError(log.first_offset)
        index = from_offset - log.first_offset
        return ReadBatch(tuple(log.records[index : index + max_records]), log.end_offset)

    def records_of(self, stream: str) -> tuple[LogRecord, ...]:
        """Returns the retained records of the stream, unaffected by faults, for assertions."""
        return tuple(self._updated_stream(stream).records)

    def truncate(self, stream: str, first_offset: int) -> None:
        """Drops the records before ``first_offset``, as retention does."""
        log = self._updated_stream(stream)
        dropped = max(0, min(first_offset, log.end_offset) - log.first_offset)
        del log.records[:dropped]

    def lose_tail(self, stream: str, end_offset: int) -> None:
        """Drops ``end_offset`` and all later records, as a restore from a backup does."""
        log = self._updated_stream(stream)
        log.records = [record for record in log.records if record.offset < end_offset]
        log.end_offset = min(log.end_offset, end_offset)

    async def _wait_half_latency(self, already_accepted: bool = False) -> None:
        await trio.sleep((self._limits.latency_seconds + self._faults.added_latency_seconds) / 2)
        while self._faults.unresponsive:
            await trio.sleep(1.0)
        if not self._faults.outage:
            return
        if already_accepted:
            raise AppendUnsureError("the log service became unavailable before it responded")
        raise LogUnavailableError("the log service is unavailable")

    def _consume_append_token(self) -> None:
        now = self._clock()
        new_tokens = (now - self._tokens_updated_at) * self._limits.appends_per_second
        self._tokens = min(self._limits.burst_appends, self._tokens + new_tokens)
        self._tokens_updated_at = now
        if self._tokens < 1:
            self._refused_count += 1
            raise AppendRefusedError("the rate limit for appends is exceeded")
        self._tokens -= 1
        self._append_count += 1

    def _apply_response_loss(
        self, loss: ResponseLoss, stream: str, payloads: tuple[bytes, ...]
    ) -> None:
        if not loss.takes_effect:
            return
        if loss.effect_delay_seconds <= 0:
            self._store(stream, payloads)
            return
        due_at = self._clock() + loss.effect_delay_seconds
        self._delayed.append(_DelayedAppend(due_at, stream, payloads))

    def _store(self, stream: str, payloads: Sequence[bytes]) -> int:
        log = self._updated_stream(stream)
        offset = log.end_offset
        self._add_records(log, payloads, self._clock())
        self._apply_retention(log)
        return offset

    def _updated_stream(self, stream: str) -> _Stream:
        """Returns the stream after applying due delayed appends and retention."""
        now = self._clock()
        due = [delayed for delayed in self._delayed if delayed.due_at <= now]
        self._delayed = [delayed for delayed in self._delayed if delayed.due_at > now]
        for delayed in sorted(due, key=lambda delayed: delayed.due_at):
            delayed_log = self._streams.setdefault(delayed.stream, _Stream())
            self._add_records(delayed_log, delayed.payloads, delayed.due_at)
        log = self._streams.setdefault(stream, _Stream())
        self._apply_retention(log)
        return log

    def _add_records(self, log: _Stream, payloads: Sequence[bytes], appended_at: float) -> None:
        for payload in payloads:
            log.records.append(LogRecord(log.end_offset, bytes(payload), appended_at))
            log.end_offset += 1
            self._record_count += 1

    def _apply_retention(self, log: _Stream) -> None:
        dropped = 0
        if self._limits.retention_records is not None:
            dropped = max(0, len(log.records) - self._limits.retention_records)
        if self._limits.retention_seconds is not None:
            min_appended_at = self._clock() - self._limits.retention_seconds
            while dropped < len(log.records) and log.records[dropped].appended_at < min_appended_at:
                dropped += 1
        del log.records[:dropped]
