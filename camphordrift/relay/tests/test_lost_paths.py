"""End-to-end tests of VMs that lose their paths to the servers while other VMs keep theirs."""

import pytest
import testtools
import trio

from camphordrift.relay.tests.partitions import Cut, Partitions
from camphordrift.relay.tests.relay_harness import (
    TEST_TIMEOUT,
    CallerResponse,
    RelayFleet,
    RelayHarness,
    complete_stream,
    plain_success,
)
from camphordrift.relay.tests.samples import ScriptedServer, server

pytestmark = pytest.mark.sockets

VM_COUNT = 3

#: Seconds after the beginning of a cut in which requests may still fail (StableWindowMs), and
#: between two requests of each kind.
DETECTION_TIME, REQUEST_INTERVAL = 3.0, 0.25

#: Paths of a stream that may be resumed, a call that must run once, and a repeatable call.
PATHS = ("/quick/x", "/book/x", "/look/x")


class LostPathsTest(testtools.TestCase):
    """Guards against callers who fail because of the VM at which they arrive.

    On second1 of bazarnik-prod, VMs that were partitioned from all servers served 3 of 53 requests.
    """

    def test_connections_that_hang(self) -> None:
        self._check_served(Cut.HANG, ["vm-2"])

    def test_connections_that_are_reset(self) -> None:
        self._check_served(Cut.RESET, ["vm-2"])

    def test_connections_that_live_on_while_new_ones_are_refused(self) -> None:
        self._check_served(Cut.REFUSE_NEW, ["vm-2"])

    def test_most_vms_with_the_leader_among_them(self) -> None:
        self._check_served(Cut.HANG, ["vm-1", "vm-2"])

    def _check_served(self, cut: Cut, vms: list[str]) -> None:
        partitions = Partitions(self)
        responses: list[CallerResponse] = []
        trio.run(_run, partitions, cut, vms, responses)
        self.assertEqual([200] * len(responses), [response.status for response in responses])
        self.assertTrue(all(response.complete for response in responses))


async def _run(
    partitions: Partitions, cut: Cut, vms: list[str], responses: list[CallerResponse]
) -> None:
    """Cuts VMs off and collects the responses to requests sent to them after the detection time."""
    engines = [ScriptedServer(server(n, port=0), complete_stream) for n in range(4)]
    offices = [ScriptedServer(server(10 + n, "office", 0), plain_success) for n in range(3)]
    with trio.fail_after(TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            for item in (*engines, *offices):
                await nursery.start(item.run)
            fleet = RelayFleet(nursery, [*engines, *offices])
            relays = [await partitions.start(fleet, f"vm-{n + 1}") for n in range(VM_COUNT)]
            while any(relay.leader != "vm-1" for relay in relays):
                await trio.sleep(0.01)
            affected = [relay for relay in relays if relay.process._settings.vm in vms]
            await _send_for(1.0, affected, [])
            for vm in vms:
                partitions.cut(vm, cut)
            await _send_for(DETECTION_TIME, affected, [])
            await _send_for(2.0, affected, responses)
            nursery.cancel_scope.cancel()


async def _send_for(
    seconds: float, relays: list[RelayHarness], responses: list[CallerResponse]
) -> None:
    """Sends requests of all kinds for some seconds, and waits for their responses."""
    ends_at = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < ends_at:
            for relay in relays:
                for path in PATHS:
                    number += 1
                    nursery.start_soon(_send, relay, path, f"a{number}", responses)
            await trio.sleep(REQUEST_INTERVAL)


async def _send(
    relay: RelayHarness, path: str, attempt: str, responses: list[CallerResponse]
) -> None:
    responses.append(await relay.send_request(path, attempt, x_patience="2"))
