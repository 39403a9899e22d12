"""Tests of the watchers while the store is restored from an older copy, in virtual time."""

from collections.abc import Callable
from dataclasses import replace

import testtools
import trio

from camphordrift.relay import BackendServer, ServerState
from camphordrift.relay.servers._server_directory import EXPIRY_GRACE, ServerDirectory
from camphordrift.relay.store._configuration_watcher import MAX_CONFIGURATION_AGE
from camphordrift.relay.store._servers_watcher import SERVERS_INTERVAL
from camphordrift.relay.tests.samples import TOPICS, InMemoryLog, server
from camphordrift.relay.tests.watched_vms import (
    REVOCATION_DELAY,
    VmLog,
    WatchedFleet,
    WatchedVm,
    run_fleet,
)

READY, LEAVING = ServerState.READY, ServerState.LEAVING


def entry(number: int, started_ms: int = 1000, state: ServerState = READY) -> BackendServer:
    return replace(server(number), started_ms=started_ms, state=state)


async def wait_until(condition: Callable[[], bool], timeout: float = 30.0) -> None:
    with trio.fail_after(timeout):
        while not condition():
            await trio.sleep(0.01)


async def start_pair(fleet: WatchedFleet) -> tuple[WatchedVm, WatchedVm]:
    """Starts a leader and a VM that follows it, and waits until both know the store's content."""
    first, second = fleet.start(1), fleet.start(2)
    await wait_until(lambda: first.configuration.version > 0)
    fleet.follow(second, first)
    # Longer than the read that each VM makes after it has found a leader.
    await trio.sleep(3 * SERVERS_INTERVAL)
    return first, second


