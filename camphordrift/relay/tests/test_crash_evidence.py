"""Tests of the exchange of evidence about traits of prompts between VMs, over sockets."""

from collections.abc import Callable

import pytest
import testtools
import trio

from camphordrift.relay import KeyedRecord
from camphordrift.relay.crashes._crash_analysis import CRASHES_TO_QUARANTINE, SAME_CAUSE_SECONDS
from camphordrift.relay.store._quarantine_records import CHECK_INTERVAL, KEY_PREFIX, SETTLING_PERIOD
from camphordrift.relay.tests.samples import TOPICS, server
from camphordrift.relay.tests.test_leader_election import Fleet, Vm, leaders, run, wait_until

pytestmark = pytest.mark.sockets

#: Seconds within which the platform allows requests with a trait to be sent after the fifth crash.
KNOWN_WITHIN = 3.0

#: Seconds between two crashes; crashes at the same moment count as one.
CRASH_INTERVAL = 2 * SAME_CAUSE_SECONDS


def crash(number: int, vm: Vm, *traits: str) -> None:
    """Makes a VM observe the crash of an engine."""
    vm.crashes.record_crash(traits, server(number))


async def crash_engines(*vms: Vm, trait: str = "bad") -> None:
    """Crashes as many engines on a trait as are needed, each seen by the next one of the VMs."""
    for number in range(CRASHES_TO_QUARANTINE):
        crash(number, vms[number % len(vms)], trait)
        await trio.sleep(CRASH_INTERVAL)


def refuses(vm: Vm, trait: str = "bad") -> Callable[[], bool]:
    """Returns a function that tells whether a VM refuses requests with a trait."""
    return lambda: vm.crashes.quarantine_seconds_left((trait,)) > 0


def quarantine_records(fleet: Fleet) -> list[KeyedRecord]:
    """Returns all records of quarantines that were written, deletions included."""
    records = fleet.log._records.get(TOPICS.members, [])
    return [record for record in records if record.key.startswith(KEY_PREFIX)]


async def wait_until_all_refuse(*vms: Vm) -> None:
    """Waits until all VMs refuse the trait; fails if that takes too long."""
    with trio.fail_after(KNOWN_WITHIN):
        for vm in vms:
            await wait_until(refuses(vm))


