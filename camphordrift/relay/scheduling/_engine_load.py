"""Estimates one engine's load from the requests that were placed on it."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.model import BackendServer, EngineCosts
from camphordrift.relay.scheduling._engine_health import EngineHealth
from camphordrift.relay.scheduling._request_limits import RequestLimits

#: Weight of the newest observation in the moving average of an engine's latency factor, the ratio
#: of its observed iteration time to the time predicted from the configured costs.
LATENCY_FACTOR_WEIGHT = 0.5

#: Bounds of an observed latency factor. The lower one is needed because events that arrive together
#: would make an iteration look shorter than the configured costs allow.
LATENCY_FACTOR_BOUNDS = (1.0, 20.0)


@dataclass
class EngineTask:
    """The work of one request on one engine."""

    #: Tokens of KV memory that the request takes up on the engine.
    memory_tokens: int
    #: Tokens of context during decode.
    context_tokens: int
    #: Maximum number of seconds between events of the response that still meets its target.
    gap_target: float
    #: Prefill time in seconds, by the configured costs.
    prefill_seconds: float
    #: Whether the prefill has not finished.
    is_prefilling: bool
    #: Whether the engine only prefills a part of the prompt for another engine.
    is_helper: bool
    #: Whether the engine should run no other request until the first event.
    is_isolated: bool = False
    #: Time by which the first event arrives unless the engine is much slower than expected.
    overdue_at: float = float("inf")
    #: Time by which the first event is due.
    first_event_due_at: float = float("inf")


@dataclass(frozen=True)
class _LoadTotals:
    """Sums over the tasks of one engine."""

    memory_tokens: int = 0
    context_tokens: int = 0
    decoding_requests: int = 0
    prefilling_requests: int = 0
    min_gap_target: Optional[float] = None
    #: Whether a prompt in prefill should be the only one.
    is_isolated: bool = False
    #: Earliest :attr:`EngineTask.overdue_at` of the prompts in prefill.
    overdue_at: float = float("inf")
    #: Earliest :attr:`EngineTask.first_event_due_at` of the prompts in prefill.
    first_event_due_at: float = float("inf")


class EngineLoad:
    """Estimates the load of one engine from the tasks that are placed on it."""

    def __init__(self, server: BackendServer, costs: EngineCosts, limits: RequestLimits) -> None:
        self.server = server
        self._costs = costs
        self._limits = limits
        self._tasks: dict[str, EngineTask] = {}
        #: Cached, because placements read them more often than they change.
        self._totals = _LoadTotals()
        self._prefill_until = 0.0
        self._health = EngineHealth()
        self._latency_factor = 1.0
        #: Whether warm engines are preferred to this one, as it is cold.
        self.is_cold = False

    @property
    def tasks(self) -> dict[str, EngineTask]:
        """The tasks placed on this engine, by the id of the placement request."""
        return self._tasks

    @property
    def latency_factor(self) -> float:
        """Ratio of the observed iteration time to the time predicted from the configured costs."""
        return self._latency_factor

    @property
    def health(self) -> EngineHealth:
        """Tracks the engine's failures and reports."""
        return self._health

    @property
    def prefilling_requests(self) -> int:
        """Number of prompts, or parts of prompts, in prefill here."""
        return self._totals.prefilling_requests

    @property
    def decoding_requests(self) -> int:
        """Number of requests that decode here, now or after their prefill."""
        return self._totals.decoding_requests

    @property
    def free_slots(self) -> int:
        """Number of decoding requests that may be added."""
        return self._costs.slots - self._totals.decoding_requests

    @property
    def free_memory(self) -> int:
        """Tokens of KV memory that no task takes up."""
        return self._costs.memory_tokens - self._totals.memory_tokens

    @property
    def min_gap_target(self) -> Optional[float]:
        """Shortest target gap in seconds between events, over the requests that decode here."""
        return self._totals.min_gap_target

    @property
    def first_event_due_at(self) -> float:
        """Earliest time at which the first event of a prompt in prefill here is due."""
        return self._totals.first_event_due_at

    @property
    def prefill_until(self) -> float:
        """Expected time at which the engine has finished the prefill that is placed on it."""
        return self._prefill_until

    @property
    def is_limited(self) -> bool:
        """Whether the engine named how many requests per second it takes."""
        return self._limits.is_limited(self.server)

    def has_limit(self, now: float) -> bool:
        """Returns whether the engine has a limit, because it named one or because it is cold."""
        return self._limits.has_limit(self.server, now)

    def limit_wait(self, now: float) -> float:
        """Returns the seconds until the engine's limit permits a request; 0 without a limit."""
        return self._limits.wait_time(self.server, now)

    def set_costs(self, costs: EngineCosts) -> None:
        """Replaces the engine's costs by those of a new configuration."""
        self._costs = costs

    def is_suspect(self, now: float) -> bool:
        """Returns whether other engines are preferred to this one.

        That is the case after failures, while a first event is overdue, and while an engine may
        crash on a prompt in prefill. An engine that crashed without closing its connections stays
        listed until its heartbeat is missed.
        """
        totals = self._totals
        return now > totals.overdue_at or totals.is_isolated or self._health.is_suspect(now)

    def iteration_time(self) -> float:
        """Returns the expected seconds of one engine iteration without prefill."""
        totals = self._totals
        return (
            self._costs.iteration_time(totals.decoding_requests, totals.context_tokens)
            * self._latency_factor
        )

    def pending_prefill(self, now: float) -> float:
        """Returns the expected seconds of prefill work that the engine has not finished."""
        return max(0.0, self._prefill_until - now)

    def add(self, ask_id: str, task: EngineTask, now: float, is_running: bool = False) -> None:
        """Adds a task that is placed on the engine at ``now``, or runs there already."""
        self._limits.take(self.server, now, is_running)
        self._tasks[ask_id] = task
        self._totals = _totals_of(self._tasks.values())
        if task.is_prefilling:
            self._prefill_until = (
                max(now, self._prefill_until) + task.prefill_seconds * self._latency_factor
            )

    def record_prefilled(self, ask_id: str, now: float) -> None:
        """Records that a prompt's prefill has finished; unknown ids are ignored."""
        task = self._tasks.get(ask_id)
        if task is None:
            return
        task.is_prefilling = False
        self._health.record_response()
        if task.is_helper and not task.memory_tokens:
            del self._tasks[ask_id]
        self._totals = _totals_of(self._tasks.values())
        self._limit_pending_prefill(now)

    def remove(self, ask_id: str, now: float) -> None:
        """Removes a task that has ended; unknown ids are ignored."""
        if self._tasks.pop(ask_id, None) is not None:
            self._totals = _totals_of(self._tasks.values())
            self._limit_pending_prefill(now)

    def record_iteration(self, seconds: float) -> None:
        """Updates the latency factor with the seconds of an iteration without prefill."""
        configured = self.iteration_time() / self._latency_factor
        low, high = LATENCY_FACTOR_BOUNDS
        observed = min(high, max(low, seconds / configured))
        self._latency_factor += (observed - self._latency_factor) * LATENCY_FACTOR_WEIGHT

    def _limit_pending_prefill(self, now: float) -> None:
        """Lowers the estimate of pending prefill to the sum over the tasks that are still there."""
        remaining = sum(
            task.prefill_seconds * self._latency_factor
            for task in self._tasks.values()
            if task.is_prefilling
        )
        self._prefill_until = min(self._prefill_until, now + remaining)


def _totals_of(tasks: Iterable[EngineTask]) -> _LoadTotals:
    memory = context = decoding = prefilling = 0
    shortest: Optional[float] = None
    isolated = False
    overdue_at = first_event_due_at = float("inf")
    for task in tasks:
        memory += task.memory_tokens
        context += task.context_tokens
        if task.is_prefilling:
            prefilling += 1
            isolated = isolated or task.is_isolated
            overdue_at = min(overdue_at, task.overdue_at)
            first_event_due_at = min(first_event_due_at, task.first_event_due_at)
        if not task.is_helper:
            decoding += 1
            shortest = task.gap_target if shortest is None else min(shortest, task.gap_target)
    return _LoadTotals(
        memory, context, decoding, prefilling, shortest, isolated, overdue_at, first_event_due_at
    )
