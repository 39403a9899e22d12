"""Tests of one VM's view of the entry VMs."""

from dataclasses import replace

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from camphordrift.identifiers import Incarnation, VmId
from camphordrift.membership import (
    Health,
    ListedVm,
    MemberRecord,
    MembershipSettings,
    MembershipView,
    PlatformList,
    platform_list,
)

SETTINGS = MembershipSettings()
OWN = VmId("vm-0")
OTHER = VmId("vm-1")
NAMES = tuple(VmId(f"vm-{number}") for number in range(4))


def listing(*names: str, leaving: tuple[str, ...] = ()) -> PlatformList:
    vms = (ListedVm(VmId(name), "10.0.0.9", 7400, leaving=name in leaving) for name in names)
    return platform_list(tuple(vms))


def record(name: VmId, incarnation: int = 5) -> MemberRecord:
    return MemberRecord(name, Incarnation(incarnation), address="10.0.0.1:7400")


def full_view() -> MembershipView:
    view = MembershipView(record(OWN), SETTINGS, now=0.0)
    view.on_platform_list(listing(*NAMES), 0.0)
    for name in NAMES[1:]:
        view.on_record(record(name), 0.0)
    return view


def run_ticks(view: MembershipView, start: float, end: float) -> None:
    for step in range(int((end - start) * 4) + 1):
        view.on_tick(start + step / 4)


def health_of(view: MembershipView, name: VmId) -> Health:
    found = view.record_of(name)
    assert found is not None
    return found.health


class PlatformListTest(testtools.TestCase):
    def test_empty_stale_or_wrong_list_removes_no_vm(self) -> None:
        for bad_list in (listing(), listing("vm-0"), listing("unknown-1", "unknown-2")):
            view = full_view()
            view.on_platform_list(bad_list, 1.0)
            run_ticks(view, 1.0, 60.0)
            self.assertEqual(set(), set(NAMES) - set(view.home_candidates(60.0)))

    def test_vm_is_no_candidate_while_the_list_marks_it_as_draining(self) -> None:
        view = full_view()
        view.on_platform_list(listing(*NAMES, leaving=(OTHER,)), 1.0)
        self.assertNotIn(OTHER, view.home_candidates(1.0))
        view.on_platform_list(listing(*NAMES), 2.0)
        self.assertIn(OTHER, view.home_candidates(2.0))

    def test_all_vms_stay_candidates_if_all_are_draining(self) -> None:
        view = full_view()
        view.on_platform_list(listing(*NAMES, leaving=NAMES), 1.0)
        self.assertEqual(NAMES, view.home_candidates(1.0))

    def test_dead_vm_is_probed_at_its_listed_address(self) -> None:
        view = full_view()
        self.assertEqual(("10.0.0.1", 7400), view.addresses()[OTHER])
        view.on_record(replace(record(OTHER), health=Health.DEAD), 1.0)
        self.assertEqual(("10.0.0.9", 7400), view.addresses()[OTHER])


