"""Tests of how VMs learn that zones are evacuated, in virtual time."""

from collections.abc import Awaitable, Callable
from typing import Optional

import testtools
import trio

from camphordrift.relay import Batch, HistoryLostError
from camphordrift.relay.store._evacuation_records import REWRITE_PERIOD
from camphordrift.relay.tests.watched_vms import (
    EVACUATION_DELAY,
    VmLog,
    WatchedFleet,
    WatchedVm,
    run_fleet,
)

#: Seconds in which news pass over links that are not disturbed.
PROMPTLY = 0.1

#: Seconds until a VM has noticed that the store was restored, and the store counts as settled.
SETTLED = REWRITE_PERIOD + 2.0

NOTHING: frozenset[str] = frozenset()


async def start_fleet(fleet: WatchedFleet, leader_log: Optional[VmLog] = None) -> list[WatchedVm]:
    """Starts a leader and two followers, and waits until all have the configuration."""
    fleet.publish(3, "key-1")
    leader, second, third = fleet.start(1, leader_log), fleet.start(2), fleet.start(3)
    fleet.follow(second, leader)
    fleet.follow(third, leader)
    await trio.sleep(1.0)
    return [leader, second, third]


class PropagationTest(testtools.TestCase):
    def _check(self, body: Callable[[WatchedFleet], Awaitable[None]]) -> None:
        run_fleet(body)

    def _assert_evacuated(self, vms: list[WatchedVm], *zones: str) -> None:
        self.assertEqual([set(zones)] * len(vms), [vm.evacuations.evacuated_zones for vm in vms])

    def test_followers_learn_it_from_their_leader(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(PROMPTLY)
            self._assert_evacuated(vms, "z0")

        self._check(body)

    def test_a_zone_that_is_taken_back_is_usable_promptly(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(8.0)
            fleet.take_back("z0")
            await trio.sleep(PROMPTLY)
            self._assert_evacuated(vms)

        self._check(body)

    def test_two_zones_in_turn(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            fleet.evacuate("z1")
            fleet.take_back("z0")
            await trio.sleep(PROMPTLY)
            self._assert_evacuated(vms, "z1")

        self._check(body)

    def test_followers_of_a_leader_that_lost_the_store_learn_it_in_time(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_fleet(fleet, log)
            log.is_cut = True
            fleet.evacuate("z0")
            await trio.sleep(EVACUATION_DELAY - 1.0)
            self._assert_evacuated(vms, "z0")

        self._check(body)

    def test_followers_of_a_leader_whose_store_is_silent_learn_it_in_time(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_fleet(fleet, log)
            log.is_silent = True
            fleet.evacuate("z0")
            await trio.sleep(EVACUATION_DELAY - 1.0)
            self._assert_evacuated(vms, "z0")

        self._check(body)

    def test_followers_of_a_leader_that_lost_the_store_learn_the_return(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_fleet(fleet, log)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            log.is_cut = True
            fleet.take_back("z0")
            await trio.sleep(EVACUATION_DELAY)
            self._assert_evacuated(vms)

        self._check(body)

    def test_a_follower_that_takes_over_keeps_what_it_knows(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            _, second, third = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            second.unfollow()
            third.unfollow()
            fleet.follow(third, second)
            await trio.sleep(3.0)
            self.assertEqual([[{"z0"}]] * 2, [[z for _, z in vm.zones] for vm in (second, third)])

        self._check(body)

    def test_a_follower_that_takes_over_learns_what_its_leader_did_not_know(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            _, second, third = await start_fleet(fleet, log)
            log.is_cut = True
            fleet.evacuate("z0")
            second.unfollow()
            third.unfollow()
            fleet.follow(third, second)
            await trio.sleep(PROMPTLY)
            self._assert_evacuated([second, third], "z0")

        self._check(body)

    def test_a_vm_that_starts_meanwhile(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            leader, *_ = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            started = fleet.start(4)
            await trio.sleep(PROMPTLY)
            self._assert_evacuated([started], "z0")

        self._check(body)

    def test_a_vm_that_starts_without_the_store_learns_it_from_its_leader(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            leader, *_ = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            log = VmLog(fleet.log)
            log.is_cut = True
            started = fleet.start(4, log)
            fleet.follow(started, leader)
            await trio.sleep(PROMPTLY)
            self._assert_evacuated([started], "z0")

        self._check(body)

    def test_a_vm_that_starts_tells_a_leader_that_lost_the_store(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_fleet(fleet, log)
            log.is_cut = True
            fleet.evacuate("z0")
            started = fleet.start(4)
            await trio.sleep(PROMPTLY)
            fleet.follow(started, vms[0])
            await trio.sleep(PROMPTLY)
            self._assert_evacuated(vms, "z0")

        self._check(body)

    def test_a_zone_that_is_taken_back_before_a_vm_learned_of_it(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            vms = await start_fleet(fleet)
            late = fleet.start(4, log)
            await trio.sleep(1.0)
            log.is_cut = True
            await trio.sleep(1.5)
            fleet.evacuate("z0")
            fleet.take_back("z0")
            log.is_cut = False
            await trio.sleep(3.0)
            self._assert_evacuated([*vms, late])

        self._check(body)

    def test_a_vm_with_old_news_does_not_evacuate_a_zone_again(self) -> None:
        """The leader started after the zone was taken back, so it knows of no evacuation."""

        async def body(fleet: WatchedFleet) -> None:
            log = VmLog(fleet.log)
            fleet.publish(3, "key-1")
            late = fleet.start(1, log)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            log.is_cut = True
            await trio.sleep(1.5)
            fleet.take_back("z0")
            leader = fleet.start(2)
            await trio.sleep(1.0)
            fleet.follow(late, leader)
            await trio.sleep(3.0)
            self._assert_evacuated([late, leader])

        self._check(body)

    def test_all_vms_keep_it_while_the_store_is_down(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            fleet.log.is_down = True
            await trio.sleep(30.0)
            self._assert_evacuated(vms, "z0")

        self._check(body)

    def test_a_removal_that_no_vm_reads_as_the_history_was_lost(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            fleet.evacuate("z0")
            await trio.sleep(1.0)

            async def read(topic: str, offset: int, wait: float) -> Batch:
                fleet.take_back("z0")
                fleet.publish(4, "key-1")
                del fleet.log.read
                raise HistoryLostError(topic, fleet.log.era)

            fleet.log.read = read  # type: ignore[method-assign]
            await trio.sleep(3.0)
            self._assert_evacuated(vms)

        self._check(body)


class RestoredStoreTest(testtools.TestCase):
    def test_no_vm_sends_to_the_zone_until_the_operator_has_written_again(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            copy = fleet.log.copy()
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            fleet.log.restore(copy)
            await trio.sleep(REWRITE_PERIOD - 0.1)
            fleet.evacuate("z0")
            await trio.sleep(SETTLED)
            self.assertEqual([[{"z0"}]] * 3, [[zones for _, zones in vm.zones] for vm in vms])

        run_fleet(body)

    def test_a_zone_whose_record_stays_lost_is_taken_back(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            copy = fleet.log.copy()
            fleet.evacuate("z0")
            await trio.sleep(1.0)
            fleet.log.restore(copy)
            await trio.sleep(SETTLED)
            zones = [vm.evacuations.evacuated_zones for vm in vms]
            self.assertEqual([NOTHING] * 3, zones)

        run_fleet(body)

    def test_a_record_that_the_restore_brought_back_is_followed(self) -> None:
        async def body(fleet: WatchedFleet) -> None:
            vms = await start_fleet(fleet)
            fleet.evacuate("z0")
            copy = fleet.log.copy()
            await trio.sleep(1.0)
            fleet.take_back("z0")
            await trio.sleep(1.0)
            fleet.log.restore(copy)
            await trio.sleep(SETTLED)
            zones = [vm.evacuations.evacuated_zones for vm in vms]
            self.assertEqual([{"z0"}] * 3, zones)

        run_fleet(body)
