"""Tests of what a VM knows about evacuated zones, and of the operator's records."""

import itertools
import random
from dataclasses import replace
from typing import Optional

import testtools
from hypothesis import given
from hypothesis import strategies as st

from camphordrift.relay import Batch, KeyedRecord, ServerState
from camphordrift.relay.servers._zone_evacuations import ZoneEvacuations, ZoneStatement
from camphordrift.relay.store._evacuation_records import REWRITE_PERIOD, EvacuationRecords
from camphordrift.relay.tests.samples import server

STATEMENTS = st.lists(
    st.builds(
        ZoneStatement,
        st.sampled_from(["z0", "z1"]),
        st.booleans(),
        st.integers(1, 3),
        st.integers(-1, 5),
    ),
    max_size=8,
)


def merged(statements: list[ZoneStatement]) -> set[ZoneStatement]:
    """Returns what is known after merging statements in order."""
    evacuations = ZoneEvacuations()
    for item in statements:
        evacuations.merge(item)
    return set(evacuations.statements)


class ZoneEvacuationsTest(testtools.TestCase):
    def test_older_news_does_not_win(self) -> None:
        evacuations = ZoneEvacuations()
        evacuations.merge(ZoneStatement("z0", True, 1, 7))
        self.assertFalse(evacuations.merge(ZoneStatement("z0", False, 1, 6)))
        self.assertEqual({"z0"}, evacuations.evacuated_zones)

    def test_newer_news_takes_a_zone_back(self) -> None:
        evacuations = ZoneEvacuations()
        evacuations.merge(ZoneStatement("z0", True, 1, 7))
        self.assertTrue(evacuations.merge(ZoneStatement("z0", False, 1, 8)))
        self.assertEqual(frozenset(), evacuations.evacuated_zones)

    def test_a_later_era_counts_more_than_a_higher_offset(self) -> None:
        evacuations = ZoneEvacuations()
        evacuations.merge(ZoneStatement("z0", False, 1, 70))
        self.assertTrue(evacuations.merge(ZoneStatement("z0", True, 2, 3)))
        self.assertEqual({"z0"}, evacuations.evacuated_zones)

    def test_zones_are_independent(self) -> None:
        evacuations = ZoneEvacuations()
        evacuations.merge(ZoneStatement("z0", True, 1, 7))
        evacuations.merge(ZoneStatement("z1", True, 1, 3))
        evacuations.merge(ZoneStatement("z0", False, 1, 9))
        self.assertEqual({"z1"}, evacuations.evacuated_zones)

    def test_servers_of_an_evacuated_zone_are_draining(self) -> None:
        evacuations = ZoneEvacuations()
        evacuations.merge(ZoneStatement("z0", True, 1, 7))
        servers = [replace(server(0), zone="z0"), server(1)]
        states = [item.state for item in evacuations.apply_to(servers)]
        self.assertEqual([ServerState.LEAVING, ServerState.READY], states)

    @given(STATEMENTS, st.randoms(use_true_random=False))
    def test_neither_order_nor_repetition_matters(
        self, statements: list[ZoneStatement], rng: random.Random
    ) -> None:
        shuffled = statements + [item for item in statements if rng.random() < 0.5]
        rng.shuffle(shuffled)
        self.assertEqual(merged(statements), merged(shuffled))


class Vm:
    """What one VM knows and reads; the time is set by the test."""

    def __init__(self) -> None:
        self.evacuations = ZoneEvacuations()
        self.records = EvacuationRecords("evacuate/", 5.0, self.evacuations, self.merge)
        self.now = 100.0
        self.needs_snapshot = True

    def merge(self, statements: list[ZoneStatement]) -> None:
        for item in statements:
            self.evacuations.merge(item)

    def read(
        self,
        *records: KeyedRecord,
        end: int,
        era: int = 1,
        is_snapshot: bool = False,
        complete: bool = True,
    ) -> frozenset[str]:
        """Applies a read and returns the zones that are evacuated after it."""
        batch = Batch(records, end, complete, era)
        self.needs_snapshot = self.records.apply_batch(batch, is_snapshot, self.now)
        return self.evacuations.evacuated_zones