class SuspicionTest(testtools.TestCase):
    def test_suspect_stays_candidate_until_it_is_dead(self) -> None:
        view = full_view()
        changes = view.on_probe_failed(OTHER, 0.0, 1.0)
        self.assertEqual(Health.SUSPECT, health_of(view, OTHER))
        self.assertTrue(changes[0].urgent)
        run_ticks(view, 1.0, 2.9)
        self.assertIn(OTHER, view.home_candidates(2.9))
        run_ticks(view, 3.0, 3.0)
        self.assertNotIn(OTHER, view.home_candidates(3.0))

    def test_refutation_clears_a_suspect(self) -> None:
        view = full_view()
        view.on_probe_failed(OTHER, 0.0, 1.0)
        view.on_record(record(OTHER), 1.1)
        self.assertEqual(Health.SUSPECT, health_of(view, OTHER))
        view.on_record(replace(record(OTHER), refutation=1), 1.2)
        self.assertEqual(Health.ALIVE, health_of(view, OTHER))

    def test_vm_refutes_a_report_that_it_is_dead(self) -> None:
        view = full_view()
        claimed = replace(record(OWN), health=Health.DEAD, refutation=3)
        changes = view.on_record(claimed, 1.0)
        self.assertEqual(4, view.own.refutation)
        self.assertEqual(view.own, changes[0].record)
        self.assertEqual((), view.on_record(claimed, 2.0))

    def test_no_vm_is_suspected_or_dead_after_a_process_stall(self) -> None:
        view = full_view()
        view.on_probe_failed(OTHER, 0.0, 1.0)
        run_ticks(view, 1.0, 1.5)
        view.on_tick(61.5)
        self.assertEqual(Health.SUSPECT, health_of(view, OTHER))
        self.assertEqual((), view.on_probe_failed(NAMES[2], 1.5, 61.5))

    def test_recovered_vm_settles_before_it_is_a_candidate_again(self) -> None:
        view = full_view()
        view.on_record(replace(record(OTHER), health=Health.DEAD), 1.0)
        view.on_record(replace(record(OTHER), refutation=1), 5.0)
        self.assertNotIn(OTHER, view.home_candidates(6.9))
        self.assertIn(OTHER, view.home_candidates(7.0))

    def test_dead_and_unlisted_vm_is_removed(self) -> None:
        view = full_view()
        view.on_platform_list(listing("vm-0"), 1.0)
        view.on_record(replace(record(OTHER), health=Health.DEAD), 1.0)
        view.on_tick(1.0 + SETTINGS.remove_dead_after_seconds)
        self.assertIsNone(view.record_of(OTHER))
        self.assertEqual((), view.on_record(replace(record(OTHER), health=Health.DEAD), 700.0))
        self.assertIsNone(view.record_of(OTHER))


class SchemaTest(testtools.TestCase):
    def test_common_schema_version_is_the_lowest_among_live_vms(self) -> None:
        view = MembershipView(replace(record(OWN), reads_schema=3), SETTINGS, 0.0)
        view.on_record(replace(record(OTHER), reads_schema=2), 0.0)
        self.assertEqual(2, view.common_schema_version)
        view.on_record(replace(record(OTHER), health=Health.DEAD), 0.0)
        self.assertEqual(3, view.common_schema_version)


class ViewMachine(RuleBasedStateMachine):
    """Applies random events and checks the view's invariants and home assignments."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.view = full_view()

    @rule(
        name=st.sampled_from((*NAMES, VmId("vm-9"))),
        incarnation=st.integers(0, 7),
        refutation=st.integers(0, 3),
        health=st.sampled_from(Health),
        leaving=st.booleans(),
    )
    def receive_record(
        self, name: VmId, incarnation: int, refutation: int, health: Health, leaving: bool
    ) -> None:
        received = MemberRecord(name, Incarnation(incarnation), refutation, health, leaving)
        self.view.on_record(received, self.now)

    @rule(names=st.sets(st.sampled_from(NAMES)), leaving=st.sets(st.sampled_from(NAMES)))
    def read_list(self, names: set[VmId], leaving: set[VmId]) -> None:
        self.view.on_platform_list(listing(*names, leaving=tuple(leaving)), self.now)

    @rule(name=st.sampled_from(NAMES), seconds=st.floats(0.0, 3.0))
    def fail_probe(self, name: VmId, seconds: float) -> None:
        self.view.on_probe_failed(name, self.now - seconds, self.now)

    @rule(seconds=st.sampled_from([0.25, 1.0, 5.0, 700.0]))
    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.view.on_tick(self.now)
        order = self.view.home_order("key", self.now)
        assert order[0] == self.view.home_of("key", self.now)
        assert set(order) <= set(self.view.live_vms)


ViewMachineTest = ViewMachine.TestCase
ViewMachineTest.settings = settings(derandomize=True, deadline=None, max_examples=60)
