"""Tests of configurations that change faster than VMs can apply each version, in virtual time."""

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Optional

import testtools
import trio
import trio.testing

from camphordrift.relay import Configuration, ServerState
from camphordrift.relay.model._settings import Address
from camphordrift.relay.peers._configuration_sharing import FETCH_TIMEOUT
from camphordrift.relay.tests.samples import SampleDocuments, server
from camphordrift.relay.tests.watched_vms import (
    APPLY_DELAY,
    VmLog,
    WatchedFleet,
    WatchedVm,
    run_fleet,
)

#: Seconds between two versions.
INTERVAL = 0.06

#: Versions that are published in quick succession.
VERSION_COUNT = 80

#: Bandwidth of a small VM's link in bytes per second.
SMALL_LINK = 1.25e6


class CostlyDocuments(SampleDocuments):
    """Documents whose parsing takes processor time.

    Args:
        seconds: Processor time of each configuration that is parsed.
        size: Size of a document in bytes.

    """

    def __init__(self, seconds: float = 0.0, size: int = 0) -> None:
        super().__init__()
        self._seconds = seconds
        self._size = size

    def on_vm(self, seconds: float) -> "CostlyDocuments":
        """Returns the same documents for a VM on which parsing takes another time."""
        documents = CostlyDocuments(seconds, self._size)
        documents._values = self._values
        return documents

    def write(self, value: object) -> bytes:
        """Stores ``value`` and returns its document."""
        return super().write(value).ljust(self._size)

    def configuration(self, document: bytes) -> Configuration:
        """Returns the configuration of a document."""
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(self._seconds)
        return super().configuration(document)


