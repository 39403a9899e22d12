"""Tests of calls to plain services whose servers send broken responses."""

import random
from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio
from returns.pipeline import is_successful

from camphordrift.backend_http import HttpConnections
from camphordrift.calls import (
    DispatchReply,
    DispatchUnanswered,
    Repeatability,
    RepeatableSendGate,
    ServiceCall,
)
from camphordrift.gateway._at_most_once import AtMostOnceSender
from camphordrift.gateway._server_selector import ServerSelector
from camphordrift.gateway._service_calls import ServiceCaller, ServiceRequest
from camphordrift.identifiers import AccountId, BackendServerId, RequestId, ServiceName
from camphordrift.testing import (
    UNBUFFERED_BODY,
    ConnectionScript,
    EarlyReset,
    Malform,
    heads_with_invalid_names,
    heads_with_invalid_status,
    process_loopback_network,
    respond_with,
)

pytestmark = pytest.mark.sockets

TIMEOUT = 5.0

BROKEN, SOUND = BackendServerId("broken"), BackendServerId("sound")

REQUEST = ServiceRequest(
    RequestId("r"), ServiceName("office"), "POST", "/book", {}, UNBUFFERED_BODY
)

CALL = ServiceCall(
    account_id=AccountId("school"),
    service=REQUEST.service,
    method=REQUEST.method,
    path=REQUEST.target,
    body=REQUEST.body,
    content_type="text/plain",
    key=None,
    repeatability=Repeatability.ONCE_WITHOUT_KEY,
    remaining_seconds=TIMEOUT,
)

Client = Callable[[HttpConnections, ServerSelector], Awaitable[None]]

RESET = EarlyReset(b"HTTP/1.1 200 OK\r\n\r\npart")

#: Heads of responses whose body is ``whole``.
HEADS = (
    b"HTTP/1.1 200 OK\r\nx-other: 1\r\ncontent-length: 5\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nx-other: 1\r\ncontent-length: 5\r\n\r\n",
)


def run_client(script: ConnectionScript, client: Client) -> None:
    """Runs a client of a server with a script and of one that responds completely."""

    async def main() -> None:
        addresses: dict[BackendServerId, str] = {}
        async with trio.open_nursery() as nursery:
            for server_id, serve in ((BROKEN, script), (SOUND, respond_with(HEADS[0] + b"whole"))):
                host = f"{process_loopback_network()}.73"
                listeners = await trio.open_tcp_listeners(0, host=host)
                addresses[server_id] = f"http://{host}:{listeners[0].socket.getsockname()[1]}"
                nursery.start_soon(trio.serve_listeners, serve, listeners)
            connections = HttpConnections()
            selector = ServerSelector(addresses.get, lambda server_id: True, random.Random(1))
            with trio.fail_after(2 * TIMEOUT):
                await client(connections, selector)
            await connections.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


def dispatch(script: ConnectionScript) -> DispatchReply:
    """Returns what becomes of a call that runs at most once."""
    replies: list[DispatchReply] = []

    async def client(connections: HttpConnections, selector: ServerSelector) -> None:
        sender = AtMostOnceSender(connections, selector, REQUEST, (BROKEN,))
        replies.append(await sender.dispatch(CALL, RepeatableSendGate()))

    run_client(script, client)
    return replies[0]


def call_until_broken(script: ConnectionScript) -> list[bytes]:
    """Returns the bodies that a caller gets up to the first call that the broken server got."""
    contacted = trio.Event()
    bodies: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        contacted.set()
        await script(stream)

    async def client(connections: HttpConnections, selector: ServerSelector) -> None:
        caller = ServiceCaller(connections, selector, random.Random(1))
        while not contacted.is_set():
            outcome = await caller.call(REQUEST, (BROKEN, SOUND), TIMEOUT)
            bodies.append(outcome.unwrap().body if is_successful(outcome) else b"failure")

    run_client(serve, client)
    return bodies


class EarlyResetTest(testtools.TestCase):
    """Tests of a server that resets its response while the request is being written."""

    def test_the_outcome_of_a_call_that_runs_once_is_unknown(self) -> None:
        self.assertIsInstance(dispatch(RESET), DispatchUnanswered)

    def test_a_repeatable_call_gets_the_response_of_another_server(self) -> None:
        self.assertEqual({b"whole"}, set(call_until_broken(RESET)))


class MalformedHeadTest(testtools.TestCase):
    """Tests of a server whose response has a head that is not valid HTTP."""

    def check(self, malform: Malform) -> None:
        """Checks calls that run once and calls that may be repeated."""
        for head in HEADS:
            for malformed in malform(head):
                self.assertIsInstance(
                    dispatch(respond_with(malformed + b"whole")), DispatchUnanswered
                )
                bodies = call_until_broken(respond_with(malformed + b"whole"))
                self.assertEqual({b"whole"}, set(bodies), f"{malformed!r}")

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)