class CrashEvidenceTest(testtools.TestCase):
    """Guards against VMs that each have to find a trait that crashes engines by themselves."""

    def test_crashes_that_different_vms_see_are_added_up_on_all(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3, 4)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 4)
            await crash_engines(*vms[1:])
            await wait_until_all_refuse(*vms)

        run(body)

    def test_a_response_on_one_vm_clears_a_part_on_all(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 3)
            crash(0, vms[1], "rare")
            await wait_until(lambda: all(vm.crashes.is_suspect(("rare",)) for vm in vms))
            vms[2].crashes.record_sound(("rare",))
            await wait_until(lambda: not any(vm.crashes.is_suspect(("rare",)) for vm in vms))

        run(body)

    def test_a_part_that_another_vm_saw_sound_is_not_suspect(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 3)
            vms[2].crashes.record_sound(("hot",))
            crash(0, vms[1], "hot", "bad")
            await wait_until(lambda: all(vm.crashes.is_suspect(("bad",)) for vm in vms))
            await wait_until(lambda: not any(vm.crashes.is_suspect(("hot",)) for vm in vms))

        run(body)

    def test_evidence_survives_the_loss_of_the_leader(self) -> None:
        """The crashes are seen in part before, in part after the leader is lost."""

        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 3)
            crash(0, vms[0], "bad")
            await wait_until(lambda: vms[1].crashes.is_suspect(("bad",)))
            fleet.kill(vms[0])
            for number in (1, 2):
                await trio.sleep(CRASH_INTERVAL)
                crash(number, vms[number], "bad")
            await wait_until(lambda: leaders(*vms[1:]) == ["vm-2"] * 2)
            await wait_until_all_refuse(*vms[1:])

        run(body)

    def test_a_vm_that_restarted_learns_of_a_quarantine_from_its_leader(self) -> None:
        async def body(fleet: Fleet) -> None:
            first, second = fleet.start(1, 101), fleet.start(2, 102)
            await wait_until(lambda: leaders(second) == ["vm-1"])
            await crash_engines(second)
            await wait_until_all_refuse(first, second)
            fleet.kill(second)
            restarted = fleet.start(2, 300)
            await wait_until(lambda: leaders(restarted) == ["vm-1"])
            await wait_until_all_refuse(restarted)

        run(body)

    def test_a_leader_that_knows_nothing_learns_from_its_followers(self) -> None:
        async def body(fleet: Fleet) -> None:
            second, third = fleet.start(2, 200), fleet.start(3, 300)
            await wait_until(lambda: leaders(third) == ["vm-2"])
            await crash_engines(third)
            await wait_until_all_refuse(second, third)
            first = fleet.start(1, 100)
            await wait_until(lambda: leaders(first, second, third) == ["vm-1"] * 3)
            await wait_until_all_refuse(first)

        run(body)

    def test_groups_of_vms_with_different_leaders_agree_once_they_meet(self) -> None:
        async def body(fleet: Fleet) -> None:
            second, third = fleet.start(2, 200), fleet.start(3, 300)
            await wait_until(lambda: leaders(third) == ["vm-2"])
            first = fleet.start(1, 100)
            crash(0, first, "bad", "rare")
            await trio.sleep(CRASH_INTERVAL)
            crash(1, third, "bad")
            await trio.sleep(CRASH_INTERVAL)
            crash(2, second, "bad")
            first.crashes.record_sound(("rare",))
            await wait_until(lambda: leaders(first, second, third) == ["vm-1"] * 3)
            await wait_until_all_refuse(first, second, third)
            self.assertFalse(any(vm.crashes.is_suspect(("rare",)) for vm in (first, second, third)))

        run(body)

    def test_a_quarantine_survives_the_loss_of_all_vms(self) -> None:
        """Guards against engines that crash anew after all VMs have lost power."""

        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 3)
            await crash_engines(*vms)
            await wait_until_all_refuse(*vms)
            await wait_until(lambda: len(quarantine_records(fleet)) == 1)
            for vm in vms:
                fleet.kill(vm)
            await wait_until_all_refuse(*(fleet.start(number, 200 + number) for number in (1, 2)))
            self.assertEqual(1, len(quarantine_records(fleet)))

        run(body)

    def test_the_quarantine_of_a_whole_request_survives_the_loss_of_all_vms(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 2)
            await crash_engines(*vms, trait="request:1")
            await wait_until(lambda: len(quarantine_records(fleet)) == 1)
            for vm in vms:
                fleet.kill(vm)
            restarted = fleet.start(1, 200)
            with trio.fail_after(KNOWN_WITHIN):
                await wait_until(refuses(restarted, "request:1"))

        run(body)

    def test_a_quarantine_is_written_again_on_a_restored_store(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 2)
            older_copy = fleet.log.copy()
            await crash_engines(*vms)
            await wait_until(lambda: len(quarantine_records(fleet)) == 1)
            fleet.log.restore(older_copy)
            self.assertEqual([], quarantine_records(fleet))
            await wait_until(lambda: len(quarantine_records(fleet)) == 1)

        run(body)

    def test_the_record_of_a_part_that_is_sound_is_deleted(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 2)
            await crash_engines(*vms)
            await wait_until(lambda: len(quarantine_records(fleet)) == 1)
            vms[1].crashes.record_sound(("bad",))
            await wait_until(lambda: len(quarantine_records(fleet)) == 2)
            for vm in vms:
                fleet.kill(vm)
            restarted = fleet.start(1, 201)
            await wait_until(lambda: restarted.configuration.version > 0)
            await trio.sleep(0.1)
            self.assertFalse(refuses(restarted)())

        run(body)

    def test_nothing_is_written_without_a_quarantine(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 2)
            crash(0, vms[0], "bad")
            await trio.sleep(SETTLING_PERIOD + 2 * CHECK_INTERVAL)
            self.assertEqual([], quarantine_records(fleet))

        run(body)

    def test_a_record_that_cannot_be_read_is_ignored(self) -> None:
        async def body(fleet: Fleet) -> None:
            values = {"a": b"soon", "b": b"", "c": b"9" * 400, "d": b"9" * 5000, "e": b"-1"}
            for trait, value in values.items():
                fleet.log.put(TOPICS.members, KEY_PREFIX + trait, value)
            first, second = fleet.start(1, 101), fleet.start(2, 102)
            await wait_until(lambda: leaders(first, second) == ["vm-1"] * 2)
            self.assertEqual({}, first.crashes.quarantined_traits())

        run(body)

    def test_a_vm_without_other_vms_decides_from_its_own_evidence(self) -> None:
        async def body(fleet: Fleet) -> None:
            alone = fleet.start(1, 101)
            await crash_engines(alone)
            await wait_until_all_refuse(alone)

        run(body)

    def test_a_vm_passes_evidence_on_only_once(self) -> None:
        """Guards against messages that circulate between VMs."""

        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await wait_until(lambda: leaders(*vms) == ["vm-1"] * 3)
            received = [0] * len(vms)
            for index, vm in enumerate(vms):
                self._count_messages(vm, received, index)
            crash(0, vms[1], "bad")
            await wait_until(lambda: received == [1, 0, 1])
            await trio.sleep(0.3)
            self.assertEqual([1, 0, 1], received)

        run(body)

    def _count_messages(self, vm: Vm, received: list[int], index: int) -> None:
        handle = vm.crashes.handle

        def count(*arguments: object) -> None:
            received[index] += 1
            handle(*arguments)  # type: ignore[arg-type]

        self.patch(vm.crashes, "handle", count)
