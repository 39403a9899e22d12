"""Tests of planning the next orders to an engine."""

import testtools

from camphordrift.backend_servers import EngineRole, OrderKind
from camphordrift.engine_orders import (
    LOAD_TIMEOUT_SECONDS,
    REISSUE_INTERVAL_SECONDS,
    DesiredEngine,
    OrderPlan,
    OrderTracker,
    ReportedEngine,
    WeightStoreBudget,
    plan_orders,
)
from camphordrift.engine_orders.tests.builders import term
from camphordrift.experiments._orders_model import clocks, desired, reported
from camphordrift.identifiers import Incarnation
from camphordrift.results import ResultCode


class _PlanTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracker = OrderTracker()
        self.budget = WeightStoreBudget(1.0, burst_loads=10.0, share=1.0, now=0.0)

    def plan(
        self,
        desired_engine: DesiredEngine,
        reported_engine: ReportedEngine,
        now: float = 100.0,
        fencing_number: int = 7,
        settled_at: float = 0.0,
    ) -> OrderPlan:
        lease = term(fencing_number, settled_at)
        return plan_orders(
            desired_engine, reported_engine, lease, self.tracker, self.budget, clocks(now)
        )

    def accept_all(self, plan: OrderPlan, now: float = 100.0) -> None:
        for order in plan.orders:
            self.tracker.record_accepted(order, Incarnation(1), now)

    def kinds(self, plan: OrderPlan) -> list[OrderKind]:
        return [order.kind for order in plan.orders]


class ConvergenceTest(_PlanTestCase):
    def test_loads_missing_models_and_unloads_models_that_are_not_desired(self) -> None:
        plan = self.plan(desired(), reported(models=("old",)))
        expected = [OrderKind.CHANGE_ROLE, OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL]
        self.assertEqual(expected, self.kinds(plan))
        self.assertEqual({7}, {order.fencing_number for order in plan.orders})

    def test_is_converged_once_all_orders_were_accepted(self) -> None:
        self.accept_all(self.plan(desired(), reported()))
        self.assertTrue(self.plan(desired(), reported(), now=101.0).is_converged)

    def test_orders_a_new_version_although_reports_name_no_versions(self) -> None:
        self.accept_all(self.plan(desired("1"), reported()))
        plan = self.plan(desired("2", configuration_version=2), reported(), now=101.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(plan))

    def test_reissues_orders_to_a_restarted_engine(self) -> None:
        self.accept_all(self.plan(desired(), reported()))
        plan = self.plan(desired(), reported(incarnation=2), now=101.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(plan))

    def test_a_new_holder_reissues_every_order(self) -> None:
        self.accept_all(self.plan(desired(), reported()))
        plan = self.plan(desired(), reported(), now=101.0, fencing_number=9)
        self.assertEqual([OrderKind.CHANGE_ROLE, OrderKind.LOAD_MODEL], self.kinds(plan))

    def test_a_load_in_progress_is_not_reissued_before_its_timeout(self) -> None:
        self.accept_all(self.plan(desired(), reported(models=())))
        unloaded = reported(models=())
        self.assertTrue(self.plan(desired(), unloaded, now=400.0).is_converged)
        late = self.plan(desired(), unloaded, now=100.0 + LOAD_TIMEOUT_SECONDS)
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(late))

    def test_a_draining_engine_gets_no_orders(self) -> None:
        self.assertTrue(self.plan(desired(), reported((), leaving=True)).is_converged)

    def test_a_failed_order_is_retried_with_exponential_backoff(self) -> None:
        for now, expected_sent in ((100.0, True), (100.5, False), (101.0, True), (102.9, False)):
            plan = self.plan(desired(), reported(), now=now)
            self.assertEqual(expected_sent, OrderKind.LOAD_MODEL in self.kinds(plan), str(now))
            for order in plan.orders:
                self.tracker.record_failed(order, "no room", now)


class WithoutFencingTest(_PlanTestCase):
    def _codes(self, plan: OrderPlan) -> list[tuple[OrderKind, ResultCode]]:
        return [(held.order.kind, held.failure.code) for held in plan.held_back]

    def test_orders_that_are_unsafe_when_late_are_never_sent(self) -> None:
        desired_engine = desired(checks_fencing=False, role=EngineRole.DECODE)
        plan = self.plan(desired_engine, reported(models=("course", "old")))
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(plan))
        unsafe = ResultCode.ORDER_UNSAFE_WITHOUT_FENCING
        self.assertEqual(
            [(OrderKind.CHANGE_ROLE, unsafe), (OrderKind.UNLOAD_MODEL, unsafe)], self._codes(plan)
        )

    def test_a_new_holder_waits_until_earlier_orders_have_settled(self) -> None:
        desired_engine = desired(checks_fencing=False)
        early = self.plan(desired_engine, reported(), now=100.0, settled_at=105.0)
        self.assertEqual(
            [(OrderKind.LOAD_MODEL, ResultCode.LEASE_HELD_BY_OTHER)], self._codes(early)
        )
        self.assertEqual(5.0, early.held_back[0].failure.retry_after_seconds)
        late = self.plan(desired_engine, reported(), now=105.0, settled_at=105.0)
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(late))

    def test_an_engine_that_checks_fencing_gets_orders_at_once(self) -> None:
        plan = self.plan(desired(), reported(), now=100.0, settled_at=105.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(plan))

    def test_orders_are_reissued_periodically(self) -> None:
        desired_engine = desired(checks_fencing=False)
        self.accept_all(self.plan(desired_engine, reported()))
        self.assertTrue(self.plan(desired_engine, reported(), now=200.0).is_converged)
        reissued = self.plan(desired_engine, reported(), now=100.0 + REISSUE_INTERVAL_SECONDS)
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(reissued))


class WeightStoreTest(_PlanTestCase):
    def test_loads_above_the_rate_are_held_back_with_a_retry_delay(self) -> None:
        self.budget = WeightStoreBudget(0.1, burst_loads=1.0, share=0.5, now=100.0)
        plan = self.plan(desired(), reported(models=()))
        self.assertEqual([OrderKind.CHANGE_ROLE], self.kinds(plan))
        failure = plan.held_back[0].failure
        self.assertEqual(ResultCode.WEIGHT_STORE_BUSY, failure.code)
        self.assertEqual(20.0, failure.retry_after_seconds)
        later = self.plan(desired(), reported(models=()), now=120.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(later))

    def test_a_new_holder_starts_with_an_empty_budget(self) -> None:
        self.budget.clear(100.0)
        plan = self.plan(desired(), reported(models=()))
        self.assertEqual(ResultCode.WEIGHT_STORE_BUSY, plan.held_back[0].failure.code)
