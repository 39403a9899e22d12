"""Tests of servers that send bytes without end, until the relay closes the connection."""

import tracemalloc
from collections.abc import Iterator

import pytest
import testtools
import trio

from camphordrift.relay.connections import BrokenAnswerError, HttpConnection, SmallRequest
from camphordrift.relay.model import Headers
from camphordrift.relay.peers._peer_messages import ConnectionEnd
from camphordrift.relay.tests.cut_responses import CutStream
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    complete_stream,
    events,
    open_relay,
    plain_response,
    plain_success,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer, attempt_id_of, server
from camphordrift.testing import HttpRequest, HttpRequestHandler, handle_requests

pytestmark = pytest.mark.sockets

#: Bytes that a server sends at once.
BLOCK = b"x" * 65536

#: Bytes that the relay may allocate for one endless response.
MAX_MEMORY = 24 << 20

#: Bytes after which a server gives up. They arrive well before the deadline of a request.
GIVE_UP = 96 << 20


class EndlessServer:
    """A script that sends blocks after a beginning, and records whether the relay closed."""

    def __init__(self, beginning: bytes, block: bytes, signed: bool = True) -> None:
        self._beginning, self._block, self._signed = beginning, block, signed
        self.was_closed = False

    async def respond(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        """Sends bytes until the relay closes the connection."""
        try:
            await stream.send_all(self._beginning.replace(b"ID", attempt_id_of(request).encode()))
            for _ in self._blocks():
                await stream.send_all(self._block)
        except trio.BrokenResourceError:
            self.was_closed = True
        return False

    def _blocks(self) -> Iterator[None]:
        for _ in range(GIVE_UP // len(self._block)):
            yield


#: Head of a response with a body of any length.
UNFRAMED = b"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: ID\r\n\r\n"

#: The same in chunks.
CHUNKED = UNFRAMED.replace(b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n")


class EndlessResponseTest(testtools.TestCase):
    def check(self, path: str, service: str, endless: EndlessServer, status: int = 502) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            tracemalloc.start()
            try:
                response = await relay.send_request(path)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            # The only server failed, so the outcome is unknown, and the caller is told so.
            self.assertEqual((status, True), (response.status, response.complete))
            self.assertLess(peak, MAX_MEMORY)
            with trio.fail_after(5):
                while not endless.was_closed:
                    await trio.sleep(0.01)

        run_scenario(scenario, endless.respond, service=service)

    def test_head(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nx-endless: "
        self.check("/book/x", "office", EndlessServer(head, BLOCK))
        self.check("/quick/x", "engines", EndlessServer(head, BLOCK))

    def test_bytes_that_are_no_response(self) -> None:
        self.check("/book/x", "office", EndlessServer(b"", BLOCK))

    def test_informational_responses(self) -> None:
        block = b"HTTP/1.1 102 Processing\r\n\r\n" * 100
        self.check("/book/x", "office", EndlessServer(b"", block))
        self.check("/quick/x", "engines", EndlessServer(b"", block))

    def test_body(self) -> None:
        self.check("/book/x", "office", EndlessServer(UNFRAMED, BLOCK))
        self.check("/book/x", "office", EndlessServer(CHUNKED, chunk(BLOCK)))

    def test_event(self) -> None:
        self.check("/quick/x", "engines", EndlessServer(UNFRAMED, BLOCK))
        self.check("/quick/x", "engines", EndlessServer(CHUNKED, chunk(BLOCK)))

    def test_chunk_header(self) -> None:
        self.check("/quick/x", "engines", EndlessServer(CHUNKED + b"5;", BLOCK))

    def test_trailers(self) -> None:
        beginning = CHUNKED + chunk(b"body") + b"0\r\nx-endless: "
        self.check("/book/x", "office", EndlessServer(beginning, BLOCK))
        block = b"x-endless: 1\r\n" * 4000
        self.check("/book/x", "office", EndlessServer(beginning + b"1\r\n", block))

    def test_lengths_that_no_body_has(self) -> None:
        for length in (b"9" * 19, b"9" * 30, b"9" * 5000):
            head = UNFRAMED.replace(b"\r\n\r\n", b"\r\ncontent-length: " + length + b"\r\n\r\n")
            self.check("/book/x", "office", EndlessServer(head, BLOCK))
            self.check("/quick/x", "engines", EndlessServer(head, BLOCK))

    def test_sizes_that_no_chunk_has(self) -> None:
        for size in (b"f" * 16, b"f" * 20, b"f" * 5000):
            beginning = CHUNKED + size + b"\r\n"
            self.check("/book/x", "office", EndlessServer(beginning, BLOCK))
            self.check("/quick/x", "engines", EndlessServer(beginning, BLOCK))

    def test_small_chunks_with_extensions(self) -> None:
        block = (b"1;" + b"e" * 1000 + b"\r\nx\r\n") * 60
        # They are read slowly, until the deadline.
        self.check("/book/x", "office", EndlessServer(CHUNKED, block), status=504)


class OtherProtocolTest(testtools.TestCase):
    """Guards against bytes of another protocol that are kept without a limit."""

    def check(self, method: bytes, headers: Headers, head: bytes) -> None:
        """Checks that a connection is given up on which the server switches the protocol."""
        blocks = [head, *[BLOCK] * 100]
        stream = CutStream(blocks, ConnectionEnd.CLOSED)
        request = SmallRequest(method, b"/book/x", [(b"host", b"a"), *headers])

        async def main() -> None:
            connection = HttpConnection(stream)
            with trio.fail_after(5), testtools.ExpectedException(BrokenAnswerError):
                await connection.exchange(request)
            self.assertFalse(connection.reusable)

        trio.run(main)
        self.assertGreater(len(stream.pieces), 95)

    def test_upgrade(self) -> None:
        headers = [(b"connection", b"upgrade"), (b"upgrade", b"x")]
        head = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"
        self.check(b"GET", headers, head)

    def test_upgrade_that_was_not_requested(self) -> None:
        self.check(b"GET", [], b"HTTP/1.1 101 Switching Protocols\r\n\r\n")

    def test_connect(self) -> None:
        self.check(b"CONNECT", [], UNFRAMED)


class AfterResponseTest(testtools.TestCase):
    def test_bytes_after_a_response(self) -> None:
        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            endless = EndlessServer(plain_response(request), BLOCK)
            closed.append(endless)
            return await endless.respond(request, stream)

        closed: list[EndlessServer] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for attempt in ("a1", "a2"):
                response = await relay.send_request("/book/x", attempt)
                self.assertEqual((200, b"done"), (response.status, response.body))
            with trio.fail_after(5):
                while not all(item.was_closed for item in closed):
                    await trio.sleep(0.01)

        run_scenario(scenario, answer, service="office")

    def test_events_after_the_end_of_a_stream(self) -> None:
        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            body = chunk(events(1, 5)) + b"0\r\n\r\n"
            return await EndlessServer(stream_head(request) + body, BLOCK).respond(request, stream)

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((events(1, 5), True), (response.body, response.complete))

        run_scenario(scenario, answer)


class OwnRequestTest(testtools.TestCase):
    def check(self, target: str, script: HttpRequestHandler, tokens: str) -> None:
        peaks: list[int] = []

        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.target == target:
                return await EndlessServer(UNFRAMED, BLOCK).respond(request, stream)
            return await script(request, stream)

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            tracemalloc.start()
            try:
                response = await relay.send_request("/quick/x", x_tokens=tokens)
                peaks.append(tracemalloc.get_traced_memory()[1])
            finally:
                tracemalloc.stop()
            self.assertEqual(503, response.status)

        run_scenario(scenario, answer, answer)
        self.assertLess(peaks[0], 16 << 20)

    def test_response_to_an_order(self) -> None:
        self.check("/order", complete_stream, "400000")


class EndlessReports(ScriptedServer):
    """An engine whose reports have no end."""

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        await handle_requests(stream, EndlessServer(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK).respond)


class ManyReportsTest(testtools.TestCase):
    def test_reports_of_many_engines(self) -> None:
        async def main() -> None:
            servers = [EndlessReports(server(n, port=0), complete_stream) for n in range(40)]
            tracemalloc.start()
            try:
                async with open_relay(servers):
                    while not all(item.connections for item in servers):
                        await trio.sleep(0.01)
                    peaks.append(tracemalloc.get_traced_memory()[1])
            finally:
                tracemalloc.stop()

        peaks: list[int] = []
        trio.run(main)
        self.assertLess(peaks[0], MAX_MEMORY)


class ReadinessTest(testtools.TestCase):
    def test_endless_readiness_request(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            port = relay.process._settings.readiness.port
            stream = await trio.open_tcp_stream(relay.host, port)
            with trio.fail_after(1.0), testtools.ExpectedException(trio.BrokenResourceError):
                await stream.send_all(b"GET / HTTP/1.1\r\nx-endless: ")
                while True:
                    await stream.send_all(BLOCK)

        run_scenario(scenario, plain_success, service="office")
