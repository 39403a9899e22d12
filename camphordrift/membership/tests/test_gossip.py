"""Tests of the gossip queue and of the selection of probe targets."""

import random

import testtools

from camphordrift.identifiers import Incarnation, VmId
from camphordrift.membership import (
    GossipQueue,
    MemberRecord,
    MembershipChange,
    MembershipSettings,
    Prober,
)

SETTINGS = MembershipSettings()
RECORDS = tuple(MemberRecord(VmId(f"vm-{number}"), Incarnation(1)) for number in range(30))


class GossipQueueTest(testtools.TestCase):
    def test_each_change_is_sent_a_bounded_number_of_times(self) -> None:
        queue = GossipQueue(SETTINGS, 0.0)
        queue.add([MembershipChange(record, urgent=False) for record in RECORDS], vm_count=7)
        sent_count = 0
        while queue.length:
            message = queue.next_batch(())
            self.assertTrue(len(message) <= SETTINGS.records_per_message)
            sent_count += len(message)
        self.assertEqual(len(RECORDS) * 9, sent_count)

    def test_known_records_are_repeated_in_turn(self) -> None:
        queue = GossipQueue(SETTINGS, 0.0)
        repeated = [record for _ in range(15) for record in queue.next_batch(RECORDS)]
        self.assertEqual(set(RECORDS), set(repeated))

    def test_immediate_sends_stay_within_the_budget(self) -> None:
        queue = GossipQueue(SETTINGS, 0.0)
        pushes = sum(queue.try_spend_push_budget(1, 8, now=step / 100) for step in range(6000))
        bound = SETTINGS.push_burst_bytes + 60 * SETTINGS.push_bytes_per_second
        self.assertTrue(0 < pushes * 8 * 220 <= bound, pushes)


class ProberTest(testtools.TestCase):
    def test_every_target_is_probed_in_bounded_time(self) -> None:
        prober = Prober(SETTINGS, random.Random(1))
        live = [VmId(f"vm-{number}") for number in range(6)]
        rounds_since_probe = dict.fromkeys(live, 0)
        for _ in range(200):
            chosen = prober.next_targets(live, [VmId("dead")])
            for vm_id in live:
                rounds_since_probe[vm_id] = 0 if vm_id in chosen else rounds_since_probe[vm_id] + 1
            self.assertTrue(max(rounds_since_probe.values()) < 2 * len(live))

    def test_requested_vm_is_probed_next_and_helpers_exclude_the_target(self) -> None:
        prober = Prober(SETTINGS, random.Random(1))
        live = [VmId(f"vm-{number}") for number in range(6)]
        prober.probe_next(live[3])
        self.assertEqual(live[3], prober.next_targets(live, [])[0])
        self.assertNotIn(live[3], prober.choose_helpers(live[3], live))
