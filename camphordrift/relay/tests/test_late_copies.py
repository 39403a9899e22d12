"""Tests of servers that send a second copy of a response late, when its connection is in use again.

The copy arrives after the next request was sent, so it is not found on the idle connection.
"""

import pytest
import testtools
import trio

from camphordrift.relay.connections import BrokenAnswerError, SmallRequest
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
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
        return await plain_success(request, stream)


#: Makes the server answer as to a request of a caller.
_OTHER_ID = [(b"x-attempt", b"other")]

_OTHER = HttpRequest("POST", "/look/x", {"x-attempt": "other"}, b"")


class CallerResponseTest(testtools.TestCase):
    def test_a_copy_that_names_its_request(self) -> None:
        self._check(plain_response(_OTHER, body=b"of another caller"))

    def test_a_failure_that_names_no_request(self) -> None:
        self._check(_without_id(plain_response(_OTHER, "404 Not Found", b"of another caller")))

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
