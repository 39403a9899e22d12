"""Tests of the decision which orders an engine gets next."""

import testtools

from camphordrift.backend_servers import EngineRole, OrderKind
from camphordrift.engine_orders import (
    LOAD_PATIENCE_SECONDS,
    REASSERT_SECONDS,
    DesiredEngine,
    OrderBook,
    OrderPlan,
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
        self.book = OrderBook()
        self.budget = WeightStoreBudget(1.0, burst_loads=10.0, share=1.0, now=0.0)

    def plan(
        self,
        wanted: DesiredEngine,
        found: ReportedEngine,
        now: float = 100.0,
        fencing_number: int = 7,
        settled_at: float = 0.0,
    ) -> OrderPlan:
        lease = term(fencing_number, settled_at)
        return plan_orders(wanted, found, lease, self.book, self.budget, clocks(now))

    def accept_all(self, plan: OrderPlan, now: float = 100.0) -> None:
        for order in plan.orders:
            self.book.note_accepted(order, Incarnation(1), now)

    def kinds(self, plan: OrderPlan) -> list[OrderKind]:
        return [order.kind for order in plan.orders]


class ConvergenceTest(_PlanTestCase):
    def test_loads_what_is_missing_and_unloads_what_is_not_named(self) -> None:
        plan = self.plan(desired(), reported(models=("old",)))
        expected = [OrderKind.CHANGE_ROLE, OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL]
        self.assertEqual(expected, self.kinds(plan))
        self.assertEqual({7}, {order.fencing_number for order in plan.orders})

    def test_is_quiet_once_all_was_taken(self) -> None:
        self.accept_all(self.plan(desired(), reported()))
        self.assertTrue(self.plan(desired(), reported(), now=101.0).is_converged)

    def test_another_version_is_ordered_although_the_report_names_none(self) -> None:
        self.accept_all(self.plan(desired("1"), reported()))
        plan = self.plan(desired("2", configuration_version=2), reported(), now=101.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(plan))

    def test_a_restarted_engine_is_ordered_anew(self) -> None:
        self.accept_all(self.plan(desired(), reported()))
        plan = self.plan(desired(), reported(incarnation=2), now=101.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(plan))

    def test_a_new_holder_gives_every_order_again(self) -> None:
        self.accept_all(self.plan(desired(), reported()))
        plan = self.plan(desired(), reported(), now=101.0, fencing_number=9)
        self.assertEqual([OrderKind.CHANGE_ROLE, OrderKind.LOAD_MODEL], self.kinds(plan))

    def test_a_load_under_way_is_not_ordered_again_until_it_takes_too_long(self) -> None:
        self.accept_all(self.plan(desired(), reported(models=())))
        empty = reported(models=())
        self.assertTrue(self.plan(desired(), empty, now=400.0).is_converged)
        late = self.plan(desired(), empty, now=100.0 + LOAD_PATIENCE_SECONDS)
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(late))

    def test_a_leaving_engine_gets_no_orders(self) -> None:
        self.assertTrue(self.plan(desired(), reported((), leaving=True)).is_converged)

    def test_a_failed_order_waits_longer_each_time(self) -> None:
        for now, ready in ((100.0, True), (100.5, False), (101.0, True), (102.9, False)):
            plan = self.plan(desired(), reported(), now=now)
            self.assertEqual(ready, OrderKind.LOAD_MODEL in self.kinds(plan), str(now))
            for order in plan.orders:
                self.book.note_failed(order, "no room", now)


class WithoutFencingTest(_PlanTestCase):
    def _codes(self, plan: OrderPlan) -> list[tuple[OrderKind, ResultCode]]:
        return [(held.order.kind, held.failure.code) for held in plan.held_back]

    def test_orders_that_are_unsafe_when_late_are_never_sent(self) -> None:
        wanted = desired(checks_fencing=False, role=EngineRole.DECODE)
        plan = self.plan(wanted, reported(models=("course", "old")))
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(plan))
        unsafe = ResultCode.ORDER_UNSAFE_WITHOUT_FENCING
        self.assertEqual(
            [(OrderKind.CHANGE_ROLE, unsafe), (OrderKind.UNLOAD_MODEL, unsafe)], self._codes(plan)
        )

    def test_a_successor_waits_out_the_lease_before_it_orders(self) -> None:
        wanted = desired(checks_fencing=False)
        early = self.plan(wanted, reported(), now=100.0, settled_at=105.0)
        self.assertEqual(
            [(OrderKind.LOAD_MODEL, ResultCode.LEASE_HELD_BY_OTHER)], self._codes(early)
        )
        self.assertEqual(5.0, early.held_back[0].failure.retry_after_seconds)
        late = self.plan(wanted, reported(), now=105.0, settled_at=105.0)
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(late))

    def test_an_engine_that_checks_is_ordered_at_once(self) -> None:
        plan = self.plan(desired(), reported(), now=100.0, settled_at=105.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(plan))

    def test_orders_are_given_again_from_time_to_time(self) -> None:
        wanted = desired(checks_fencing=False)
        self.accept_all(self.plan(wanted, reported()))
        self.assertTrue(self.plan(wanted, reported(), now=200.0).is_converged)
        again = self.plan(wanted, reported(), now=100.0 + REASSERT_SECONDS)
        self.assertEqual([OrderKind.LOAD_MODEL], self.kinds(again))


class WeightStoreTest(_PlanTestCase):
    def test_loads_above_the_rate_are_held_back_with_a_time(self) -> None:
        self.budget = WeightStoreBudget(0.1, burst_loads=1.0, share=0.5, now=100.0)
        plan = self.plan(desired(), reported(models=()))
        self.assertEqual([OrderKind.CHANGE_ROLE], self.kinds(plan))
        failure = plan.held_back[0].failure
        self.assertEqual(ResultCode.WEIGHT_STORE_BUSY, failure.code)
        self.assertEqual(20.0, failure.retry_after_seconds)
        later = self.plan(desired(), reported(models=()), now=120.0)
        self.assertIn(OrderKind.LOAD_MODEL, self.kinds(later))

    def test_a_new_holder_starts_without_saved_loads(self) -> None:
        self.budget.empty(100.0)
        plan = self.plan(desired(), reported(models=()))
        self.assertEqual(ResultCode.WEIGHT_STORE_BUSY, plan.held_back[0].failure.code)