def evacuate(zone: str, offset: int, value: Optional[bytes] = b"{}") -> KeyedRecord:
    """Returns a record that evacuates a zone, or takes it back if it has no value."""
    return KeyedRecord(f"evacuate/{zone}", value, offset)


class EvacuationRecordsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.vm = Vm()

    def test_a_record_evacuates_its_zone(self) -> None:
        self.assertEqual({"z0"}, self.vm.read(evacuate("z0", 4), end=5))

    def test_other_records_do_nothing(self) -> None:
        records = KeyedRecord("config", b"1", 0), KeyedRecord("evacuate/", b"{}", 1)
        self.assertEqual(frozenset(), self.vm.read(*records, end=2))

    def test_a_record_without_a_value_takes_the_zone_back(self) -> None:
        self.vm.read(evacuate("z0", 4), end=5)
        self.assertEqual(frozenset(), self.vm.read(evacuate("z0", 5, None), end=6))

    def test_an_empty_value_in_a_snapshot_takes_the_zone_back(self) -> None:
        self.vm.read(evacuate("z0", 4), end=5)
        taken_back = evacuate("z0", 5, b"")
        self.assertEqual(frozenset(), self.vm.read(taken_back, end=6, is_snapshot=True))

    def test_both_records_in_one_batch(self) -> None:
        records = evacuate("z0", 4), evacuate("z0", 5, None), evacuate("z1", 6)
        self.assertEqual({"z1"}, self.vm.read(*records, end=7))

    def test_a_snapshot_that_lacks_the_record_takes_the_zone_back(self) -> None:
        self.vm.read(evacuate("z0", 4), end=5)
        self.assertEqual(frozenset(), self.vm.read(end=9, is_snapshot=True))

    def test_a_snapshot_from_before_the_record_does_not(self) -> None:
        self.vm.merge([ZoneStatement("z0", True, 1, 9)])
        self.assertEqual({"z0"}, self.vm.read(end=9, is_snapshot=True))

    def test_an_evacuation_that_another_vm_told_and_that_may_be_old_needs_a_snapshot(self) -> None:
        """Guards against a zone that stays evacuated because a VM missed its return."""
        self.vm.read(end=9, is_snapshot=True)
        self.vm.merge([ZoneStatement("z0", True, 1, 4)])
        self.vm.read(end=9)
        self.assertTrue(self.vm.needs_snapshot)
        self.assertEqual(frozenset(), self.vm.read(end=9, is_snapshot=True))

    def test_an_evacuation_that_was_read_needs_no_snapshot(self) -> None:
        self.vm.read(evacuate("z0", 4), end=5)
        self.vm.read(end=9)
        self.assertFalse(self.vm.needs_snapshot)

    def test_an_evacuation_after_the_last_read_needs_no_snapshot(self) -> None:
        self.vm.merge([ZoneStatement("z0", True, 1, 9)])
        self.vm.read(end=9)
        self.assertFalse(self.vm.needs_snapshot)

    def test_an_incomplete_read_needs_no_snapshot(self) -> None:
        self.vm.merge([ZoneStatement("z0", True, 1, 4)])
        self.vm.read(end=9, complete=False)
        self.assertFalse(self.vm.needs_snapshot)


