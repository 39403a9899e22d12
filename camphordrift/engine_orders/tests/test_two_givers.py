"""Simulates two VMs that compete for the lease, with paused processes, late orders and lost leases.

Guards against an order of an old lease holder that takes effect after one of its successor. Faulty
implementations must violate this in the simulation, or it would prove nothing.
"""

from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from camphordrift.clocks import ClockReading
from camphordrift.experiments._orders_model import OrdersModel, clocks
from camphordrift.leases import (
    LeaseHolder,
    LeaseKeeper,
    LeaseName,
    LeaseSettings,
    LeaseTerm,
)
from camphordrift.results import Failure


class _NoExpiryKeeper(LeaseKeeper):
    """A faulty holder that keeps using its last term after the lease has expired."""

    def __init__(self, name: LeaseName, holder: LeaseHolder, settings: LeaseSettings) -> None:
        super().__init__(name, holder, settings)
        self._last: Optional[LeaseTerm] = None

    def authorize(self, now: ClockReading) -> result.Result[LeaseTerm, Failure]:
        self._last = self.term or self._last
        if self._last is None:
            return super().authorize(now)
        return result.Success(self._last)


class _NoSettlingKeeper(LeaseKeeper):
    """A faulty holder that does not wait until its predecessor's orders have settled."""

    def authorize(self, now: ClockReading) -> result.Result[LeaseTerm, Failure]:
        return (
            super()
            .authorize(now)
            .map(
                lambda term: LeaseTerm(
                    term.fencing_number, term.usable_until, settled_at=clocks(0.0)
                )
            )
        )


def _finds_violation(keeper_class: type, checks_fencing: bool, engine_checks: bool) -> bool:
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
    def test_no_order_of_an_old_holder_takes_effect_after_one_of_a_new_holder(
        self, seed: int, checks_fencing: bool
    ) -> None:
        run = OrdersModel(seed, LeaseKeeper, checks_fencing)
        run.simulate(until=200.0, faults=True)
        self.assertFalse(run.is_out_of_order)
        run.simulate(until=320.0, faults=False)
        self.assertTrue(run.is_converged)
        self.assertFalse(run.is_out_of_order)


class FaultyImplementationTest(testtools.TestCase):
    def test_a_holder_that_ignores_lease_expiry_is_detected_without_fencing(self) -> None:
        self.assertTrue(
            _finds_violation(_NoExpiryKeeper, checks_fencing=False, engine_checks=False)
        )

    def test_fencing_protects_from_a_holder_that_ignores_lease_expiry(self) -> None:
        self.assertFalse(_finds_violation(_NoExpiryKeeper, checks_fencing=True, engine_checks=True))

    def test_a_new_holder_that_does_not_wait_is_detected(self) -> None:
        self.assertTrue(
            _finds_violation(_NoSettlingKeeper, checks_fencing=False, engine_checks=False)
        )

    def test_an_engine_wrongly_configured_as_checking_fencing_is_detected(self) -> None:
        self.assertTrue(_finds_violation(LeaseKeeper, checks_fencing=True, engine_checks=False))
