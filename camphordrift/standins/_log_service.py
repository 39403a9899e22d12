"""The platform's log service, in memory."""

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
    """What the service takes and keeps."""

    #: Appends per second over all streams.
    appends_per_second: float = 300.0

    #: Appends that may come at once after a pause.
    burst_appends: float = 300.0

    #: Records older than this are dropped; ``None`` keeps them whatever their age.
    retention_seconds: Optional[float] = None

    #: Records kept per stream; ``None`` keeps them whatever their number.
    retention_records: Optional[int] = None

    #: Time that one request takes, in seconds.
    latency_seconds: float = 0.002

    def __post_init__(self) -> None:
        if self.appends_per_second <= 0 or self.burst_appends < 1:
            raise ValueError("the rate of appends must be positive and the burst at least 1")
        if self.latency_seconds < 0:
            raise ValueError(f"latency_seconds must not be negative: {self.latency_seconds}")


@dataclass(frozen=True)
class ResponseLoss:
    """What becomes of an append whose answer is lost."""

    #: Whether the records reach the stream at all.
    takes_effect: bool

    #: How long after the request they reach it, in seconds.
    effect_delay_seconds: float = 0.0


class LogFaults:
    """The faults of the service, switched on and off by plain methods.

    Example::

        faults.lose_next_responses(1, ResponseLoss(takes_effect=True))
        faults.begin_outage()
    """

    def __init__(self) -> None:
        self._outage = False
        self._unresponsive = False
        self._slowness_seconds = 0.0
        self._answer_losses: list[ResponseLoss] = []

    @property
    def outage(self) -> bool:
        """Whether the service is down."""
        return self._outage

    @property
    def unresponsive(self) -> bool:
        """Whether the service, while down, does not even answer."""
        return self._outage and self._unresponsive

    @property
    def slowness_seconds(self) -> float:
        """Time added to each request, in seconds."""
        return self._slowness_seconds

    def begin_outage(self, unresponsive: bool = False) -> None:
        """Takes the service down; ``unresponsive`` leaves requests without any answer."""
        self._outage = True
        self._unresponsive = unresponsive

    def end_outage(self) -> None:
        """Brings the service back."""
        self._outage = False
        self._unresponsive = False

    def slow_down(self, seconds: float) -> None:
        """Adds ``seconds`` to each request; zero ends the slowness."""
        if seconds < 0:
            raise ValueError(f"slowness must not be negative: {seconds}")
        self._slowness_seconds = seconds

    def lose_next_responses(self, count: int, loss: ResponseLoss) -> None:
        """Loses the answers of the next ``count`` appends that the service takes."""
        self._answer_losses.extend([loss] * count)

    def take_answer_loss(self) -> Optional[ResponseLoss]:
        """Returns what shall become of the append at hand; ``None`` if it is answered."""
        return self._answer_losses.pop(0) if self._answer_losses else None


@dataclass
class _Stream:
    #: Records still kept, oldest first.
    records: list[LogRecord] = field(default_factory=list)

    #: The offset of the next record.
    end_offset: int = 0

    @property
    def first_offset(self) -> int:
        return self.end_offset - len(self.records)


@dataclass(frozen=True)
class _DelayedAppend:
    #: When the records reach the stream, by the service's clock.
    due_at: float

    #: The stream.
    stream: str

    #: The records.
    payloads: tuple[bytes, ...]


