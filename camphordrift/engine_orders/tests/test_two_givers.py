"""Two VMs that both give orders, with pauses, late orders and lost leases."""

import random
from dataclasses import dataclass, field
from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from camphordrift.backend_servers import EngineOrder
from camphordrift.clocks import TwoClocks
from camphordrift.engine_orders import OrderBook, WeightStoreBudget, plan_orders
from camphordrift.engine_orders.tests.builders import OrderedEngine, clocks, desired
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.leases import (
    LeaseHolder,
    LeaseKeeper,
    LeaseName,
    LeaseSettings,
    LeaseTable,
    LeaseTerm,
    encode_lease_record,
)
from camphordrift.platform_log import LogRecord
from camphordrift.results import Failure

_SETTINGS = LeaseSettings()

#: An order that was sent takes effect within this time, in seconds.
_LATEST_EFFECT_SECONDS = _SETTINGS.order_settle_seconds


class _UncheckedKeeper(LeaseKeeper):
    """A broken holder that goes on under the last term it was given."""

    def __init__(self, name: LeaseName, holder: LeaseHolder, settings: LeaseSettings) -> None:
        super().__init__(name, holder, settings)
        self._last: Optional[LeaseTerm] = None

    def authorize(self, now: TwoClocks) -> result.Result[LeaseTerm, Failure]:
        self._last = self.term or self._last
        if self._last is None:
            return super().authorize(now)
        return result.Success(self._last)


class _ImpatientKeeper(LeaseKeeper):
    """A broken successor that does not wait for its predecessor's orders."""

    def authorize(self, now: TwoClocks) -> result.Result[LeaseTerm, Failure]:
        return (
            super()
            .authorize(now)
            .map(lambda term: LeaseTerm(term.fencing_number, term.ends, settled=clocks(0.0)))
        )


@dataclass
class _Giver:
    keeper: LeaseKeeper
    book: OrderBook = field(default_factory=OrderBook)
    version: int = 1
    paused_until: float = 0.0
    #: Orders that were planned before a pause and are sent after it.
    planned: list[EngineOrder] = field(default_factory=list)


class _TwoGivers:
    def __init__(self, seed: int, keeper_class: type, checks_fencing: bool) -> None:
        self.engine = OrderedEngine(checks_fencing)
        self.checks_fencing = checks_fencing
        self.version = 1
        self._generator = random.Random(seed)
        self._table = LeaseTable()
        self._offset = 0
        self._log_down_until = 0.0
        self._now = 0.0
        self._on_the_way: list[tuple[float, EngineOrder, _Giver]] = []
        self.givers = [
            _Giver(
                keeper_class(
                    LeaseName("orders"), LeaseHolder(VmId(f"vm-{n}"), Incarnation(1)), _SETTINGS
                )
            )
            for n in range(2)
        ]
        self._budgets = [WeightStoreBudget(10.0, 10.0, 1.0, 0.0) for _ in range(2)]

    def play(self, until: float, faults: bool) -> None:
        while self._now < until:
            self._now += self._generator.uniform(0.1, 1.0)
            if faults and self._generator.random() < 0.1:
                self.version += 1
            if faults and self._generator.random() < 0.02:
                self._log_down_until = self._now + self._generator.uniform(5.0, 20.0)
            self._deliver()
            for giver, budget in zip(self.givers, self._budgets, strict=True):
                if faults and self._generator.random() < 0.02:
                    giver.paused_until = self._now + self._generator.uniform(5.0, 40.0)
                if self._now >= giver.paused_until:
                    self._step(giver, budget)

    def _step(self, giver: _Giver, budget: WeightStoreBudget) -> None:
        self._send_planned(giver)
        giver.version = self.version
        now = clocks(self._now)
        record = giver.keeper.next_record(now)
        if record is not None and self._now >= self._log_down_until:
            self._append(encode_lease_record(record))
        match giver.keeper.authorize(now):
            case result.Success(term):
                wanted = desired(
                    str(giver.version), self.checks_fencing, configuration_version=giver.version
                )
                plan = plan_orders(wanted, self.engine.report(), term, giver.book, budget, now)
                giver.planned = list(plan.orders)
        if self._generator.random() < 0.8:
            self._send_planned(giver)

    def _send_planned(self, giver: _Giver) -> None:
        planned, giver.planned = giver.planned, []
        for order in planned:
            match giver.keeper.authorize(clocks(self._now)):
                case result.Success(term) if term.fencing_number == order.fencing_number:
                    delay = self._generator.choice((0.05, 1.0, _LATEST_EFFECT_SECONDS))
                    self._on_the_way.append((self._now + delay, order, giver))

    def _append(self, payload: bytes) -> None:
        verdict = self._table.apply(LogRecord(self._offset, payload, self._now))
        self._offset += 1
        assert verdict is not None
        for giver in self.givers:
            giver.keeper.note_verdict(verdict, clocks(self._now))

    def _deliver(self) -> None:
        due = [sent for sent in self._on_the_way if sent[0] <= self._now]
        self._on_the_way = [sent for sent in self._on_the_way if sent[0] > self._now]
        for _, order, giver in sorted(due, key=lambda sent: sent[0]):
            reply = self.engine.take(order)
            if reply.accepted:
                giver.book.note_accepted(order, Incarnation(1), self._now)
            else:
                giver.book.note_failed(order, reply.detail, self._now)

    @property
    def is_out_of_order(self) -> bool:
        carried_out = self.engine.carried_out
        return carried_out != sorted(carried_out)


def _caught(keeper_class: type, checks_fencing: bool, engine_checks: bool) -> bool:
    for seed in range(30):
        run = _TwoGivers(seed, keeper_class, checks_fencing)
        run.engine.checks_fencing = engine_checks
        run.play(until=200.0, faults=True)
        if run.is_out_of_order:
            return True
    return False


class TwoGiversTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(min_value=0, max_value=1_000_000), st.booleans())
    def test_no_order_of_an_old_holder_follows_one_of_a_new_one(
        self, seed: int, checks_fencing: bool
    ) -> None:
        run = _TwoGivers(seed, LeaseKeeper, checks_fencing)
        run.play(until=200.0, faults=True)
        self.assertFalse(run.is_out_of_order)
        run.play(until=320.0, faults=False)
        self.assertEqual({"course": str(run.version)}, run.engine.versions)
        self.assertFalse(run.is_out_of_order)


class BrokenGuardTest(testtools.TestCase):
    def test_a_holder_that_does_not_check_is_caught_at_an_engine_without_fencing(self) -> None:
        self.assertTrue(_caught(_UncheckedKeeper, checks_fencing=False, engine_checks=False))

    def test_an_engine_with_fencing_withstands_a_holder_that_does_not_check(self) -> None:
        self.assertFalse(_caught(_UncheckedKeeper, checks_fencing=True, engine_checks=True))

    def test_a_successor_that_does_not_wait_is_caught(self) -> None:
        self.assertTrue(_caught(_ImpatientKeeper, checks_fencing=False, engine_checks=False))

    def test_an_engine_wrongly_said_to_check_is_caught(self) -> None:
        self.assertTrue(_caught(LeaseKeeper, checks_fencing=True, engine_checks=False))
