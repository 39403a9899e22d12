"""Tests of servers that send a second copy of a response late, when its connection is in use again.

The copy arrives after the next request was sent, so it is not found on the idle connection.
"""

import json

import pytest
import testtools
import trio

from camphordrift.relay.connections import BrokenAnswerError, SmallRequest
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    plain_response,
    plain_success,
    run_scenario,
)
from camphordrift.relay.tests.samples import ScriptedServer, server, server_calls
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets


def _without_id(response: bytes) -> bytes:
    head, _, body = response.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"x-attempt")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class _CopyingServer:
    """Answers each request on a reused connection with a copy of another response first."""

    def __init__(self, copy: bytes) -> None:
        self._copy = copy
        self._connections: set[trio.SocketStream] = set()

    async def __call__(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if stream in self._connections:
            await stream.send_all(self._copy)
        self._connections.add(stream)
        if request.target.startswith("/quick/"):
            return await complete_stream(request, stream)
        return await plain_success(request, stream)


#: Makes the server answer as to a request of a caller.
_OTHER_ID = [(b"x-attempt", b"other")]

_OTHER = HttpRequest("POST", "/look/x", {"x-attempt": "other"}, b"")

#: Rejection of another request.
REJECTION = plain_response(_OTHER, "503 Service Unavailable", b"").replace(
    b"\r\n", b"\r\nx-not-run: 1\r\n", 1
)


class CallerResponseTest(testtools.TestCase):
    def test_a_copy_that_names_its_request(self) -> None:
        self._check(plain_response(_OTHER, body=b"of another caller"))

    def test_a_failure_that_names_no_request(self) -> None:
        self._check(_without_id(plain_response(_OTHER, "404 Not Found", b"of another caller")))

    def test_a_rejection_that_names_no_request(self) -> None:
        """Guards against "not run" for a request that the server runs after the copy."""
        self._check_outcome_is_unknown(_without_id(REJECTION), "/look/x", "office")

    def test_a_rejection_that_names_no_request_for_a_stream(self) -> None:
        self._check_outcome_is_unknown(_without_id(REJECTION), "/quick/x", "engines")

    def _check_outcome_is_unknown(self, copy: bytes, path: str, service: str) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            first = await relay.send_request(path, "a0")
            self.assertEqual(200, first.status)
            second = await relay.send_request(path, "a1")
            self.assertEqual(2, len(servers[0].requests))
            self.assertEqual(502, second.status)
            error = json.loads(second.body)["error"]
            self.assertNotEqual("not_run", error["run_state"])

        run_scenario(scenario, _CopyingServer(copy), service=service)

    def test_a_rejection_of_an_earlier_attempt_of_the_same_request(self) -> None:
        """Guards against a request that is sent again although its second attempt runs.

        Without one of its helpers, it is sent to the same engine again.
        """
        primaries: list[str] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            connections: set[trio.SocketStream] = set()

            async def blames_then_copies(request: HttpRequest, stream: trio.SocketStream) -> bool:
                primaries.append(request.headers["x-server"])
                helper = next(s.entry for s in servers if s.entry.id != primaries[0])
                rejection = plain_response(request, "503 Service Unavailable", b"").replace(
                    b"\r\n", f"\r\nx-not-run: 1\r\nx-at-fault: {helper.address}\r\n".encode(), 1
                )
                if len(primaries) == 1 or stream in connections:
                    await stream.send_all(rejection)
                connections.add(stream)
                return len(primaries) == 1 or await complete_stream(request, stream)

            for item in servers:
                item.script = blames_then_copies
            response = await relay.send_request("/quick/x", x_tokens="154000")
            self.assertEqual(200, response.status)
            self.assertEqual([primaries[0]] * 2, primaries)

        run_scenario(scenario, *[complete_stream] * 8)

    def _check(self, copy: bytes) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for number in range(4):
                response = await relay.send_request("/look/x", f"a{number}")
                self.assertEqual((200, b"done"), (response.status, response.body))

        run_scenario(scenario, _CopyingServer(copy), plain_success, service="office")


class OrderResponseTest(testtools.TestCase):
    def test_a_response_to_a_request_of_a_caller_is_none_to_an_order(self) -> None:
        async def main() -> None:
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    scripted = ScriptedServer(server(1, port=0), plain_success)
                    await nursery.start(scripted.run)
                    order = SmallRequest(b"GET", b"/order", [(b"host", b"x"), *_OTHER_ID])
                    with testtools.ExpectedException(BrokenAnswerError):
                        await server_calls().call(scripted.entry, order, "order", 1.0)
                    nursery.cancel_scope.cancel()

        trio.run(main)