class InMemoryLogService:
    """Implements :class:`camphordrift.platform_log.LogTransport` in memory.

    ``clock`` gives seconds; in tests it is ``trio.current_time``. An append takes effect halfway
    through its request, so a caller that gives up waiting does not know whether it did.
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
        self._tokens_at = clock()
        self._append_count = 0
        self._refused_count = 0
        self._record_count = 0
        self._read_count = 0

    @property
    def faults(self) -> LogFaults:
        """The switches of the service's faults."""
        return self._faults

    @property
    def append_count(self) -> int:
        """Appends that the service took, whatever became of their answers."""
        return self._append_count

    @property
    def refused_count(self) -> int:
        """Appends that the service refused for its rate."""
        return self._refused_count

    @property
    def record_count(self) -> int:
        """Records that reached a stream."""
        return self._record_count

    @property
    def read_count(self) -> int:
        """Reads that the service answered."""
        return self._read_count

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends ``payloads`` together and returns the offset of the first."""
        if not payloads:
            raise ValueError("an append needs at least one payload")
        await self._pass_half_of_request()
        self._spend_append()
        loss = self._faults.take_answer_loss()
        if loss is not None:
            self._lose(loss, stream, tuple(payloads))
            await self._pass_half_of_request(already_taken=True)
            raise AppendUnsureError("the answer was lost")
        offset = self._store(stream, payloads)
        await self._pass_half_of_request(already_taken=True)
        return offset

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads up to ``max_records`` records from ``from_offset`` on."""
        await self._pass_half_of_request()
        await self._pass_half_of_request()
        self._read_count += 1
        kept = self._current(stream)
        if from_offset < kept.first_offset:
            raise OffsetTruncatedError(kept.first_offset)
        index = from_offset - kept.first_offset
        return ReadBatch(tuple(kept.records[index : index + max_records]), kept.end_offset)

    def records_of(self, stream: str) -> tuple[LogRecord, ...]:
        """Returns what the stream keeps, for tests that look at it past all faults."""
        return tuple(self._current(stream).records)

    def truncate(self, stream: str, first_offset: int) -> None:
        """Drops the records before ``first_offset``."""
        kept = self._current(stream)
        dropped = max(0, min(first_offset, kept.end_offset) - kept.first_offset)
        del kept.records[:dropped]

    def lose_tail(self, stream: str, end_offset: int) -> None:
        """Drops the records from ``end_offset`` on, as a service restored from a backup does."""
        kept = self._current(stream)
        kept.records = [record for record in kept.records if record.offset < end_offset]
        kept.end_offset = min(kept.end_offset, end_offset)

    async def _pass_half_of_request(self, already_taken: bool = False) -> None:
        await trio.sleep((self._limits.latency_seconds + self._faults.slowness_seconds) / 2)
        while self._faults.unresponsive:
            await trio.sleep(1.0)
        if not self._faults.outage:
            return
        if already_taken:
            raise AppendUnsureError("the service went down before it answered")
        raise LogUnavailableError("the service is down")

    def _spend_append(self) -> None:
        now = self._clock()
        gained = (now - self._tokens_at) * self._limits.appends_per_second
        self._tokens = min(self._limits.burst_appends, self._tokens + gained)
        self._tokens_at = now
        if self._tokens < 1:
            self._refused_count += 1
            raise AppendRefusedError("the service is over its rate of appends")
        self._tokens -= 1
        self._append_count += 1

    def _lose(self, loss: ResponseLoss, stream: str, payloads: tuple[bytes, ...]) -> None:
        if not loss.takes_effect:
            return
        if loss.effect_delay_seconds <= 0:
            self._store(stream, payloads)
            return
        due_at = self._clock() + loss.effect_delay_seconds
        self._delayed.append(_DelayedAppend(due_at, stream, payloads))

    def _store(self, stream: str, payloads: Sequence[bytes]) -> int:
        kept = self._current(stream)
        offset = kept.end_offset
        self._add(kept, payloads, self._clock())
        self._apply_retention(kept)
        return offset

    def _current(self, stream: str) -> _Stream:
        """Returns the stream with all that is due applied to it."""
        now = self._clock()
        due = [delayed for delayed in self._delayed if delayed.due_at <= now]
        self._delayed = [delayed for delayed in self._delayed if delayed.due_at > now]
        for delayed in sorted(due, key=lambda delayed: delayed.due_at):
            target = self._streams.setdefault(delayed.stream, _Stream())
            self._add(target, delayed.payloads, delayed.due_at)
        kept = self._streams.setdefault(stream, _Stream())
        self._apply_retention(kept)
        return kept

    def _add(self, kept: _Stream, payloads: Sequence[bytes], at: float) -> None:
        for payload in payloads:
            kept.records.append(LogRecord(kept.end_offset, bytes(payload), at))
            kept.end_offset += 1
            self._record_count += 1

    def _apply_retention(self, kept: _Stream) -> None:
        dropped = 0
        if self._limits.retention_records is not None:
            dropped = max(0, len(kept.records) - self._limits.retention_records)
        if self._limits.retention_seconds is not None:
            oldest_kept_at = self._clock() - self._limits.retention_seconds
            while (
                dropped < len(kept.records) and kept.records[dropped].appended_at < oldest_kept_at
            ):
                dropped += 1
        del kept.records[:dropped]
