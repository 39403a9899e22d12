"""Two VMs that both give orders, with pauses, late orders and lost leases."""

from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from camphordrift.clocks import TwoClocks
from camphordrift.experiments._orders_model import OrdersModel, clocks
from camphordrift.leases import (
    LeaseHolder,
    LeaseKeeper,
    LeaseName,
    LeaseSettings,
    LeaseTerm,
)
from camphordrift.results import Failure


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
            .map(
                lambda term: LeaseTerm(
                    term.fencing_number, term.usable_until, settled_at=clocks(0.0)
                )
            )
        )


def _caught(keeper_class: type, checks_fencing: bool, engine_checks: bool) -> bool:
    for seed in range(30):
        run = OrdersModel(seed, keeper_class, checks_fencing)
        run.engine.checks_fencing = engine_checks
        run.simulate(until=200.0, faults=True)
        if run.is_out_of_order:
            return True
    return False


class TwoGiversTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(min_value=0, max_value=1_000_000), st.booleans())
    def test_no_order_of_an_old_holder_follows_one_of_a_new_one(
        self, seed: int, checks_fencing: bool
    ) -> None:
        run = OrdersModel(seed, LeaseKeeper, checks_fencing)
        run.simulate(until=200.0, faults=True)
        self.assertFalse(run.is_out_of_order)
        run.simulate(until=320.0, faults=False)
        self.assertTrue(run.is_converged)
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
