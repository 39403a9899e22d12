"""Tests of callers' connections on which a write was cancelled."""

import re
from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio

from camphordrift.relay import BackendServer
from camphordrift.relay.connections._http_server import (
    CallerConnection,
    CallerGoneError,
    CallerRequest,
    ResponseWriter,
)
from camphordrift.relay.model import CallerLimits
from camphordrift.relay.requests._server_calls import ServerCalls
from camphordrift.relay.tests.relay_harness import (
    TEST_TIMEOUT,
    RelayHarness,
    chunk,
    request_bytes,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import SampleOrders, ScriptedServer
from camphordrift.testing import HttpRequest, process_loopback_network

pytestmark = pytest.mark.sockets

#: Size in bytes of data that does not fit into the buffers of a connection.
UNREAD_BYTES = 32 << 20

#: Seconds after which a write that is in progress waits for the caller.
BLOCKED_AFTER = 0.2

#: Bytes of an event, and their number, which do not fit into the buffers of a connection either.
EVENT_BYTES = 60_000
EVENT_COUNT = 500

#: Tokens of a prompt that needs the memory of several engines.
LONG_PROMPT = 320_000


async def read_until_reset(stream: trio.SocketStream) -> tuple[bytes, bool]:
    """Returns what arrives, and whether a reset ends it."""
    received = bytearray()
    try:
        while data := await stream.receive_some(1 << 20):
            received += data
    except trio.BrokenResourceError:
        return bytes(received), True
    return bytes(received), False


class CallerConnectionTest(testtools.TestCase):
    """Guards against bytes that follow the beginning of what was to be written before."""

    def check(self, write_first: Callable[[ResponseWriter], Awaitable[None]]) -> None:
        refused: list[CallerGoneError] = []

        async def main() -> tuple[bytes, bool]:
            async def handle(request: CallerRequest, response: ResponseWriter) -> None:
                with trio.move_on_after(BLOCKED_AFTER):
                    await write_first(response)
                try:
                    await connection.write(b"later")
                except CallerGoneError as error:
                    refused.append(error)

            (listener,) = await trio.open_tcp_listeners(0, host=f"{process_loopback_network()}.1")
            caller = await trio.open_tcp_stream(*listener.socket.getsockname())
            async with listener, caller:
                connection = CallerConnection(
                    await listener.accept(), CallerLimits, handle, lambda: False
                )
                await caller.send_all(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n")
                with trio.fail_after(TEST_TIMEOUT):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(connection.serve)
                        # On a connection that is written to again, a write may wait for the caller.
                        await trio.sleep(2 * BLOCKED_AFTER)
                        return await read_until_reset(caller)

        received, is_reset = trio.run(main)
        self.assertFalse(b"later" in received)
        self.assertEqual((1, True), (len(refused), is_reset))

    def test_part_of_a_body(self) -> None:
        async def write(response: ResponseWriter) -> None:
            await response.start(200, [])
            await response.write(bytes(UNREAD_BYTES))

        self.check(write)

    def test_complete_response(self) -> None:
        """Its last bytes are encoded before they are written."""

        async def write(response: ResponseWriter) -> None:
            await response.send_complete(200, [], bytes(UNREAD_BYTES))

        self.check(write)


class LostEngineTest(testtools.TestCase):
    """Guards against a stream that is resumed in the middle of an event.

    The memory of a long prompt is reserved. Its reservations cancel the attempt when the primary
    engine is gone, while the caller reads nothing.
    """

    def test_a_stream_is_not_resumed_after_a_part_of_an_event(self) -> None:
        writes_since: list[float] = []
        is_gone = trio.Event()
        write = CallerConnection.write

        async def record_write(connection: CallerConnection, data: bytes) -> None:
            writes_since.append(trio.current_time())
            try:
                await write(connection, data)
            finally:
                writes_since.clear()

        async def check_connection(calls: ServerCalls, server: BackendServer) -> None:
            await trio.lowlevel.checkpoint()
            if is_gone.is_set() or not writes_since:
                return
            if trio.current_time() > writes_since[0] + BLOCKED_AFTER:
                is_gone.set()
                raise ConnectionRefusedError("the engine is gone")

        self.patch(CallerConnection, "write", record_write)
        self.patch(ServerCalls, "check_connection", check_connection)
        requests: list[HttpRequest] = []

        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.target.encode() == SampleOrders.path:
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                return True
            requests.append(request)
            await stream.send_all(stream_head(request))
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, EVENT_COUNT + 1):
                await stream.send_all(chunk(long_event(number)))
            await stream.send_all(b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            caller = await relay.connect()
            await caller.send_all(
                request_bytes("/quick/x", x_tokens=str(LONG_PROMPT), connection="close")
            )
            await is_gone.wait()
            received, is_reset = await read_until_reset(caller)
            _, _, body = received.partition(b"\r\n\r\n")
            body = re.sub(rb"\r\n[0-9a-f]+\r\n", b"", b"\r\n" + body)
            events = b"".join(map(long_event, range(1, EVENT_COUNT + 1)))
            self.assertTrue(events.startswith(body.rstrip(b"\r\n0123456789abcdef")))
            self.assertEqual((1, True), (len(requests), is_reset))

        run_scenario(scenario, *[respond] * 3)


def long_event(number: int) -> bytes:
    """Returns an event that is longer than an engine's."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
