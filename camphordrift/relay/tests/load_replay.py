"""Replays a load of requests on an engine pool, without a network."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Optional

from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
)
from camphordrift.relay.tests.samples import COSTS, placement_request, server

#: Number of engines, and seconds for which a request occupies its slot on average.
ENGINES, SERVICE_SECONDS = 4, 1.5

#: Requests per second for which the engines have slots.
CAPACITY = ENGINES * COSTS.slots / SERVICE_SECONDS

#: Seconds between two steps of a replay.
STEP = 0.01

#: Called with a request that was refused, the refusal, and the time; returns when it comes back.
Repeat = Callable[[PlacementRequest, PlacementRefusal, float], Optional[float]]


@dataclass
class Replay:
    """Submits requests to a pool at given times, and ends them after their service time."""

    pool: EnginePool
    arrivals: list[tuple[float, PlacementRequest]]
    repeat: Repeat = lambda request, refusal, now: None
    #: What else happens, by its time.
    at: dict[float, Callable[[float], None]] = field(default_factory=dict)
    #: Requests that were placed, and refusals with the seconds since the arrival, by request id.
    granted: dict[str, float] = field(default_factory=dict)
    refused: dict[str, tuple[PlacementRefusal, float]] = field(default_factory=dict)
    submitted: dict[str, tuple[float, PlacementRequest]] = field(default_factory=dict)

    def run(self, until: float, start: float = 0.0) -> "Replay":
        """Replays the load until a time."""
        numbers = itertools.count()
        queue = [(at, next(numbers), request) for at, request in self.arrivals if at >= start]
        heapq.heapify(queue)
        ends: list[tuple[float, str]] = []
        for step in range(int(start / STEP), int(until / STEP)):
            now = step * STEP
            for due in [due for due in self.at if due <= now]:
                self.at.pop(due)(now)
            while queue and queue[0][0] <= now:
                _, _, request = heapq.heappop(queue)
                self.submitted[request.id] = (now, request)
                self.pool.submit(request, now)
                self._apply(self.pool.decide(now), now, ends, queue, numbers)
            while ends and ends[0][0] <= now:
                self.pool.record_finished(heapq.heappop(ends)[1], AttemptOutcome.SERVED, now)
                self._apply(self.pool.decide(now), now, ends, queue, numbers)
            self._apply(self.pool.decide(now), now, ends, queue, numbers)
        return self

    def _apply(
        self,
        decisions: Iterable[PlacementDecision],
        now: float,
        ends: list[tuple[float, str]],
        queue: list[tuple[float, int, PlacementRequest]],
        numbers: "itertools.count[int]",
    ) -> None:
        for decision in decisions:
            arrived, request = self.submitted[decision.ask_id]
            if isinstance(decision, Grant):
                self.granted[request.id] = now
                self.pool.record_first_event(request.id, now)
                ends_at = now + decision.first_event + service_seconds(request)
                heapq.heappush(ends, (ends_at, request.id))
                continue
            self.refused[request.id] = (decision, now - arrived)
            returns_at = self.repeat(request, decision, now)
            if returns_at is not None:
                number = next(numbers)
                again = replace(request, id=f"{request.id}+")
                heapq.heappush(queue, (returns_at, number, again))

    def served_shares(self) -> dict[str, float]:
        """Returns which share of each account's callers was served, counting repeats once."""
        callers = Counter(
            request.account for _, request in self.submitted.values() if "+" not in request.id
        )
        served = Counter(self.submitted[name][1].account for name in self.granted)
        return {account: served[account] / count for account, count in callers.items()}


def pool_of(engines: int = ENGINES) -> EnginePool:
    pool = EnginePool(COSTS)
    pool.set_servers([server(number) for number in range(engines)])
    return pool


def arrivals_of(
    account: str, rate: float, until: float, start: float = 0.0, prompt_tokens: int = 5000
) -> list[tuple[float, PlacementRequest]]:
    """Returns requests of an account that arrive evenly, shifted by a part of their distance."""
    offset = (hash_of(account) % 97) / 97 / rate
    times = (start + offset + number / rate for number in itertools.count())
    return [
        (at, placement_request(f"{account}-{start}-{number}", prompt_tokens, account=account))
        for number, at in enumerate(itertools.takewhile(lambda at: at < until, times))
    ]


def service_seconds(request: PlacementRequest) -> float:
    """Returns for how long a request decodes, between 0.4 and 1.6 times the mean."""
    return SERVICE_SECONDS * (0.4 + 1.2 * (hash_of(request.id) % 101) / 100)


def hash_of(text: str) -> int:
    return sum(ord(letter) * 31**index for index, letter in enumerate(text))


def many_accounts(
    load: float, seconds: float, large_factor: float = 10.0
) -> list[tuple[float, PlacementRequest]]:
    """Returns requests of 24 accounts, the first of which sends ``large_factor`` times as many."""
    rate = CAPACITY * load / (23 + large_factor)
    arrivals = arrivals_of("large", rate * large_factor, seconds)
    for number in range(23):
        arrivals += arrivals_of(f"small-{number}", rate, seconds)
    return arrivals


def repeat_at_once(account: str, times: int = 3) -> Repeat:
    """Returns the behaviour of an account's callers that ignore Retry-After."""

    def repeat(request: PlacementRequest, refusal: PlacementRefusal, now: float) -> Optional[float]:
        is_last = request.account != account or request.id.count("+") >= times
        return None if is_last or refusal.retry_after is None else now + 2 * STEP

    return repeat
