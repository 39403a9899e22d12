"""Tests of the decisions on requests to servers that named a limit, in virtual time."""

from dataclasses import replace
from typing import Optional

import testtools
from hypothesis import given
from hypothesis import strategies as st

from camphordrift.relay.model._values import BackendServer
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementRefusal,
    RefusalReason,
)
from camphordrift.relay.scheduling._request_limits import (
    MIN_RATE,
    UNKNOWN_WAIT,
    Permit,
    RequestLimits,
    ServerLimit,
)
from camphordrift.relay.servers._server_notices import UNLISTED_RETENTION, start_of
from camphordrift.relay.tests.samples import COSTS, placement_request, server

#: Window in seconds in which the requests to a limited server are counted.
WINDOW = 4.0


class Decider:
    """A VM that decides on a share of the limits."""

    def __init__(self, share: float = 1.0) -> None:
        self.share = share
        self.limits = RequestLimits(lambda: self.share)

    def name_limit(self, item: BackendServer, rate: Optional[float], now: float) -> None:
        self.limits.observe_response(item, rate, now, now)

    def try_send(self, item: BackendServer, now: float) -> bool:
        if self.limits.wait_time(item, now) > 0:
            return False
        self.limits.take(item, now)
        return True


def pool_of(decider: Decider, *engines: BackendServer) -> EnginePool:
    pool = EnginePool(COSTS, limits=decider.limits)
    pool.set_servers(engines)
    return pool


class RateTest(testtools.TestCase):
    @given(
        rate=st.floats(0.1, 50.0),
        shares=st.lists(st.sampled_from([0.0, 0.2, 0.5, 1.0]), min_size=1, max_size=6),
        steps=st.lists(st.tuples(st.integers(0, 5), st.floats(0.0, 0.3)), max_size=400),
    )
    def test_vms_together_keep_the_limit(
        self, rate: float, shares: list[float], steps: list[tuple[int, float]]
    ) -> None:
        total = sum(shares) or 1.0
        deciders = [Decider(share / total) for share in shares]
        for decider in deciders:
            decider.name_limit(server(1), rate, 0.0)
        now, sent = 0.0, []
        for number, pause in steps:
            now += pause
            if deciders[number % len(deciders)].try_send(server(1), now):
                sent.append(now)
        for start in sent:
            count = sum(start <= at < start + WINDOW for at in sent)
            # Each VM may have saved up one request, or a quarter of a second.
            saved_up = len(shares) + 0.25 * rate
            self.assertLessEqual(count, max(rate, MIN_RATE) * WINDOW + saved_up + 1e-6)

    def test_the_whole_limit_is_used(self) -> None:
        decider = Decider()
        decider.name_limit(server(1), 2.0, 0.0)
        sent = sum(decider.try_send(server(1), step * 0.05) for step in range(201))
        self.assertEqual(20, sent)

    def test_nothing_is_saved_up_while_the_leader_decides(self) -> None:
        decider = Decider(0.0)
        decider.name_limit(server(1), 10.0, 0.0)
        self.assertFalse(decider.try_send(server(1), 100.0))
        decider.share = 0.5
        self.assertFalse(decider.try_send(server(1), 100.1))
        self.assertTrue(decider.try_send(server(1), 100.4))

    def test_requests_that_the_leader_granted_are_no_debt_after_its_loss(self) -> None:
        decider = Decider(0.0)
        decider.name_limit(server(1), 2.0, 0.0)
        for _ in range(100):
            decider.limits.take(server(1), 1.0)
        decider.share = 1.0
        self.assertAlmostEqual(0.5, decider.limits.wait_time(server(1), 1.0))


class NoticeTest(testtools.TestCase):
    def test_a_limit_ends_with_a_response_to_a_later_request(self) -> None:
        decider = Decider()
        limits = decider.limits
        self.assertIsNone(limits.observe_response(server(1), None, 0.0, 1.0))
        named = limits.observe_response(server(1), 2.0, 1.0, 2.0)
        self.assertEqual(ServerLimit(start_of(server(1)), 2.0, 0.0), named)
        self.assertIsNone(limits.observe_response(server(1), 2.0, 2.0, 3.0))
        # This request was sent before the limit was named for the last time.
        self.assertIsNone(limits.observe_response(server(1), None, 2.5, 4.0))
        self.assertTrue(limits.is_limited(server(1)))
        self.assertIsNone(limits.observe_response(server(1), None, None, 5.0))
        ended = limits.observe_response(server(1), None, 3.5, 5.0)
        self.assertEqual(ServerLimit(start_of(server(1)), None, 0.0), ended)
        self.assertFalse(limits.is_limited(server(1)))

    def test_a_restart_of_a_server_has_no_limit(self) -> None:
        decider = Decider()
        decider.name_limit(replace(server(1), started_ms=5), 2.0, 0.0)
        self.assertTrue(decider.limits.is_limited(replace(server(1), started_ms=5)))
        self.assertFalse(decider.limits.is_limited(replace(server(1), started_ms=6)))

    def test_the_newest_observation_counts_between_vms(self) -> None:
        first, second = Decider(), Decider()
        first.name_limit(server(1), 2.0, 10.0)
        for limit in first.limits.known(11.0):
            self.assertTrue(second.limits.merge(limit, 11.0))
            self.assertFalse(second.limits.merge(limit, 11.0))
        self.assertEqual(2.0, second.limits.rate(server(1), 11.0))
        ended = ServerLimit(start_of(server(1)), None, 0.0)
        self.assertTrue(second.limits.merge(ended, 12.0))
        # What the first VM knew before is older.
        self.assertFalse(second.limits.merge(first.limits.known(12.0)[0], 12.0))
        self.assertFalse(second.limits.is_limited(server(1)))

    def test_limits_of_servers_that_are_gone_are_forgotten(self) -> None:
        decider = Decider()
        decider.name_limit(server(1), 2.0, 0.0)
        decider.limits.forget_unlisted({}, 1.0)
        decider.limits.forget_unlisted({"engines-1": server(1)}, 2.0)
        decider.limits.forget_unlisted({}, 3.0)
        decider.limits.forget_unlisted({}, 2.0 + UNLISTED_RETENTION)
        self.assertEqual(1, decider.limits.limited_count)
        decider.limits.forget_unlisted({}, 3.0 + UNLISTED_RETENTION)
        self.assertEqual(0, decider.limits.limited_count)


