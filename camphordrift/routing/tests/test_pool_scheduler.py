"""Tests of the pool scheduler."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.backend_servers import CacheEvent, CacheEventBatch, CacheEventKind, LoadReport
from camphordrift.identifiers import AccountId, BackendServerId, Incarnation, VmId
from camphordrift.results import ResultCode
from camphordrift.routing import (
    AttemptKey,
    Decision,
    Grant,
    Granted,
    GrantOutcome,
    PoolScheduler,
    Refused,
    RoutingPolicy,
    pool_scheduler,
)
from camphordrift.routing.tests.builders import MODEL, engine_specs, grant_ask


def pool_with_engines(engine_count: int) -> PoolScheduler:
    pool = pool_scheduler()
    pool.set_engines(engine_specs(engine_count), 0.0)
    return pool


def grants(decisions: list[Decision]) -> list[Grant]:
    return [decision.grant for decision in decisions if isinstance(decision, Granted)]


def refusals(decisions: list[Decision]) -> list[Refused]:
    return [decision for decision in decisions if isinstance(decision, Refused)]


def outcome(grant: Grant, engine_failed: bool = False) -> GrantOutcome:
    return GrantOutcome(
        grant.request_id, grant.attempt, grant.engine_id, not engine_failed, engine_failed, 1
    )


class SplitTest(testtools.TestCase):
    def test_short_prompt_gets_an_engine_without_long_prefill(self) -> None:
        pool = pool_with_engines(4)
        for index in range(6):
            pool.submit(grant_ask(f"long-{index}", 300_000, 300.0), 0.0)
        long = grants(pool.decide(0.0))
        pool.submit(grant_ask("short"), 0.1)
        (short,) = grants(pool.decide(0.1))
        self.assertNotIn(short.engine_id, {grant.engine_id for grant in long})
        self.assertTrue(short.priority < long[0].priority)

    def test_long_prompts_never_use_the_last_engine(self) -> None:
        pool = pool_with_engines(4)
        for index in range(20):
            pool.submit(grant_ask(f"long-{index}", 100_000, 300.0), 0.0)
        self.assertEqual(3, len(grants(pool.decide(0.0))))


class FairnessTest(testtools.TestCase):
    def test_account_with_few_requests_is_not_starved(self) -> None:
        pool = pool_with_engines(2)
        for index in range(50):
            pool.submit(grant_ask(f"big-{index}", 50_000, 300.0, "big"), 0.0)
        pool.submit(grant_ask("small", 50_000, 300.0, "small"), 0.1)
        order = []
        for step in range(5):
            (grant,) = grants(pool.decide(0.1 + 3.0 * step))
            order.append(grant.request_id)
            pool.finish(outcome(grant), 3.0 * (step + 1))
        self.assertIn("small", order[:3])

    def test_service_is_proportional_to_the_weights(self) -> None:
        pool = pool_with_engines(2)
        pool.set_account_weights({AccountId("a"): 3.0, AccountId("b"): 1.0})
        for index in range(40):
            pool.submit(grant_ask(f"a-{index}", 50_000, 900.0, "a"), 0.0)
            pool.submit(grant_ask(f"b-{index}", 50_000, 900.0, "b"), 0.0)
        served = []
        for step in range(24):
            (grant,) = grants(pool.decide(3.0 * step))
            served.append(grant.request_id[0])
            pool.finish(outcome(grant), 3.0 * step + 2.9)
        self.assertTrue(16 <= served.count("a") <= 20, served)


class RefusalTest(testtools.TestCase):
    def test_unreachable_deadline_is_refused_on_arrival(self) -> None:
        pool = pool_with_engines(2)
        pool.submit(grant_ask("r", 100_000, 3.0), 0.0)
        (refused,) = refusals(pool.decide(0.0))
        self.assertEqual(ResultCode.DEADLINE_UNREACHABLE, refused.failure.code)
        self.assertIsNotNone(refused.failure.retry_after_seconds)

    def test_queued_request_is_refused_once_it_cannot_meet_its_deadline(self) -> None:
        pool = pool_with_engines(1)
        pool.submit(grant_ask("first", 400_000, 300.0), 0.0)
        pool.decide(0.0)
        pool.submit(grant_ask("second", 400_000, 25.0), 0.0)
        self.assertEqual([], pool.decide(0.0))
        wakeup = pool.next_wakeup(0.0)
        while wakeup < 25.0 and not (decisions := pool.decide(wakeup)):
            wakeup = pool.next_wakeup(wakeup)
        (refused,) = refusals(decisions)
        self.assertEqual(ResultCode.DEADLINE_PASSED_IN_QUEUE, refused.failure.code)
        self.assertTrue(wakeup < 8.0)


class EngineStateTest(testtools.TestCase):
    def test_failed_engine_gets_no_work_until_its_next_report(self) -> None:
        pool = pool_with_engines(2)
        pool.submit(grant_ask("a"), 0.0)
        (first,) = grants(pool.decide(0.0))
        pool.finish(outcome(first, engine_failed=True), 0.1)
        for index in range(3):
            pool.submit(grant_ask(f"b-{index}"), 0.2)
        self.assertNotIn(first.engine_id, {g.engine_id for g in grants(pool.decide(0.2))})
        pool.observe_load(report(first.engine_id), 1.0)
        pool.submit(grant_ask("c"), 1.1)
        self.assertEqual(1, len(grants(pool.decide(1.1))))

    def test_draining_engine_gets_no_work(self) -> None:
        for by_report in (True, False):
            pool = pool_with_engines(2)
            draining = BackendServerId("engine-00")
            if by_report:
                pool.observe_load(report(draining, draining=True), 0.0)
            else:
                pool.mark_leaving(draining, 0.0)
            for index in range(4):
                pool.submit(grant_ask(f"r-{index}"), 0.1)
            chosen = {grant.engine_id for grant in grants(pool.decide(0.1))}
            self.assertEqual({BackendServerId("engine-01")}, chosen)

    def test_work_of_a_dead_vm_is_removed(self) -> None:
        pool = pool_with_engines(1)
        pool.submit(grant_ask("a", 400_000, vm="vm-2"), 0.0)
        self.assertEqual(1, len(grants(pool.decide(0.0))))
        pool.submit(grant_ask("b", 400_000), 0.1)
        self.assertEqual([], pool.decide(0.1))
        pool.remove_vm(VmId("vm-2"), 0.2)
        self.assertEqual(1, len(grants(pool.decide(0.2))))


class AffinityTest(testtools.TestCase):
    def test_cached_prefix_attracts_a_prompt_until_an_event_gap(self) -> None:
        pool = pool_with_engines(8)
        blocks = tuple(range(3))
        engine = BackendServerId("engine-02")
        stored = CacheEvent(1, CacheEventKind.STORED, blocks)
        pool.observe_cache_events(engine, CacheEventBatch(Incarnation(1), (stored,)), 0.0)
        pool.submit(grant_ask("a", 3_500, blocks=blocks), 20.0)
        (grant,) = grants(pool.decide(20.0))
        self.assertEqual(engine, grant.engine_id)
        gap = CacheEvent(5, CacheEventKind.STORED, (99,))
        pool.observe_cache_events(engine, CacheEventBatch(Incarnation(1), (gap,)), 20.1)
        pool.submit(grant_ask("b", 3_500, blocks=blocks), 20.2)
        (grant,) = grants(pool.decide(20.2))
        self.assertNotEqual(engine, grant.engine_id)


class RoutingPolicyTest(testtools.TestCase):
    def test_invalid_values_are_rejected(self) -> None:
        for invalid in ({"slowdown_weight": 2.0}, {"band_tokens": (5, 5)}, {"short_share": 0.0}):
            with self.assertRaises(ValueError):
                RoutingPolicy(**invalid)


class DecisionInvariantTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 1.0),
                st.integers(100, 440_000),
                st.floats(1.0, 60.0),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_each_request_is_decided_once_and_before_its_deadline(
        self, plan: list[tuple[float, int, float, bool]]
    ) -> None:
        pool = pool_with_engines(3)
        now = 0.0
        undecided: dict[AttemptKey, float] = {}
        running: list[Grant] = []
        for index, (delay, tokens, remaining, fails) in enumerate(plan):
            now += delay
            submitted = grant_ask(f"r-{index}", tokens, remaining)
            undecided[AttemptKey(submitted.request_id, 1)] = now + remaining
            pool.submit(submitted, now)
            if running and fails:
                pool.finish(outcome(running.pop(0), engine_failed=index % 2 == 0), now)
            self._apply_decisions(pool, now, undecided, running)
        for _ in range(2_000):
            if not undecided:
                break
            now = max(now, pool.next_wakeup(now))
            self._apply_decisions(pool, now, undecided, running)
        self.assertEqual({}, undecided)

    def _apply_decisions(
        self,
        pool: PoolScheduler,
        now: float,
        undecided: dict[AttemptKey, float],
        running: list[Grant],
    ) -> None:
        for decision in pool.decide(now):
            if isinstance(decision, Granted):
                key = AttemptKey(decision.grant.request_id, decision.grant.attempt)
                running.append(decision.grant)
            else:
                key = decision.key
            self.assertTrue(now <= undecided.pop(key), key)


def report(engine_id: BackendServerId, draining: bool = False) -> LoadReport:
    return LoadReport(engine_id, 1, Incarnation(1), 0, 0, 0, 0, 450_000, (MODEL,), leaving=draining)
