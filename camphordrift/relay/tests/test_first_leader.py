"""Tests of requests on a VM that has just started and searches for its leader, in virtual time."""

from typing import cast

import testtools
import trio

from camphordrift.relay.fleet._dispatcher import FIRST_LEADER_WAIT, Dispatcher
from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_messages import Granted, Message, Submit
from camphordrift.relay.scheduling._engine_scheduler import EngineScheduler
from camphordrift.relay.scheduling._placement_values import Grant, PlacementDecision
from camphordrift.relay.tests.samples import CONFIGURATION, placement_request, server
from camphordrift.relay.tests.watched_vms import DirectLink
from camphordrift.testing import run_in_virtual_time


class FirstLeaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.scheduler = EngineScheduler("vm-2", trio.current_time)
        self.scheduler.set_services(CONFIGURATION.services.values())
        self.dispatcher = Dispatcher("vm-2", self.scheduler, trio.current_time, lambda service: ())
        self.to_leader: list[Message] = []
        self.leader = cast(MessageLink, DirectLink(self.to_leader.append))
        self.decisions: list[PlacementDecision] = []
        self.decided_at: list[float] = []

    async def request(self) -> None:
        started_at = trio.current_time()
        decision = await self.dispatcher.request_placement(placement_request("r1"))
        self.decisions.append(decision)
        self.decided_at.append(trio.current_time() - started_at)

    def run_request(self, find_leader_after: float = 0.0, end_search_after: float = 0.0) -> None:
        async def main() -> None:
            self.scheduler.set_servers([server(1)])
            self.dispatcher.expect_leader()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.request)
                if find_leader_after:
                    await trio.sleep(find_leader_after)
                    self.dispatcher.attach_leader(self.leader)
                    await trio.sleep(0.01)
                    self.dispatcher.handle_message(Granted(Grant("r1", server(2), (), (), 0.1)))
                elif end_search_after:
                    await trio.sleep(end_search_after)
                    self.dispatcher.record_search_ended()

        run_in_virtual_time(main)

    def test_a_request_waits_for_the_leader_that_is_being_found(self) -> None:
        self.run_request(find_leader_after=0.05)
        self.assertEqual(["r1"], [m.ask.id for m in self.to_leader if isinstance(m, Submit)])
        assert isinstance(self.decisions[0], Grant)
        self.assertEqual(server(2), self.decisions[0].server)

    def test_the_leader_is_told_the_times_that_are_left(self) -> None:
        self.run_request(find_leader_after=0.05)
        submitted = next(m.ask for m in self.to_leader if isinstance(m, Submit))
        full = placement_request("r1")
        self.assertAlmostEqual(full.objective - 0.05, submitted.objective, places=3)
        self.assertAlmostEqual(full.time_left - 0.05, submitted.time_left, places=3)

    def test_a_vm_without_a_leader_to_follow_places_at_once(self) -> None:
        self.run_request(end_search_after=0.02)
        self.assertAlmostEqual(0.02, self.decided_at[0], places=3)

    def test_a_request_does_not_wait_long_for_a_leader(self) -> None:
        self.run_request()
        self.assertAlmostEqual(FIRST_LEADER_WAIT, self.decided_at[0], places=3)
        self.assertIsInstance(self.decisions[0], Grant)

    def test_no_request_waits_after_the_search(self) -> None:
        async def main() -> None:
            self.scheduler.set_servers([server(1)])
            self.dispatcher.expect_leader()
            self.dispatcher.attach_leader(self.leader)
            self.dispatcher.detach_leader()
            await self.request()

        run_in_virtual_time(main)
        self.assertEqual([0.0], self.decided_at)
