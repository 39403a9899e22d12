"""Tests of the order between client accounts while more requests wait than can be placed."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.experiments.placement_costs import measure
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
)
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    run_scenario,
)
from camphordrift.relay.tests.samples import COSTS, ScriptedServer, placement_request, server

#: Number of engines, and seconds for which a request occupies its slot on average.
ENGINES, SERVICE_SECONDS = 4, 1.5

#: Requests per second for which the engines have slots.
CAPACITY = ENGINES * COSTS.slots / SERVICE_SECONDS

#: Seconds between two steps of a replay.
STEP = 0.01

#: Called with a request that was refused, the refusal, and the time; returns when it comes back.
Repeat = Callable[[PlacementRequest, PlacementRefusal, float], float | None]


@dataclass
class Replay:
    """Submits requests to a pool at given times, and ends them after their service time."""

    pool: EnginePool
    arrivals: list[tuple[float, PlacementRequest]]
    repeat: Repeat = lambda request, refusal, now: None
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


class OrderWithoutCompetitionTest(testtools.TestCase):
    """The order of urgency holds unless accounts compete, for decisions alike in every detail."""

    KINDS = (500, 5000, 45_000, 154_000)

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        st.lists(st.tuples(st.floats(0.0, 6.0), st.sampled_from(KINDS)), max_size=160),
        st.sampled_from(["", "school"]),
    )
    def test_one_account_is_served_in_the_order_of_urgency(
        self, requests: list[tuple[float, int]], account: str
    ) -> None:
        arrivals = [
            (at, placement_request(f"r{number}", tokens, account=account))
            for number, (at, tokens) in enumerate(requests)
        ]
        self._check_same_decisions(arrivals)

    def test_several_accounts_without_a_backlog_are_served_in_the_order_of_urgency(self) -> None:
        burst = [
            (1.0, placement_request(f"{account}-{number}", account=account))
            for account, number in itertools.product("abc", range(3))
        ]
        self._check_same_decisions(burst + many_accounts(0.5, 8.0))

    def _check_same_decisions(self, arrivals: list[tuple[float, PlacementRequest]]) -> None:
        fair, by_urgency = _RecordingPool(), _RecordingPool()
        self.patch(by_urgency._account_order, "arrange", lambda waiting, free_slots, now: waiting)
        for pool in (fair, by_urgency):
            Replay(pool, arrivals).run(16.0)
        self.assertEqual(by_urgency.decisions, fair.decisions)


class CostTest(testtools.TestCase):
    def test_the_cost_of_a_decision_does_not_grow_with_the_accounts(self) -> None:
        """Guards against a backlog of many accounts that blocks the leader."""
        one, few, many = (measure(78, backlog=True, accounts=count) for count in (1, 24, 970))
        self.assertTrue(few.calls <= one.calls * 1.25, (one, few))
        self.assertTrue(many.calls <= few.calls * 1.1, (few, many))


class AccountOfRequestTest(testtools.TestCase):
    def test_a_placement_request_names_the_client_account(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            accounts: list[str] = []
            dispatcher = relay.process._dispatcher
            request_placement = dispatcher.request_placement

            async def record(request: PlacementRequest) -> PlacementDecision:
                accounts.append(request.account)
                return await request_placement(request)

            self.patch(dispatcher, "request_placement", record)
            await relay.send_request("/quick/x")
            self.assertEqual(["school"], accounts)

        run_scenario(scenario, complete_stream)

    def test_a_request_of_an_older_build_belongs_to_the_unnamed_account(self) -> None:
        fields = msgspec.to_builtins(placement_request("one", account="school"))
        del fields["account"]
        self.assertEqual("", msgspec.convert(fields, PlacementRequest).account)


class _RecordingPool(EnginePool):
    """Keeps its decisions, each with its time."""

    def __init__(self) -> None:
        super().__init__(COSTS)
        self.set_servers([server(number) for number in range(ENGINES)])
        self.decisions: list[tuple[float, PlacementDecision]] = []

    def decide(self, now: float) -> list[PlacementDecision]:
        decisions = super().decide(now)
        self.decisions += [(now, decision) for decision in decisions]
        return decisions


class LargeAccountTest(testtools.TestCase):
    """One account sends ten times the requests of 23 others, together 2.5 times the capacity."""

    def test_the_smallest_account_is_served_at_least_as_often_as_the_largest(self) -> None:
        shares = Replay(pool_of(), many_accounts(2.5, 30.0)).run(45.0).served_shares()
        smallest, largest = min(shares[name] for name in shares if name != "large"), shares["large"]
        self.assertTrue(smallest >= largest, f"smallest {smallest:.3f}, largest {largest:.3f}")

    def test_no_account_is_served_less_than_a_third_as_often_as_all(self) -> None:
        """Guards against a large account, whose callers are many, that gets an equal share only."""
        replay = Replay(pool_of(), many_accounts(2.5, 30.0)).run(45.0)
        overall = len(replay.granted) / len(replay.submitted)
        shares = replay.served_shares()
        self.assertTrue(min(shares.values()) >= overall / 3, (overall, shares))

    def test_an_account_below_its_share_is_served_in_time(self) -> None:
        """Guards against a small account whose callers wait behind the backlog of others."""
        rare = arrivals_of("rare", 0.5, 30.0)
        replay = Replay(pool_of(), many_accounts(2.5, 30.0) + rare).run(45.0)
        waits = [replay.granted.get(request.id, 99.0) - at for at, request in rare]
        in_time = sum(wait <= rare[0][1].objective for wait in waits) / len(waits)
        self.assertTrue(in_time >= 0.8, f"{in_time:.3f} in time")
