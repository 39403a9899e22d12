"""End-to-end tests of servers that live and give bad responses, beside those that crash."""

from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio

from camphordrift.relay.crashes._crash_analysis import SAME_CAUSE_SECONDS
from camphordrift.relay.crashes._trait_quarantine import EVIDENCE_DELAY
from camphordrift.relay.requests._crash_checks import OPEN_TIME
from camphordrift.relay.tests.relay_harness import (
    TEST_TIMEOUT,
    CallerResponse,
    RelayHarness,
    chunk,
    complete_stream,
    events,
    open_relay,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer, server
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Servers of the tests, and requests that come while they are faulty, one after the other.
SERVER_COUNT, FAULTY_REQUESTS = 8, 10

#: Sends a bad response; the connection is closed after it.
Respond = Callable[[HttpRequest, trio.SocketStream], Awaitable[None]]


class SoundPartTest(testtools.TestCase):
    """Guards against sound parts of prompts that are refused because of faulty servers.

    In the soak's seed 910045, three engines truncated streams with the part before any response on
    it was complete, and requests with it were refused for the rest of the run.
    """

    def test_a_part_whose_streams_were_truncated_is_served(self) -> None:
        self._check_is_served(_truncate)

    def test_a_part_whose_streams_ended_inside_an_event_is_served(self) -> None:
        self._check_is_served(_end_inside_event)

    def test_a_part_on_which_servers_sent_no_http_is_served(self) -> None:
        self._check_is_served(_send_garbage)

    def test_a_part_on_which_servers_sent_nothing_is_served(self) -> None:
        async def send_nothing(request: HttpRequest, stream: trio.SocketStream) -> None:
            await trio.sleep(0)

        self._check_is_served(send_nothing)

    def _check_is_served(self, respond: Respond) -> None:
        faulty = [True]
        responses: list[CallerResponse] = []

        async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if not faulty[0]:
                return await complete_stream(request, stream)
            await respond(request, stream)
            return False

        async def main() -> None:
            servers = [
                ScriptedServer(server(number, "engines", port=0), script)
                for number in range(SERVER_COUNT)
            ]
            async with open_relay(servers) as relay:
                for number in range(FAULTY_REQUESTS):
                    await _send(relay, f"f{number}")
                    await trio.sleep(2 * SAME_CAUSE_SECONDS)
                await trio.sleep(EVIDENCE_DELAY + 2 * OPEN_TIME)
                faulty[0] = False
                responses.append(await _send(relay, "sound"))

        trio.run(main)
        self.assertEqual((200, True), (responses[0].status, responses[0].complete))


class LastResponseTest(testtools.TestCase):
    """What a server sent last, before it refuses connections, shows whether it crashed on it."""

    def test_a_truncated_stream_accuses_its_parts(self) -> None:
        self._check_accused(_truncate, True)

    def test_a_stream_that_ended_inside_an_event_accuses_nothing(self) -> None:
        self._check_accused(_end_inside_event, False)

    def test_bytes_that_are_no_http_accuse_nothing(self) -> None:
        self._check_accused(_send_garbage, False)

    def _check_accused(self, respond: Respond, expected: bool) -> None:
        engines: list[ScriptedServer] = []

        async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await respond(request, stream)
            engines[0].refuse_connections(TEST_TIMEOUT, lambda: None)
            return False

        async def main() -> None:
            engines.append(ScriptedServer(server(0, "engines", port=0), script))
            async with open_relay(engines) as relay:
                await relay.send_request("/quick/x", x_parts="shared", x_patience="1")
                await trio.sleep(2 * OPEN_TIME)
                self.assertEqual(expected, relay.process._crashes.is_suspect(("shared",)))

        trio.run(main)


async def _truncate(request: HttpRequest, stream: trio.SocketStream) -> None:
    await stream.send_all(stream_head(request) + chunk(events(1, 2)))


async def _end_inside_event(request: HttpRequest, stream: trio.SocketStream) -> None:
    await stream.send_all(stream_head(request) + chunk(events(1, 2) + b"id: 3\ndat") + b"0\r\n\r\n")


async def _send_garbage(request: HttpRequest, stream: trio.SocketStream) -> None:
    await stream.send_all(b"\x16\x03\x01garbage\r\n\r\n")


async def _send(relay: RelayHarness, attempt: str) -> CallerResponse:
    return await relay.send_request("/quick/x", attempt, attempt.encode(), x_parts="shared")
