"""Tests of the allocation of shares on the home VM."""

import random

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from camphordrift.account_limits import (
    NO_SHARES,
    FleetSize,
    LeaseRequest,
    LimiterSettings,
    ShareAllocator,
    ShareAsk,
    ShareDemand,
    ShareHome,
    Shares,
    account_home,
    divide_among,
)
from camphordrift.identifiers import AccountId, VmId
from camphordrift.results import ResultCode

LIMITS = Shares(100.0, 1e6, 50.0, 1e6)
SETTINGS = LimiterSettings()
VM_IDS = tuple(VmId(f"vm-{number}") for number in range(5))
ACCOUNT = AccountId("large")


class DivideTest(testtools.TestCase):
    def test_division_never_exceeds_capacity_and_meets_demands_that_fit(self) -> None:
        rng = random.Random(1)
        for _ in range(200):
            demands = {name: Shares(rng.uniform(0, 80)) for name in VM_IDS}
            division = divide_among(LIMITS, demands)
            total = sum(shares.requests_per_second for shares in division.values())
            self.assertTrue(total <= 100.0 + 1e-6)
            if sum(d.requests_per_second for d in demands.values()) <= 100.0:
                for name, demand in demands.items():
                    self.assertTrue(
                        demand.requests_per_second <= division[name].requests_per_second
                    )


class AllocatorMachine(RuleBasedStateMachine):
    """Checks that shares in use stay within the limits while VMs request leases.

    Responses can be lost, and VMs can stop requesting.
    """

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.allocator = ShareAllocator(SETTINGS)
        self.held: dict[VmId, tuple[Shares, float]] = {}

    @rule(
        name=st.sampled_from(VM_IDS),
        demand=st.floats(0.0, 300.0),
        response_lost=st.booleans(),
        reduces_share=st.booleans(),
    )
    def request_lease(
        self, name: VmId, demand: float, response_lost: bool, reduces_share: bool
    ) -> None:
        wanted = Shares(demand, demand * 1000, demand, 0.0)
        held = self.held_by(name)
        if reduces_share:
            held = held.at_most(wanted)
            if name in self.held:
                self.held[name] = (held, self.held[name][1])
        lease_request = LeaseRequest(wanted, held, SETTINGS.lease_seconds)
        if wanted == NO_SHARES:
            self.held.pop(name, None)
            held = NO_SHARES
        lease = self.allocator.allocate(name, lease_request, LIMITS, FleetSize(5, 5), self.now)
        if not response_lost:
            self.held[name] = (lease, self.now + SETTINGS.lease_seconds)

    @rule(elapsed=st.floats(0.0, 8.0))
    def wait(self, elapsed: float) -> None:
        self.now += elapsed

    def held_by(self, name: VmId) -> Shares:
        shares, until = self.held.get(name, (NO_SHARES, 0.0))
        return shares if self.now < until else NO_SHARES

    @invariant()
    def limits_hold(self) -> None:
        if not hasattr(self, "held"):
            return
        leased = sum((self.held_by(name) for name in self.held), NO_SHARES)
        without = sum(self.held_by(name) == NO_SHARES for name in VM_IDS)
        fallback = LIMITS.scaled(SETTINGS.fallback_fraction * without / len(VM_IDS))
        assert (leased + fallback).fits_within(LIMITS.scaled(1.0 + SETTINGS.fallback_fraction))
        assert leased.fits_within(LIMITS)


AllocatorMachineTest = AllocatorMachine.TestCase
AllocatorMachineTest.settings = settings(derandomize=True, deadline=None, max_examples=100)


class ShareHomeTest(testtools.TestCase):
    def request_lease(self, home: ShareHome, held: float, now: float) -> float:
        demand = ShareDemand(ACCOUNT, LIMITS, LIMITS.scaled(held))
        outcome = home.handle_lease_request(
            VM_IDS[1], ShareAsk((demand,), 6.0), {ACCOUNT: LIMITS}, FleetSize(5, 5), now
        )
        return outcome.unwrap().leases[0].shares.requests_per_second

    def home_vm(self) -> VmId:
        return account_home(ACCOUNT, VM_IDS)

    def test_new_home_vm_only_confirms_leases_until_earlier_ones_expire(self) -> None:
        home = ShareHome(self.home_vm(), SETTINGS, account_home, 0.0)
        home.set_candidates(VM_IDS, 0.0)
        self.assertEqual(30.0, self.request_lease(home, held=0.3, now=1.0))
        self.assertTrue(self.request_lease(home, held=0.3, now=SETTINGS.lease_seconds) > 80.0)

    def test_only_accounts_whose_home_vm_changed_wait_for_earlier_leases(self) -> None:
        home = ShareHome(self.home_vm(), SETTINGS, account_home, 0.0)
        home.set_candidates(VM_IDS, 0.0)
        other = next(name for name in VM_IDS if name != self.home_vm())
        home.set_candidates(tuple(name for name in VM_IDS if name != other), 50.0)
        self.assertTrue(self.request_lease(home, held=0.0, now=50.1) > 80.0)
        home.set_candidates((other,), 100.0)
        home.set_candidates(VM_IDS, 110.0)
        self.assertEqual(30.0, self.request_lease(home, held=0.3, now=110.1))

    def test_refuses_accounts_of_another_home_vm(self) -> None:
        other = next(name for name in VM_IDS if name != self.home_vm())
        home = ShareHome(other, SETTINGS, account_home, 0.0)
        home.set_candidates(VM_IDS, 0.0)
        request = ShareAsk((ShareDemand(ACCOUNT, LIMITS),), 6.0)
        refused = home.handle_lease_request(
            VM_IDS[0], request, {ACCOUNT: LIMITS}, FleetSize(5, 5), 1.0
        )
        self.assertEqual(ResultCode.NOT_HOME_VM, refused.failure().code)

    def test_smaller_side_of_a_partition_grants_only_its_fraction(self) -> None:
        for live, expected in ((5, 1.0), (3, 1.0), (2, 0.4)):
            self.assertEqual(expected, FleetSize(live, 5).visible_fraction)
