"""Tests of finding orphaned holds, of the owner's registry, and of assigning engines to VMs."""

import testtools

from camphordrift.backend_servers import MemoryHold
from camphordrift.engine_memory import (
    EngineListing,
    HoldRegistry,
    HoldSettings,
    OwnerMissing,
    OwnerResponded,
    OwnerUnreachable,
    ReleaseReason,
    dump_state,
    engines_due,
    find_orphaned_holds,
)
from camphordrift.experiments._memory_model import ENGINES, VMS, clocks
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId

_SETTINGS = HoldSettings()
_HOLD = HoldId("hold-1")
_CLAIMED = frozenset({_HOLD})
_NOTHING: frozenset[HoldId] = frozenset()


def _hold(age_seconds: float) -> MemoryHold:
    return MemoryHold(
        _HOLD, 1000, VMS[0], Incarnation(5), RequestId("request-1"), age_seconds=age_seconds
    )


class FindOrphanedHoldsTest(testtools.TestCase):
    def test_release_reason_for_each_owner_status(self) -> None:
        cases = (
            ("claimed", OwnerResponded(Incarnation(5), _CLAIMED, 101.0), 999.0, None),
            (
                "not claimed",
                OwnerResponded(Incarnation(5), _NOTHING, 101.0),
                0.1,
                ReleaseReason.NOT_CLAIMED,
            ),
            (
                "queried before the listing",
                OwnerResponded(Incarnation(5), _NOTHING, 99.9),
                999.0,
                None,
            ),
            (
                "restarted",
                OwnerResponded(Incarnation(6), _NOTHING, 101.0),
                30.0,
                ReleaseReason.OWNER_RESTARTED,
            ),
            (
                "restarted, lease not expired",
                OwnerResponded(Incarnation(6), _NOTHING, 101.0),
                29.9,
                None,
            ),
            ("older process", OwnerResponded(Incarnation(4), _NOTHING, 101.0), 999.0, None),
            ("unreachable", OwnerUnreachable(), 999.0, None),
            ("missing", OwnerMissing(10.0), 30.0, ReleaseReason.OWNER_GONE),
            ("missing for too short a time", OwnerMissing(9.9), 999.0, None),
            ("missing, but still renewing", OwnerMissing(999.0), 5.0, None),
            ("unknown owner", None, 999.0, None),
        )
        for name, owner, age_seconds, reason in cases:
            listing = EngineListing(ENGINES[0], (_hold(age_seconds),), listed_at=100.0)
            owners = {} if owner is None else {VMS[0]: owner}
            found = [release.reason for release in find_orphaned_holds(listing, owners, _SETTINGS)]
            self.assertEqual([] if reason is None else [reason], found, name)

    def test_no_owner_renews_a_hold_after_its_lease(self) -> None:
        latest_renewal = _SETTINGS.usable_seconds + _SETTINGS.request_timeout_seconds
        self.assertTrue(latest_renewal < _SETTINGS.lease_seconds)


class RegistryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = HoldRegistry(Incarnation(5), _SETTINGS)
        self.registry.claim(_HOLD, ENGINES[0], RequestId("request-1"), clocks(100.0))

    def test_a_hold_is_claimed_before_placement_and_usable_once_confirmed(self) -> None:
        self.assertEqual(_CLAIMED, self.registry.current_claims(1.0).claimed)
        self.assertFalse(self.registry.may_use(_HOLD, clocks(1.0)))
        self.registry.record_confirmed(_HOLD, clocks(0.0))
        self.assertTrue(self.registry.may_use(_HOLD, clocks(23.9)))
        self.assertFalse(self.registry.may_use(_HOLD, clocks(24.0)))
        self.assertTrue(dump_state(self.registry, None, clocks(1.0)).claimed[0].usable)

    def test_rejects_a_hold_id_that_is_already_claimed(self) -> None:
        request = RequestId("request-2")
        self.assertRaises(
            ValueError, self.registry.claim, _HOLD, ENGINES[0], request, clocks(100.0)
        )

    def test_renewal_is_due_after_the_interval_and_before_expiry(self) -> None:
        self.registry.record_confirmed(_HOLD, clocks(0.0))
        due = [now for now in (7.9, 8.0, 24.0) if self.registry.renewals_due(clocks(now))]
        self.assertEqual([8.0], due)

    def test_expires_holds_that_were_not_renewed_or_whose_request_has_ended(self) -> None:
        for confirmed_at, now in ((0.0, 24.0), (90.0, 100.0)):
            registry = HoldRegistry(Incarnation(5), _SETTINGS)
            registry.claim(_HOLD, ENGINES[0], RequestId("request-1"), clocks(100.0))
            registry.record_confirmed(_HOLD, clocks(confirmed_at))
            self.assertEqual((), registry.drop_expired_claims(clocks(now - 0.1)))
            self.assertEqual(1, len(registry.drop_expired_claims(clocks(now))))
            self.assertEqual(_NOTHING, registry.current_claims(now).claimed)


class EnginesDueTest(testtools.TestCase):
    def test_exactly_one_vm_checks_each_engine_in_every_round(self) -> None:
        engines = tuple(BackendServerId(f"engine-{number}") for number in range(50))
        vms = tuple(VmId(f"vm-{number}") for number in range(7))
        checked_engines = [engine for vm in vms for engine in engines_due(engines, vms, vm, 1)]
        self.assertEqual(sorted(engines), sorted(checked_engines))

    def test_two_further_vms_check_an_engine_less_often(self) -> None:
        checking_vms = [vm for vm in VMS if engines_due(ENGINES[:1], VMS, vm, 8)]
        self.assertEqual(3, len(checking_vms))
