"""Tests of merging records and of rendezvous hashing."""

from collections import Counter

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.identifiers import Incarnation, VmId
from camphordrift.membership import (
    Health,
    MemberRecord,
    merge_records,
    probe_targets,
    rendezvous_order,
)

RECORDS = st.builds(
    MemberRecord,
    vm_id=st.just(VmId("vm-1")),
    incarnation=st.integers(0, 2).map(Incarnation),
    refutation=st.integers(0, 2),
    health=st.sampled_from(Health),
    leaving=st.booleans(),
    reads_schema=st.just(1),
)

_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=300)


class MergeRecordsTest(testtools.TestCase):
    @_EXAMPLES
    @given(RECORDS, RECORDS, RECORDS)
    def test_merge_is_commutative_associative_and_idempotent(
        self, first: MemberRecord, second: MemberRecord, third: MemberRecord
    ) -> None:
        self.assertEqual(merge_records(first, second), merge_records(second, first))
        left_first = merge_records(merge_records(first, second), third)
        self.assertEqual(left_first, merge_records(first, merge_records(second, third)))
        self.assertEqual(first, merge_records(first, first))

    @_EXAMPLES
    @given(RECORDS, RECORDS)
    def test_leaving_is_never_reset_in_one_incarnation(
        self, first: MemberRecord, second: MemberRecord
    ) -> None:
        merged = merge_records(first, second)
        for record in (first, second):
            if record.incarnation == merged.incarnation and record.leaving:
                self.assertTrue(merged.leaving)


class RendezvousTest(testtools.TestCase):
    @_EXAMPLES
    @given(st.text(max_size=8), st.sets(st.integers(0, 30), min_size=2, max_size=8))
    def test_removing_a_vm_moves_only_its_own_keys(self, key: str, numbers: set[int]) -> None:
        vm_ids = [VmId(f"vm-{number}") for number in numbers]
        order = rendezvous_order(key, vm_ids)
        for removed in vm_ids:
            remaining = [vm_id for vm_id in vm_ids if vm_id != removed]
            expected = tuple(vm_id for vm_id in order if vm_id != removed)
            self.assertEqual(expected, rendezvous_order(key, remaining))

    def test_every_vm_is_probed_by_at_least_two(self) -> None:
        vm_ids = [VmId(f"vm-{number}") for number in range(200)]
        probe_counts: Counter[VmId] = Counter()
        for vm_id in vm_ids:
            targets = probe_targets(vm_id, vm_ids, 8)
            self.assertEqual(8, len(set(targets) - {vm_id}))
            probe_counts.update(targets)
        self.assertEqual(200, len(probe_counts))
        self.assertTrue(min(probe_counts.values()) >= 2, probe_counts)
