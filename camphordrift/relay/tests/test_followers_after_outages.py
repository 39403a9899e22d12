"""Tests of what a follower takes for a failure of the store after an outage, in virtual time."""

import testtools
import trio

from camphordrift.relay.store._servers_watcher import SERVERS_INTERVAL
from camphordrift.relay.tests.samples import server
from camphordrift.relay.tests.watched_vms import VmLog, WatchedFleet, WatchedVm, run_fleet

#: Seconds after its removal in which a server may get requests (``DrainMs`` of today's
#: deployments).
DRAIN_TIME = 2.0

#: Seconds of outages of the store, in which a follower's own read fails. At the end of some of
#: them, the leader reads the store before the follower does.
OUTAGES = (4.6, 4.8, 5.0, 5.2, 5.4)


async def start_pair(fleet: WatchedFleet, leader_log: VmLog) -> tuple[WatchedVm, WatchedVm]:
    """Starts a leader and its follower, and waits until both know three servers."""
    for number in range(3):
        fleet.register(server(number))
    fleet.publish(3, "key-1")
    leader, follower = fleet.start(1, leader_log), fleet.start(2)
    await trio.sleep(1.0)
    fleet.follow(follower, leader)
    await trio.sleep(3 * SERVERS_INTERVAL)
    return leader, follower


class OutageTest(testtools.TestCase):
    def test_a_removed_server_is_not_kept_when_the_leader_loses_the_store_later(self) -> None:
        # Guards against a failure of the store that is recorded because of an earlier outage.
        for outage in OUTAGES:

            async def body(fleet: WatchedFleet, outage: float = outage) -> None:
                leader_log = VmLog(fleet.log)
                _, follower = await start_pair(fleet, leader_log)
                fleet.log.is_down = True
                await trio.sleep(outage)
                fleet.log.is_down = False
                await trio.sleep(8.0)
                # New versions let the leader's reads end early, so that the follower next reads the
                # servers itself, and the configuration only after that.
                for version in (4, 5):
                    fleet.publish(version, "key-1")
                    await trio.sleep(0.02)
                leader_log.is_cut = True
                await trio.sleep(0.1)
                fleet.remove("engines-1")
                await trio.sleep(DRAIN_TIME)
                self.assertNotIn("engines-1", follower.states, f"after {outage} s")

            run_fleet(body)

    def test_the_store_counts_as_reachable_once_the_leader_has_read_it(self) -> None:
        for outage in OUTAGES:

            async def body(fleet: WatchedFleet, outage: float = outage) -> None:
                _, follower = await start_pair(fleet, VmLog(fleet.log))
                self.assertTrue(follower.configuration.store_reachable)
                fleet.log.is_down = True
                await trio.sleep(outage)
                self.assertFalse(follower.configuration.store_reachable)
                fleet.log.is_down = False
                await trio.sleep(2.0)
                self.assertTrue(follower.configuration.store_reachable, f"after {outage} s")

            run_fleet(body)

    def test_entries_that_expire_in_an_outage_are_kept(self) -> None:
        # Guards against servers that are lost because a failure is not recorded any more.
        async def body(fleet: WatchedFleet) -> None:
            _, follower = await start_pair(fleet, VmLog(fleet.log))
            for outage in OUTAGES:
                fleet.log.is_down = True
                await trio.sleep(outage)
                fleet.remove("engines-1")
                fleet.log.is_down = False
                await trio.sleep(1.0)
                self.assertIn("engines-1", follower.states)
                fleet.register(server(1))
                await trio.sleep(8.0)
                self.assertIn("engines-1", follower.states)

        run_fleet(body)
