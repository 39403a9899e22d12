"""Tests of the order between client accounts while more requests wait than can be placed."""

import itertools
from dataclasses import replace

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.experiments.placement_costs import measure
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import PlacementDecision, PlacementRequest
from camphordrift.relay.tests.load_replay import (
    CAPACITY,
    ENGINES,
    Replay,
    arrivals_of,
    many_accounts,
    pool_of,
    repeat_at_once,
)
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    run_scenario,
)
from camphordrift.relay.tests.samples import COSTS, ScriptedServer, placement_request, server


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


class HotSubjectTest(testtools.TestCase):
    """All callers of one account ask for the same subject at once, at three times the capacity."""

    def test_other_accounts_lose_no_request(self) -> None:
        others = [
            arrival
            for number in range(23)
            for arrival in arrivals_of(f"small-{number}", CAPACITY * 0.7 / 23, 20.0)
        ]
        hot = arrivals_of("hot", CAPACITY * 3, 9.0, start=5.0)
        shares = Replay(pool_of(), others + hot).run(32.0).served_shares()
        smallest = min(share for account, share in shares.items() if account != "hot")
        self.assertEqual(1.0, smallest, f"smallest {smallest:.3f}, hot {shares['hot']:.3f}")


class LargestTenthTest(testtools.TestCase):
    """A tenth of the requests of a kind has prompts that are several times as long."""

    TOKENS = 23_800

    def test_a_burst_of_long_prompts_of_one_account_pushes_no_others_out(self) -> None:
        others = [
            arrival
            for number in range(23)
            for arrival in arrivals_of(f"small-{number}", CAPACITY * 0.7 / 23, 20.0)
        ]
        burst = arrivals_of("small-0", 12.0, 9.0, start=5.0, prompt_tokens=self.TOKENS)
        replay = Replay(pool_of(), others + burst).run(32.0)
        self.assertEqual([], [request.id for _, request in others if request.id in replay.refused])

    def test_the_largest_tenth_is_served_half_as_often_as_its_kind_at_least(self) -> None:
        load = [
            (at, replace(request, prompt_tokens=self.TOKENS) if number % 10 == 0 else request)
            for number, (at, request) in enumerate(many_accounts(2.5, 30.0))
        ]
        replay = Replay(pool_of(), load).run(45.0)
        largest = [request.id for _, request in load if request.prompt_tokens == self.TOKENS]
        largest_share = sum(name in replay.granted for name in largest) / len(largest)
        overall = len(replay.granted) / len(load)
        message = f"largest {largest_share:.3f}, all {overall:.3f}"
        self.assertTrue(largest_share >= overall / 2, message)


class RepeatingCallersTest(testtools.TestCase):
    """Callers of the large account repeat each refused request at once, up to three times."""

    def test_the_smallest_account_is_served_at_least_as_often_as_the_largest(self) -> None:
        replay = Replay(pool_of(), many_accounts(2.5, 30.0), repeat_at_once("large")).run(45.0)
        shares = replay.served_shares()
        smallest, largest = min(shares[name] for name in shares if name != "large"), shares["large"]
        self.assertTrue(smallest >= largest, f"smallest {smallest:.3f}, largest {largest:.3f}")