class PermitTest(testtools.TestCase):
    def test_requests_are_granted_in_advance_if_they_can_wait(self) -> None:
        decider = Decider()
        decider.name_limit(server(1, "office"), 2.0, 0.0)
        permits = [decider.limits.reserve("office", ("office-1",), 1.2, 0.0) for _ in range(4)]
        self.assertEqual([Permit("office-1", 0.5), Permit("office-1", 1.0)], permits[:2])
        # Those that are refused return one after the other.
        self.assertEqual([Permit(None, 1.5), Permit(None, 2.0)], permits[2:])

    def test_the_server_that_takes_a_request_first_gets_it(self) -> None:
        decider = Decider()
        decider.name_limit(server(1, "office"), 0.5, 0.0)
        decider.name_limit(server(2, "office"), 1.0, 0.0)
        ids = ("office-1", "office-2")
        granted = [decider.limits.reserve("office", ids, 9.0, 0.0).server_id for _ in range(3)]
        self.assertEqual(["office-2", "office-1", "office-2"], granted)

    def test_a_vm_on_whose_requests_another_one_decides_refuses(self) -> None:
        decider = Decider(0.0)
        decider.name_limit(server(1, "office"), 2.0, 0.0)
        permit = decider.limits.reserve("office", ("office-1",), 9.0, 5.0)
        self.assertEqual(Permit(None, UNKNOWN_WAIT), permit)


class PlacementTest(testtools.TestCase):
    def test_retries_count_and_other_engines_take_the_rest(self) -> None:
        decider = Decider()
        decider.name_limit(server(0), 1.0, 0.0)
        pool = pool_of(decider, server(0), server(1), server(2))
        used: list[str] = []
        for step in range(80):
            now = 1.0 + step * 0.1
            excluded = (server(1).id,) if step % 2 else ()
            pool.submit(placement_request(f"r{step}", excluded=excluded), now)
            for decision in pool.decide(now):
                assert isinstance(decision, Grant)
                used.append(decision.server.id)
                pool.record_finished(decision.ask_id, AttemptOutcome.FAILED, now)
                pool.record_finished(decision.ask_id, AttemptOutcome.SERVED, now)
        self.assertLessEqual(used.count("engines-0"), 9)

    def test_a_limited_engine_computes_no_part_of_a_prompt(self) -> None:
        decider = Decider()
        decider.name_limit(server(0), 50.0, 0.0)
        pool = pool_of(decider, *map(server, range(8)))
        for number in range(6):
            pool.submit(placement_request(f"r{number}", 154_000), 1.0)
            for decision in pool.decide(1.0):
                assert isinstance(decision, Grant)
                self.assertNotIn("engines-0", [item.id for item in decision.helpers])

    def test_requests_beyond_the_limits_of_all_engines_are_refused_at_once(self) -> None:
        decider = Decider()
        for number in range(2):
            decider.name_limit(server(number), 1.0, 0.0)
        pool = pool_of(decider, server(0), server(1))
        for number in range(9):
            pool.submit(placement_request(f"r{number}", time_left=3.1), 0.0)
        refused = [d for d in pool.decide(0.0) if isinstance(d, PlacementRefusal)]
        self.assertEqual({RefusalReason.LIMITED}, {refusal.reason for refusal in refused})
        # Two requests a second are taken, the first ones after one second.
        self.assertEqual(6, len(refused))
        waits = [refusal.retry_after or 0.0 for refusal in refused]
        self.assertEqual([0.5] * 5, [b - a for a, b in zip(waits, waits[1:], strict=False)])
        self.assertGreaterEqual(waits[0], 2.0)
        granted = 0
        for step in range(26):
            for decision in pool.decide(step * 0.1):
                assert isinstance(decision, Grant)
                granted += 1
                pool.record_finished(decision.ask_id, AttemptOutcome.SERVED, step * 0.1)
        self.assertEqual(3, granted)

    def test_a_retry_that_only_limited_engines_may_get_is_refused(self) -> None:
        decider = Decider()
        decider.name_limit(server(0), 0.1, 0.0)
        pool = pool_of(decider, server(0), server(1))
        request = placement_request("r0", excluded=("engines-1",), time_left=5.0)
        pool.submit(request, 0.0)
        (refusal,) = pool.decide(0.0)
        assert isinstance(refusal, PlacementRefusal)
        self.assertEqual(RefusalReason.LIMITED, refusal.reason)
        self.assertEqual(10.0, refusal.retry_after)

    def test_an_unlimited_engine_that_fails_is_waited_for(self) -> None:
        decider = Decider()
        decider.name_limit(server(0), 0.1, 0.0)
        pool = pool_of(decider, server(0), server(1))
        pool.submit(placement_request("r0"), 0.0)
        (grant,) = pool.decide(0.0)
        assert isinstance(grant, Grant)
        pool.record_finished("r0", AttemptOutcome.FAILED, 0.0)
        pool.submit(placement_request("r1"), 0.0)
        self.assertEqual([], pool.decide(0.0))
        (grant,) = pool.decide(1.1)
        assert isinstance(grant, Grant)
        self.assertEqual("engines-1", grant.server.id)