class RestoredStoreTest(testtools.TestCase):
    """The store lost the evacuation when it was restored from an older copy."""

    def setUp(self) -> None:
        super().setUp()
        self.vm = Vm()
        self.vm.read(evacuate("z0", 8), end=9)

    def test_a_snapshot_without_the_record_does_not_take_the_zone_back_at_once(self) -> None:
        self.assertEqual({"z0"}, self.vm.read(end=5, era=2, is_snapshot=True))

    def test_neither_does_an_earlier_removal(self) -> None:
        removal = evacuate("z0", 3, None)
        self.assertEqual({"z0"}, self.vm.read(removal, end=5, era=2, is_snapshot=True))

    def test_a_later_snapshot_does(self) -> None:
        self.vm.read(end=5, era=2, is_snapshot=True)
        self.vm.now += REWRITE_PERIOD
        self.vm.read(end=5, era=2)
        self.assertTrue(self.vm.needs_snapshot)
        self.assertEqual(frozenset(), self.vm.read(end=5, era=2, is_snapshot=True))

    def test_no_snapshot_is_needed_before(self) -> None:
        self.vm.read(end=5, era=2, is_snapshot=True)
        self.vm.now += REWRITE_PERIOD - 0.1
        self.vm.read(end=5, era=2)
        self.assertFalse(self.vm.needs_snapshot)

    def test_a_record_that_is_written_again_keeps_the_zone_evacuated(self) -> None:
        self.vm.read(end=5, era=2, is_snapshot=True)
        self.vm.read(evacuate("z0", 5), end=6, era=2)
        self.vm.now += REWRITE_PERIOD
        self.assertEqual({"z0"}, self.vm.read(end=6, era=2))
        self.assertFalse(self.vm.needs_snapshot)

    def test_a_record_that_was_removed_and_is_there_again_is_followed(self) -> None:
        self.vm.read(evacuate("z0", 9, None), end=10)
        self.assertEqual({"z0"}, self.vm.read(evacuate("z0", 4), end=5, era=2, is_snapshot=True))

    def test_its_removal_is_followed_at_once(self) -> None:
        self.vm.read(evacuate("z0", 4), end=5, era=2, is_snapshot=True)
        self.assertEqual(frozenset(), self.vm.read(evacuate("z0", 5, None), end=6, era=2))


class ConvergenceTest(testtools.TestCase):
    @given(
        st.lists(st.tuples(st.sampled_from(["z0", "z1"]), st.booleans()), max_size=8),
        st.randoms(use_true_random=False),
    )
    def test_vms_that_read_to_the_end_know_what_the_store_contains(
        self, writes: list[tuple[str, bool]], rng: random.Random
    ) -> None:
        log = [
            evacuate(zone, offset, b"{}" if evacuated else None)
            for offset, (zone, evacuated) in enumerate(writes)
        ]
        vms = [Vm(), Vm(), Vm()]
        offsets: list[Optional[int]] = [None, None, None]
        for _ in range(8):
            reader = rng.randrange(3)
            offset, end = offsets[reader], rng.randint(offsets[reader] or 0, len(log))
            offsets[reader] = self._read(vms[reader], log[:end], offset)
            told = rng.choice(vms)
            told.merge(list(vms[reader].evacuations.statements))
        expected = self._evacuated(log)
        for vm, offset in zip(vms, offsets, strict=True):
            for _ in range(3):
                offset = self._read(vm, log, offset)
            self.assertEqual(expected, vm.evacuations.evacuated_zones)

    def _read(self, vm: Vm, log: list[KeyedRecord], offset: Optional[int]) -> Optional[int]:
        """Reads on, or the newest records; returns where to continue."""
        newest = {record.key: record for record in log}
        kept = [record for record in newest.values() if record.value is not None]
        is_snapshot = offset is None
        vm.read(*(kept if is_snapshot else log[offset:]), end=len(log), is_snapshot=is_snapshot)
        return None if vm.needs_snapshot else len(log)

    def _evacuated(self, log: list[KeyedRecord]) -> set[str]:
        by_zone = itertools.groupby(sorted(log, key=lambda x: x.key), key=lambda x: x.key)
        newest = [max(records, key=lambda x: x.offset) for _, records in by_zone]
        return {record.key.removeprefix("evacuate/") for record in newest if record.value}
