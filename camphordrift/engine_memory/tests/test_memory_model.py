"""Simulates owners, engines and faults: live owners keep their holds, orphaned holds are released.

Faulty reconcilers must violate this in the simulation, or it would prove nothing.
"""

from collections.abc import Mapping
from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.engine_memory import (
    EngineListing,
    HoldRelease,
    HoldSettings,
    OwnerMissing,
    OwnerResponded,
    OwnerStatus,
    ReleaseReason,
    find_orphaned_holds,
)
from camphordrift.experiments._memory_model import LIST_LAG_SECONDS, Decide, MemoryModel
from camphordrift.identifiers import VmId

_SEEDS = range(12)
_BOUND_SECONDS = HoldSettings().dead_owner_bound_seconds(LIST_LAG_SECONDS)


def _releases_missing_owners(
    listing: EngineListing, owners: Mapping[VmId, OwnerStatus], rules: HoldSettings
) -> tuple[HoldRelease, ...]:
    """Releases all holds of a VM that is missing from the list, without checking their leases."""
    released_by_rules = find_orphaned_holds(listing, owners, rules)
    missing = tuple(
        HoldRelease(listing.engine_id, hold, ReleaseReason.OWNER_GONE)
        for hold in listing.holds
        if isinstance(owners.get(hold.owner), OwnerMissing)
    )
    return released_by_rules + missing


def _accepts_outdated_claims(
    listing: EngineListing, owners: Mapping[VmId, OwnerStatus], rules: HoldSettings
) -> tuple[HoldRelease, ...]:
    """Treats a response older than the engine's listing as newer."""
    newer = {
        vm: (
            replace(owner, asked_at=listing.listed_at)
            if isinstance(owner, OwnerResponded)
            else owner
        )
        for vm, owner in owners.items()
    }
    return find_orphaned_holds(listing, newer, rules)


class MemoryModelTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(min_value=0, max_value=1_000_000))
    def test_live_owners_keep_their_holds_and_orphaned_holds_are_released(self, seed: int) -> None:
        model = MemoryModel(seed)
        model.simulate(200.0, faults=True)
        self.assertEqual([], model.wrongly_released)
        model.simulate(60.0 + _BOUND_SECONDS, faults=False)
        self.assertEqual([], model.orphaned_holds())
        self.assertEqual([], model.wrongly_released)

    def test_every_release_reason_occurs(self) -> None:
        reasons: set[ReleaseReason] = set()
        for seed in _SEEDS:
            model = MemoryModel(seed)
            model.simulate(200.0, faults=True)
            model.simulate(100.0, faults=False)
            reasons |= {release.reason for release in model.released}
        self.assertEqual(set(ReleaseReason), reasons)


class FaultyReconcilerTest(testtools.TestCase):
    def test_a_reconciler_that_trusts_a_stale_member_list_is_detected(self) -> None:
        self.assertTrue(
            any(self._takes_live_holds(seed, _releases_missing_owners) for seed in _SEEDS)
        )

    def test_a_reconciler_that_trusts_outdated_claims_is_detected(self) -> None:
        self.assertTrue(
            any(self._takes_live_holds(seed, _accepts_outdated_claims) for seed in _SEEDS)
        )

    def test_a_reconciler_that_never_releases_is_detected(self) -> None:
        model = MemoryModel(1, decide=lambda listing, owners, rules: ())
        model.simulate(200.0, faults=True)
        model.simulate(60.0 + _BOUND_SECONDS, faults=False)
        self.assertTrue(len(model.orphaned_holds()) > 0)

    def _takes_live_holds(self, seed: int, decide: Decide) -> bool:
        model = MemoryModel(seed, decide=decide)
        model.simulate(200.0, faults=True)
        return len(model.wrongly_released) > 0
