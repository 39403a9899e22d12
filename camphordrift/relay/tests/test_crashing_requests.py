"""End-to-end tests of whole requests on which servers crash, whatever their service."""

import json

import pytest
import testtools
import trio

from camphordrift.relay.tests.crashing_servers import LAST_EVENT, CrashingServers
from camphordrift.relay.tests.relay_harness import (
    TEST_TIMEOUT,
    CallerResponse,
    RelayFleet,
    RelayHarness,
)
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Crashes after which the VMs have to know a request, and how often it may be sent after that.
KNOWN_AFTER, PERMITTED_LATER = 3, 3

#: Number of VMs, and of times that the request comes, each time at another VM.
VM_COUNT, ARRIVALS = 3, 15

#: Seconds between two arrivals of the request.
ARRIVAL_INTERVAL = 0.15

#: Number of servers of the service.
SERVER_COUNT = 4

#: Body of the request on which servers crash.
CRASHING_BODY = b"crashes servers"


def _is_crashing(request: HttpRequest) -> bool:
    return request.body == CRASHING_BODY


class CrashingRequestTest(testtools.TestCase):
    """Guards against one request that comes again and crashes server after server.

    On inc1 of bazarnik-prod, a request to a plain service crashed 14 servers, and one to engines,
    which shared its prompt with sound requests, crashed 22.
    """

    def test_a_repeatable_request_to_a_plain_service(self) -> None:
        self._check_is_stopped("office", "/look/x")

    def test_a_request_to_a_plain_service_that_must_run_once(self) -> None:
        self._check_is_stopped("office", "/book/x")

    def test_a_stream_whose_prompt_other_requests_share(self) -> None:
        self._check_is_stopped("engines", "/quick/x")

    def test_a_stream_that_crashes_engines_after_some_events(self) -> None:
        """On review/2, it crashed 70 engines after four events each."""
        self._check_is_stopped("engines", "/quick/x", crash_after=3)

    def test_a_stream_that_crashes_engines_before_its_last_event(self) -> None:
        """A resumed stream is complete before its engine crashes, and proves nothing."""
        self._check_is_stopped("engines", "/quick/x", crash_after=LAST_EVENT - 1)

    def _check_is_stopped(self, service: str, path: str, crash_after: int = 0) -> None:
        servers = CrashingServers(SERVER_COUNT, service, _is_crashing, crash_after)
        crashing: list[CallerResponse] = []
        sound: list[CallerResponse] = []
        trio.run(_send_requests, servers, path, crashing, sound)
        self.assertTrue(
            servers.crashing_requests <= KNOWN_AFTER + PERMITTED_LATER, servers.crashing_requests
        )
        self.assertEqual([503] * VM_COUNT, [response.status for response in crashing[-VM_COUNT:]])
        error = json.loads(crashing[-1].body)["error"]
        self.assertEqual((2013, "not_run"), (error["code"], error["run_state"]))
        self.assertEqual(200, sound[-1].status)


async def _send_requests(
    servers: CrashingServers,
    path: str,
    crashing: list[CallerResponse],
    sound: list[CallerResponse],
) -> None:
    """Sends the crashing request to one VM after the other, and a sound one after each."""
    with trio.fail_after(TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            for item in servers.scripted:
                await nursery.start(item.run)
            relays = await RelayFleet(nursery, servers.scripted).start_all(VM_COUNT)
            servers.set_relay(relays[0])
            sound.append(await _send(relays[0], path, "first", b"sound"))
            for number in range(ARRIVALS):
                relay = relays[number % VM_COUNT]
                crashing.append(await _send(relay, path, f"c{number}", CRASHING_BODY))
                sound.append(await _send(relay, path, f"s{number}", b"sound %d" % number))
                await trio.sleep(ARRIVAL_INTERVAL)
            nursery.cancel_scope.cancel()


async def _send(relay: RelayHarness, path: str, attempt: str, body: bytes) -> CallerResponse:
    return await relay.send_request(path, attempt, body, x_parts="shared", x_patience="1")