class ServersTest(testtools.TestCase):
    def test_an_entry_written_again_at_a_lower_offset_is_applied(self) -> None:
        """Guards against a server that gets requests while it drains, as its record is ignored."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.register(entry(1))
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            for started_ms in range(10):
                fleet.register(entry(2, started_ms))
            fleet.register(entry(1))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            fleet.register(entry(1, state=LEAVING))
            await trio.sleep(2 * SERVERS_INTERVAL)
            for vm in (first, second):
                self.assertEqual(LEAVING, vm.states["engines-1"])

        run_fleet(body)

    def test_records_below_an_offset_that_is_given_out_again_are_read(self) -> None:
        """Guards against records that are skipped if the offset to read next exists again."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.register(entry(1))
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.register(entry(2))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            fleet.register(entry(1, state=LEAVING))
            fleet.register(entry(2))
            fleet.register(entry(3))
            await trio.sleep(2 * SERVERS_INTERVAL)
            for vm in (first, second):
                self.assertEqual(
                    {"engines-1": LEAVING, "engines-2": READY, "engines-3": READY}, vm.states
                )

        run_fleet(body)

    def test_a_server_that_the_copy_lacks_is_kept_until_it_is_written_again(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.register(entry(1))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            for _ in range(20):
                await trio.sleep(0.1)
                self.assertEqual({"engines-1": READY}, first.states)
                self.assertEqual({"engines-1": READY}, second.states)
            fleet.register(entry(1))
            await trio.sleep(3 * EXPIRY_GRACE)
            self.assertEqual([{"engines-1": READY}] * 2, [first.states, second.states])

        run_fleet(body)

    def test_a_server_that_is_not_written_again_is_removed(self) -> None:
        """Guards against requests to a server that stopped while the store was restored."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.register(entry(1))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            await trio.sleep(EXPIRY_GRACE + 2 * SERVERS_INTERVAL)
            self.assertEqual([{}, {}], [first.states, second.states])

        run_fleet(body)

    def test_a_draining_server_stays_so_in_an_older_copy(self) -> None:
        """Guards against requests to a draining server; the same if its record moves up."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            copy = fleet.log.copy()
            fleet.register(entry(1, state=LEAVING))
            first, second = await start_pair(fleet)
            for _ in range(2):
                fleet.log.restore(copy)
                for number in range(2, 6):
                    fleet.register(entry(number))
                fleet.register(entry(1))
                await trio.sleep(EXPIRY_GRACE + 2 * SERVERS_INTERVAL)
                for vm in (first, second):
                    self.assertEqual(LEAVING, vm.states["engines-1"])

        run_fleet(body)

    def test_a_draining_server_that_left_is_not_listed_as_ready_by_an_older_copy(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            fleet.register(entry(1))
            copy = fleet.log.copy()
            fleet.register(entry(1, state=LEAVING))
            first, second = await start_pair(fleet)
            fleet.remove("engines-1")
            await wait_until(lambda: first.states == second.states == {})
            fleet.log.restore(copy)
            for _ in range(60):
                fleet.register(entry(1))
                await trio.sleep(0.1)
                for vm in (first, second):
                    self.assertFalse(vm.directory.may_receive_requests("engines-1"))

        run_fleet(body)

    def test_a_server_that_left_is_not_listed_by_an_older_copy_at_once(self) -> None:
        """Guards against requests to a server that left, while its removal is written again."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            first, second = await start_pair(fleet)
            fleet.remove("engines-1")
            await wait_until(lambda: first.states == second.states == {})
            copy = {TOPICS.configuration: fleet.log.copy()[TOPICS.configuration]}
            fleet.log.restore(copy)
            for number in range(2, 6):
                fleet.register(entry(number))
            fleet.register(entry(1))
            for _ in range(20):
                await trio.sleep(0.1)
                for vm in (first, second):
                    self.assertNotIn("engines-1", vm.states)
            # It was alive after all.
            await trio.sleep(EXPIRY_GRACE)
            self.assertEqual([READY, READY], [vm.states["engines-1"] for vm in (first, second)])

        run_fleet(body)

    def test_the_entry_of_an_earlier_start_does_not_replace_a_later_one(self) -> None:
        """Guards against requests that an engine at the same address rejects."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1, started_ms=1000))
            copy = fleet.log.copy()
            fleet.register(entry(1, started_ms=2000))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            for number in range(2, 6):
                fleet.register(entry(number))
            fleet.register(entry(1, started_ms=1000))
            for _ in range(20):
                await trio.sleep(0.1)
                for vm in (first, second):
                    self.assertEqual(2000, vm.directory.servers["engines-1"].started_ms)
            fleet.register(entry(1, started_ms=2000))
            await trio.sleep(2 * EXPIRY_GRACE)
            self.assertEqual(2000, first.directory.servers["engines-1"].started_ms)

        run_fleet(body)

    def test_a_store_that_is_restored_twice_within_a_second(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            copy = fleet.log.copy()
            for number in (2, 3, 4):
                fleet.register(entry(number))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            for number in (2, 3):
                fleet.register(entry(number))
            await trio.sleep(0.4)
            fleet.log.restore(copy)
            await trio.sleep(2.0)
            fleet.register(entry(3))
            fleet.register(entry(2, state=LEAVING))
            await trio.sleep(2 * EXPIRY_GRACE)
            expected = {"engines-1": READY, "engines-2": LEAVING, "engines-3": READY}
            self.assertEqual([expected, expected], [first.states, second.states])

        run_fleet(body)

    def test_a_follower_that_knew_more_than_its_leader_agrees_with_it(self) -> None:
        """Guards against a server that only a follower knows, and that no leader ever removes."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            first, second = await start_pair(fleet)
            first.servers._topic._log = _unavailable_log()
            second.unfollow()
            fleet.register(entry(1))
            await wait_until(lambda: second.states == {"engines-1": READY})
            fleet.follow(second, first)
            await trio.sleep(0.3)
            fleet.log.restore(copy)
            first.servers._topic._log = second.servers._topic._log
            await trio.sleep(2 * EXPIRY_GRACE + 2.0)
            self.assertEqual([{}, {}], [first.states, second.states])

        run_fleet(body)

    def test_a_vm_that_starts_while_an_entry_is_missing_gets_it_from_its_leader(self) -> None:
        """Guards against a server that only some VMs use, as it was written again unchanged."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.register(entry(1))
            first, second = await start_pair(fleet)
            fleet.log.restore(copy)
            await trio.sleep(0.2)
            third = fleet.start(3)
            fleet.follow(third, first)
            second.unfollow()
            await trio.sleep(0.1)
            fleet.follow(second, first)
            await trio.sleep(1.0)
            self.assertEqual({}, third.states)
            fleet.register(entry(1))
            await trio.sleep(2 * EXPIRY_GRACE)
            self.assertEqual(
                [{"engines-1": READY}] * 3, [vm.states for vm in (first, second, third)]
            )

        run_fleet(body)

    def test_a_removal_that_the_leader_read_before_is_applied_after_the_grace_period(self) -> None:
        """Guards against a server that a follower keeps for ever after it was cut off."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            first = fleet.start(1)
            log = VmLog(fleet.log)
            second = fleet.start(2, log)
            await trio.sleep(1.0)
            log.is_cut = True
            fleet.remove("engines-1")
            await trio.sleep(1.0)
            log.is_cut = False
            fleet.follow(second, first)
            await trio.sleep(2 * EXPIRY_GRACE)
            self.assertEqual([{}, {}], [first.states, second.states])

        run_fleet(body)

    def test_a_leader_lost_while_the_store_is_restored(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            copy = fleet.log.copy()
            for number in (2, 3, 4):
                fleet.register(entry(number))
            first, second = await start_pair(fleet)
            second.unfollow()
            fleet.log.restore(copy)
            fleet.register(entry(1, state=LEAVING))
            fleet.register(entry(3))
            await trio.sleep(EXPIRY_GRACE + 2 * SERVERS_INTERVAL)
            fleet.follow(first, second)
            await trio.sleep(2 * SERVERS_INTERVAL)
            expected = {"engines-1": LEAVING, "engines-3": READY}
            self.assertEqual([expected, expected], [first.states, second.states])

        run_fleet(body)


class ServerDirectoryTest(testtools.TestCase):
    def test_an_entry_at_the_end_offset_of_a_snapshot_without_it_is_applied(self) -> None:
        """Guards against a server that is written again first and is ignored."""
        directory = ServerDirectory()
        directory.put(server(1), 1)
        directory.remove_all_except([], 5, 10.0)
        directory.put(server(1), 5)
        self.assertIn("engines-1", directory.servers)


class ConfigurationTest(testtools.TestCase):
    def test_the_version_in_force_never_goes_back(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1", "key-2")
            copy = fleet.log.copy()
            fleet.publish(5, "key-2")
            vms = await start_pair(fleet)
            fleet.log.restore(copy)
            await trio.sleep(2.0)
            fleet.publish(5, "key-2")
            await trio.sleep(1.0)
            fleet.publish(8, "key-2")
            await trio.sleep(3.0)
            for vm in vms:
                self.assertEqual([5, 8], vm.versions[-2:])
                self.assertEqual(sorted(vm.versions), vm.versions)
                self.assertEqual((False, True), (vm.accepts_key("key-1"), vm.accepts_key("key-2")))

        run_fleet(body)

    def test_keys_are_not_confirmed_by_an_older_version_than_the_known_one(self) -> None:
        """Guards against a key that was removed in a version that no VM had read.

        While the store holds an older version than is known, the operator has not written again
        what was lost.
        """

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.publish(5, "key-1")
            vms = await start_pair(fleet)
            fleet.log.restore(copy)
            await trio.sleep(REVOCATION_DELAY + 1.0)
            self.assertEqual([False, False], [vm.accepts_key("key-1") for vm in vms])
            fleet.publish(5, "key-1")
            await trio.sleep(1.0)
            self.assertEqual([True, True], [vm.accepts_key("key-1") for vm in vms])

        run_fleet(body)

    def test_a_key_whose_removal_was_lost_before_it_was_read_is_refused_in_time(self) -> None:
        """Guards against a read that confirms the configuration before it is written again."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1", "key-2")
            vms = await start_pair(fleet)
            copy = fleet.log.copy()
            fleet.log.is_down = True
            fleet.publish(5, "key-2")
            acknowledged_at = trio.current_time()
            await trio.sleep(4.0)
            fleet.log.restore(copy)
            fleet.log.is_down = False
            written_again_at = trio.current_time() + 1.9
            while trio.current_time() < written_again_at:
                await trio.sleep(0.05)
                if trio.current_time() >= acknowledged_at + REVOCATION_DELAY:
                    self.assertEqual([False, False], [vm.accepts_key("key-1") for vm in vms])
            fleet.publish(5, "key-2")
            await trio.sleep(3.0)
            self.assertEqual([False, False], [vm.accepts_key("key-1") for vm in vms])
            self.assertEqual([True, True], [vm.accepts_key("key-2") for vm in vms])

        run_fleet(body)

    def test_a_restored_store_with_the_known_version_confirms_it(self) -> None:
        """Guards against keys that are refused for longer than the operator may take."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            vms = await start_pair(fleet)
            fleet.log.restore(fleet.log.copy())
            for _ in range(100):
                await trio.sleep(0.1)
                self.assertEqual([True, True], [vm.accepts_key("key-1") for vm in vms])

        run_fleet(body)

    def test_a_vm_that_starts_prefers_the_newer_version_of_its_leader(self) -> None:
        """Guards against a VM that reads the store without a pause until it is written again."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1", "key-2")
            copy = fleet.log.copy()
            fleet.publish(5, "key-2")
            first, _ = await start_pair(fleet)
            fleet.log.restore(copy)
            third = fleet.start(3)
            await wait_until(lambda: third.configuration.version == 3)
            calls = fleet.log.calls.total()
            fleet.follow(third, first)
            await wait_until(lambda: third.configuration.version == 5, 2.0)
            await trio.sleep(2.0)
            self.assertLess(fleet.log.calls.total() - calls, 20)
            self.assertFalse(third.accepts_key("key-1"))

        run_fleet(body)

    def test_a_leader_that_starts_learns_a_newer_version_from_its_follower(self) -> None:
        """Guards against a leader with an older configuration until it is written again."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.publish(5)
            first, _ = await start_pair(fleet)
            fleet.log.restore(copy)
            third = fleet.start(3)
            await wait_until(lambda: third.configuration.version == 3)
            fleet.follow(first, third)
            await wait_until(lambda: third.configuration.version == 5, 2.0)

        run_fleet(body)

    def test_a_follower_waits_for_its_leader_while_nothing_is_confirmed(self) -> None:
        """Guards against reads by every VM, and against leaders that are replaced in turn."""

        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            copy = fleet.log.copy()
            fleet.publish(5, "key-1")
            _, second = await start_pair(fleet)
            fleet.log.restore(copy)
            await trio.sleep(0.5)
            second.configuration._topic._log = second.servers._topic._log = _unavailable_log()
            for _ in range(80):
                await trio.sleep(0.1)
                self.assertTrue(second.updates.leader_can_reach_store())
            self.assertTrue(second.configuration.store_reachable)
            self.assertGreater(second.lease.age(trio.current_time()), MAX_CONFIGURATION_AGE)

        run_fleet(body)


class CallCountTest(testtools.TestCase):
    def test_no_additional_calls_without_a_restore(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            fleet.publish(3, "key-1")
            fleet.register(entry(1))
            await start_pair(fleet)
            calls = fleet.log.calls.copy()
            await trio.sleep(70.0)
            # 100 reads of the servers, and 116 of the configuration.
            self.assertEqual({"read": 216}, dict(fleet.log.calls - calls))

        run_fleet(body)


def _unavailable_log() -> InMemoryLog:
    log = InMemoryLog()
    log.is_down = True
    return log
