"""What a VM knows of one engine's work, from what was sent to it."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._values import BackendServer, EngineCosts

#: Seconds for which an engine is left alone after a failure; doubled by each further one.
FIRST_REST = 1.0

#: Seconds for which an engine is left alone after it had no room.
REJECTION_REST = 0.3

#: Longest time in seconds for which a failing engine is left alone.
LONGEST_REST = 8.0

#: Weight of the newest observation in an engine's pace.
PACE_WEIGHT = 0.5

#: Bounds of an observed pace; events that arrive together show no less than a stated pass.
PACE_BOUNDS = (1.0, 20.0)


@dataclass
class EngineWork:
    """One request's share of an engine."""

    #: Tokens of KV memory that it takes.
    memory_tokens: int
    #: Tokens of context while it writes.
    context_tokens: int
    #: Longest pause in seconds between its events.
    pause: float
    #: Seconds of reading.
    reading: float
    #: Whether its prompt is still being read.
    is_reading: bool
    #: Whether it only reads a part for another engine.
    is_helper: bool


@dataclass(frozen=True)
class _Sums:
    """What an engine's works come to together."""

    memory_tokens: int = 0
    context_tokens: int = 0
    writers: int = 0
    reading: int = 0
    tightest_pause: Optional[float] = None


class EngineLoad:
    """One engine and the work given to it."""

    def __init__(self, server: BackendServer, costs: EngineCosts) -> None:
        self.server = server
        self._costs = costs
        self._works: dict[str, EngineWork] = {}
        #: Sums over the works, kept as every placement looks at every engine.
        self._sums = _Sums()
        self._reading_until = 0.0
        self._rests_until = 0.0
        self._failures = 0
        self._pace = 1.0

    @property
    def works(self) -> dict[str, EngineWork]:
        """The work given to this engine, by the id of its ask."""
        return self._works

    @property
    def pace(self) -> float:
        """How many times longer than stated the engine takes."""
        return self._pace

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._failures

    @property
    def reading(self) -> int:
        """Prompts that are being read here, or parts of them."""
        return self._sums.reading

    @property
    def writers(self) -> int:
        """Requests that write here, now or as soon as they are read."""
        return self._sums.writers

    @property
    def free_slots(self) -> int:
        """Requests that may be added."""
        return self._costs.slots - self._sums.writers

    @property
    def free_memory(self) -> int:
        """Tokens of KV memory that are not taken."""
        return self._costs.memory_tokens - self._sums.memory_tokens

    @property
    def tightest_pause(self) -> Optional[float]:
        """The shortest pause in seconds that a request here aims at."""
        return self._sums.tightest_pause

    def set_costs(self, costs: EngineCosts) -> None:
        """Takes over what a new configuration says of the engine."""
        self._costs = costs

    def rests(self, now: float) -> bool:
        """Tells whether the engine is left alone after failures."""
        return now < self._rests_until

    def pass_time(self) -> float:
        """Returns the seconds of one pass without reading."""
        sums = self._sums
        return self._costs.iteration_time(sums.writers, sums.context_tokens) * self._pace

    def pending_reading(self, now: float) -> float:
        """Returns the seconds of reading that are not done yet."""
        return max(0.0, self._reading_until - now)

    def add(self, ask_id: str, work: EngineWork, now: float) -> None:
        """Gives work to the engine."""
        self._works[ask_id] = work
        self._sums = _sums_of(self._works.values())
        if work.is_reading:
            self._reading_until = max(now, self._reading_until) + work.reading * self._pace

    def finish_reading(self, ask_id: str, now: float) -> None:
        """Notes that a prompt has been read."""
        work = self._works.get(ask_id)
        if work is None:
            return
        work.is_reading = False
        # An event shows that the engine works.
        self._failures = 0
        if work.is_helper and not work.memory_tokens:
            del self._works[ask_id]
        self._sums = _sums_of(self._works.values())
        self._limit_pending(now)

    def remove(self, ask_id: str, now: float) -> None:
        """Notes that the work has ended."""
        if self._works.pop(ask_id, None) is not None:
            self._sums = _sums_of(self._works.values())
            self._limit_pending(now)

    def note_pass(self, seconds: float) -> None:
        """Notes how long a pass without reading took."""
        stated = self.pass_time() / self._pace
        low, high = PACE_BOUNDS
        observed = min(high, max(low, seconds / stated))
        self._pace += (observed - self._pace) * PACE_WEIGHT

    def note_failure(self, now: float) -> None:
        """Leaves the engine alone for a while."""
        self._rest(now, FIRST_REST)

    def note_rejection(self, now: float) -> None:
        """Leaves the engine alone, as it has less room than was believed, or is about to leave."""
        self._rest(now, REJECTION_REST)

    def note_success(self) -> None:
        """Forgets failures."""
        self._failures = 0

    def _rest(self, now: float, first: float) -> None:
        """Leaves the engine alone; each time in a row for twice as long."""
        rest = min(LONGEST_REST, first * 2**self._failures)
        self._failures += 1
        self._rests_until = max(self._rests_until, now + rest)

    def _limit_pending(self, now: float) -> None:
        """Drops reading that no remaining work accounts for."""
        left = sum(w.reading * self._pace for w in self._works.values() if w.is_reading)
        self._reading_until = min(self._reading_until, now + left)


def _sums_of(works: Iterable[EngineWork]) -> _Sums:
    memory = context = writers = reading = 0
    tightest: Optional[float] = None
    for work in works:
        memory += work.memory_tokens
        context += work.context_tokens
        reading += work.is_reading
        if not work.is_helper:
            writers += 1
            tightest = work.pause if tightest is None else min(tightest, work.pause)
    return _Sums(memory, context, writers, reading, tightest)
