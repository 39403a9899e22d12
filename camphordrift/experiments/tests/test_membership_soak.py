"""Short runs of the membership soak test, and broken variants that it must detect."""

from dataclasses import replace

import testtools

from camphordrift.experiments._membership_soak import run_membership_soak
from camphordrift.identifiers import VmId
from camphordrift.membership import Health, MembershipChange, MembershipView


class _ViewWithoutSuspicion(MembershipView):
    """Broken variant that declares a VM dead after one failed probe."""

    def on_probe_failed(
        self, vm_id: VmId, started: float, now: float
    ) -> tuple[MembershipChange, ...]:
        record = self.record_of(vm_id)
        if record is None:
            return ()
        return self.on_record(replace(record, health=Health.DEAD), now)


class _ViewWithoutSuspicionTimeout(MembershipView):
    """Broken variant that never declares a suspected VM dead."""

    def on_tick(self, now: float) -> tuple[MembershipChange, ...]:
        return ()


class MembershipSoakTest(testtools.TestCase):
    def test_invariants_hold(self) -> None:
        for seed in (4, 6):
            report = run_membership_soak(seed, fault_count=25)
            self.assertTrue(report.pairs_checked > 1000, report)

    def test_broken_variants_are_detected(self) -> None:
        for variant, seed in ((_ViewWithoutSuspicion, 2), (_ViewWithoutSuspicionTimeout, 5)):
            error = self.assertRaises(
                ExceptionGroup, run_membership_soak, seed, 7, 25, view_factory=variant
            )
            self.assertIsNotNone(error.subgroup(AssertionError))

    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = (run_membership_soak(9, fault_count=4) for _ in range(2))
        self.assertEqual(first, second)