class Operator:
    """Publishes versions and records when the store acknowledged them."""

    def __init__(self, fleet: WatchedFleet) -> None:
        self._fleet = fleet
        self._acknowledged: list[tuple[float, int]] = []

    def _publish(self, at: float) -> None:
        """Publishes the next version, and starts, drains or removes an engine beside it."""
        version = 10 + len(self._acknowledged)
        self._fleet.publish(version, "key-1", f"key-{version}")
        self._acknowledged.append((at, version))
        engine = server(version // 3)
        if version % 3 == 0:
            self._fleet.register(engine)
        elif version % 3 == 1:
            self._fleet.register(replace(engine, state=ServerState.LEAVING))
        else:
            self._fleet.remove(engine.id)

    async def publish_all(self, on_version: Callable[[int], None]) -> None:
        """Publishes all versions in quick succession."""
        started_at = trio.current_time()
        for index in range(VERSION_COUNT):
            # Versions that were due while a VM was busy are published together afterwards.
            publish_at = started_at + index * INTERVAL
            await trio.sleep_until(publish_at)
            self._publish(publish_at)
            on_version(index)

    def late_versions(self, vm: WatchedVm, since: float = 0.0) -> list[tuple[int, float]]:
        """Returns the versions that a VM had in force too late, and after how many seconds.

        Args:
            vm: The VM.
            since: Start of the VM; older versions count as acknowledged then.

        """
        late = []
        for acknowledged_at, version in self._acknowledged:
            in_force_at = min((at for at, v in vm.in_force if v >= version), default=math.inf)
            delay = in_force_at - max(acknowledged_at, since)
            if delay > APPLY_DELAY:
                late.append((version, round(delay, 2)))
        return late


async def wait_until_all_are_due() -> None:
    """Waits until all versions must be in force."""
    await trio.sleep(VERSION_COUNT * INTERVAL + 2 * APPLY_DELAY)


async def start_vms(
    fleet: WatchedFleet, count: int, logs: Optional[dict[int, VmLog]] = None
) -> list[WatchedVm]:
    """Starts VMs that follow the first one, and waits until they have the first version."""
    fleet.publish(3, "key-1")
    logs = logs or {}
    vms = [fleet.start(number, logs.get(number)) for number in range(1, count + 1)]
    for vm in vms:
        while vm.configuration.version == 0:
            await trio.sleep(0.01)
    for vm in vms[1:]:
        fleet.follow(vm, vms[0])
    await trio.sleep(3.0)
    return vms


async def publish_until_due(
    operator: Operator, on_version: Callable[[int], None] = lambda version: None
) -> None:
    """Publishes all versions, and waits until they must be in force."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operator.publish_all, on_version)
        await wait_until_all_are_due()


class BacklogTest(testtools.TestCase):
    """Each way by which versions can queue up."""

    def check(
        self,
        documents: SampleDocuments,
        prepare: Callable[[WatchedFleet], list[WatchedVm]],
    ) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.documents = documents
            fleet.publish(3, "key-1")
            vms = prepare(fleet)
            await trio.sleep(3.0)
            operator = Operator(fleet)
            await publish_until_due(operator)
            for vm in vms:
                self.assertEqual([], operator.late_versions(vm))
                self.assertEqual(sorted(vm.versions), vm.versions)

        run_fleet(body)

    def test_versions_are_read_faster_than_they_can_be_applied(self) -> None:
        self.check(CostlyDocuments(seconds=0.2), lambda fleet: [fleet.start(1)])

    def test_a_leader_sends_versions_faster_than_they_can_be_applied(self) -> None:
        documents = CostlyDocuments()

        def prepare(fleet: WatchedFleet) -> list[WatchedVm]:
            leader = fleet.start(1)
            follower = fleet.start(2, documents=documents.on_vm(seconds=0.2))
            fleet.follow_over_stream(follower, leader, 100 * SMALL_LINK)
            return [follower]

        self.check(documents, prepare)

    def test_a_leader_sends_versions_faster_than_its_link_allows(self) -> None:
        documents = CostlyDocuments(size=200_000)

        def prepare(fleet: WatchedFleet) -> list[WatchedVm]:
            leader, follower = fleet.start(1), fleet.start(2)
            fleet.follow_over_stream(follower, leader, SMALL_LINK)
            return [leader, follower]

        self.check(documents, prepare)

    def test_a_vm_that_starts_meanwhile(self) -> None:
        documents = CostlyDocuments(seconds=0.1)

        async def body(fleet: WatchedFleet) -> None:
            fleet.documents = documents
            operator = Operator(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(publish_until_due, operator)
                await trio.sleep(1.0)
                started_at, vm = trio.current_time(), fleet.start(1)
            self.assertEqual([], operator.late_versions(vm, since=started_at))

        run_fleet(body)


class UnreadableVersionTest(testtools.TestCase):
    def test_the_newest_readable_version_of_a_batch_comes_into_force(self) -> None:
        class Documents(CostlyDocuments):
            def configuration(self, document: bytes) -> Configuration:
                configuration = super().configuration(document)
                if configuration.version == 12:
                    raise ValueError("a field is missing")
                return configuration

        async def body(fleet: WatchedFleet) -> None:
            fleet.documents = Documents()
            log = VmLog(fleet.log)
            vm = fleet.start(1, log)
            fleet.publish(9)
            await trio.sleep(1.0)
            log.delay = 0.5
            for version in (10, 11, 12):
                fleet.publish(version)
            await trio.sleep(1.0)
            log.delay = 0.0
            await trio.sleep(2.0)
            self.assertEqual([9, 11], vm.versions)
            # The unreadable version does not keep the lease from being confirmed.
            self.assertLess(vm.lease.age(trio.current_time()), 2.0)

        run_fleet(body)


class WaitingTest(testtools.TestCase):
    """Each way in which a VM can wait for a version while others have it."""

    def test_the_vm_of_the_zone_sends_no_versions_while_newer_ones_are_announced(self) -> None:
        async def fetch(source: Address, version: int) -> Optional[bytes]:
            await trio.sleep(FETCH_TIMEOUT)
            return None

        async def body(fleet: WatchedFleet) -> None:
            leader, source, vm = await start_vms(fleet, 3)
            vm.configuration._fetch = fetch
            operator = Operator(fleet)
            await publish_until_due(operator)
            for late_vm in (leader, source, vm):
                self.assertEqual([], operator.late_versions(late_vm))

        run_fleet(body)

    def test_a_read_of_the_leader_gets_no_response(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_vms(fleet, 2, {1: log})
            operator = Operator(fleet)

            def fall_silent(index: int) -> None:
                log.is_silent = 20 <= index < 30

            await publish_until_due(operator, fall_silent)
            for late_vm in vms:
                self.assertEqual([], operator.late_versions(late_vm))

        run_fleet(body)

    def test_the_leader_cannot_reach_the_store(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_vms(fleet, 3, {1: log})
            operator = Operator(fleet)

            def cut(index: int) -> None:
                log.is_cut = index >= 20

            await publish_until_due(operator, cut)
            for late_vm in vms[1:]:
                self.assertEqual([], operator.late_versions(late_vm))

        run_fleet(body)

    def test_the_leader_is_lost(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_vms(fleet, 3)
            operator = Operator(fleet)

            def take_over(index: int) -> None:
                if index == 20:
                    vms[1].unfollow()
                    vms[2].unfollow()
                if index == 30:
                    fleet.follow(vms[2], vms[1])

            await publish_until_due(operator, take_over)
            for late_vm in vms[1:]:
                self.assertEqual([], operator.late_versions(late_vm))

        run_fleet(body)

    def test_a_vm_knows_withdrawn_keys_before_it_has_the_document(self) -> None:
        async def fetch(source: Address, version: int) -> Optional[bytes]:
            await trio.sleep(FETCH_TIMEOUT)
            return None

        async def body(fleet: WatchedFleet) -> None:
            _, _, vm = await start_vms(fleet, 3)
            vm.configuration._fetch = fetch
            fleet.publish(4, "key-2")
            await trio.sleep(0.1)
            self.assertEqual(3, vm.configuration.version)
            self.assertTrue(vm.configuration.pending.withdraws("key-1"))
            fleet.publish(5, "key-1", "key-2")
            await trio.sleep(APPLY_DELAY)
            self.assertEqual(5, vm.configuration.version)
            self.assertFalse(vm.configuration.pending.withdraws("key-1"))

        run_fleet(body)
