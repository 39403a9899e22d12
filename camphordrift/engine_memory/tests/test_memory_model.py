"""Shows that no live owner loses a hold, that no lost hold stays, and that broken rules show."""

from collections.abc import Mapping
from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.engine_memory import (
    EngineListing,
    HoldRelease,
    HoldSettings,
    OwnerAnswered,
    OwnerKnowledge,
    OwnerMissing,
    ReleaseReason,
    find_lost_holds,
)
from camphordrift.experiments._memory_model import LIST_LAG_SECONDS, Decide, MemoryModel
from camphordrift.identifiers import VmId

_SEEDS = range(12)
_BOUND_SECONDS = HoldSettings().gone_bound_seconds(LIST_LAG_SECONDS)


def _trusts_list(
    listing: EngineListing, owners: Mapping[VmId, OwnerKnowledge], rules: HoldSettings
) -> tuple[HoldRelease, ...]:
    """Releases all holds of a VM that the list has lost, without a look at their renewal."""
    lost = find_lost_holds(listing, owners, rules)
    missing = tuple(
        HoldRelease(listing.engine_id, hold, ReleaseReason.OWNER_GONE)
        for hold in listing.holds
        if isinstance(owners.get(hold.owner), OwnerMissing)
    )
    return lost + missing


def _trusts_old_answers(
    listing: EngineListing, owners: Mapping[VmId, OwnerKnowledge], rules: HoldSettings
) -> tuple[HoldRelease, ...]:
    """Takes an answer that is older than the listing for a new one."""
    newer = {
        vm: (
            replace(owner, asked_at=listing.listed_at)
            if isinstance(owner, OwnerAnswered)
            else owner
        )
        for vm, owner in owners.items()
    }
    return find_lost_holds(listing, newer, rules)


class MemoryModelTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(min_value=0, max_value=1_000_000))
    def test_nothing_is_taken_from_the_living_and_nothing_is_lost_for_good(self, seed: int) -> None:
        model = MemoryModel(seed)
        model.simulate(200.0, faults=True)
        self.assertEqual([], model.wrongly_released)
        model.simulate(60.0 + _BOUND_SECONDS, faults=False)
        self.assertEqual([], model.orphaned_holds())
        self.assertEqual([], model.wrongly_released)

    def test_every_reason_comes_up(self) -> None:
        reasons: set[ReleaseReason] = set()
        for seed in _SEEDS:
            model = MemoryModel(seed)
            model.simulate(200.0, faults=True)
            model.simulate(100.0, faults=False)
            reasons |= {release.reason for release in model.released}
        self.assertEqual(set(ReleaseReason), reasons)


class BrokenRuleTest(testtools.TestCase):
    def test_a_reconciler_that_trusts_a_stale_member_list_is_caught(self) -> None:
        self.assertTrue(any(self._takes(seed, _trusts_list) for seed in _SEEDS))

    def test_a_reconciler_that_trusts_old_answers_is_caught(self) -> None:
        self.assertTrue(any(self._takes(seed, _trusts_old_answers) for seed in _SEEDS))

    def test_a_reconciler_that_never_releases_is_caught(self) -> None:
        model = MemoryModel(1, decide=lambda listing, owners, rules: ())
        model.simulate(200.0, faults=True)
        model.simulate(60.0 + _BOUND_SECONDS, faults=False)
        self.assertTrue(len(model.orphaned_holds()) > 0)

    def _takes(self, seed: int, decide: Decide) -> bool:
        model = MemoryModel(seed, decide=decide)
        model.simulate(200.0, faults=True)
        return len(model.wrongly_released) > 0
