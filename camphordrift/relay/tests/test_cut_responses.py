"""Tests of servers that end the connection at any byte of their response.

Guards against a truncated response that callers get as a complete one.
"""

from collections.abc import Iterator
from dataclasses import replace
from itertools import product
from typing import Optional

import pytest
import testtools
import trio

from camphordrift.relay.connections import BrokenAnswerError, ByteStream, ConnectionPool
from camphordrift.relay.connections._byte_stream import abort
from camphordrift.relay.connections._http_client import HttpConnection, SmallRequest
from camphordrift.relay.peers._peer_messages import ConnectionEnd
from camphordrift.relay.peers._tunnels import open_tunnel
from camphordrift.relay.requests._attempt import Answered, AttemptResult, Broken, Rejected, Streamed
from camphordrift.relay.tests.cut_responses import (
    ENDS,
    CutStream,
    RecordingSink,
    SampleResponse,
    received_content,
    run_attempt,
    run_attempt_on,
    stream_opener,
)
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    complete_stream,
    events,
    open_relay,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    ONCE,
    STREAM,
    ScriptedServer,
    attempt_id_of,
    server,
)
from camphordrift.relay.tests.test_tunnels import TIMEOUT, Network, run
from camphordrift.testing import HttpRequest

#: Seconds after which some hundred exchanges count as hanging.
HANG_TIMEOUT = 120.0

pytestmark = pytest.mark.sockets

STATUSES = (b"200 OK", b"404 Not Found", b"500 Oops", b"503 Busy")

INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"


def _head(status: bytes, framing: bytes) -> bytes:
    signed = b"x-signature: 3e1b\r\nx-attempt: a1\r\ncontent-type: text/event-stream\r\n"
    return b"HTTP/1.1 " + status + b"\r\n" + signed + framing + b"\r\n"


def _responses(status: bytes, content: bytes) -> Iterator[SampleResponse]:
    """Yields a response in all framings."""
    middle = len(content) // 2
    chunks = chunk(content[:middle]) + chunk(content[middle:])
    with_length = _head(status, b"content-length: %d\r\n" % len(content))
    in_chunks = _head(status, b"transfer-encoding: chunked\r\n")
    yield SampleResponse("length", with_length, content, content)
    yield SampleResponse("empty", _head(status, b"content-length: 0\r\n"), b"", b"")
    yield SampleResponse("chunks", in_chunks, chunks + b"0\r\n\r\n", content)
    extended = chunks.replace(b"\r\n", b";x=y\r\n", 1) + b"0\r\nx-sum: 1\r\nx-more: 2\r\n\r\n"
    yield SampleResponse("trailers", in_chunks, extended, content)
    yield SampleResponse("unframed", _head(status, b""), content, content, is_framed=False)
    yield SampleResponse("informational", INFORMATIONAL + with_length, content, content)
    bare = with_length.replace(b"\r\n", b"\n")
    yield SampleResponse("bare line feeds", bare, content, content)


PLAIN = [item for status in STATUSES for item in _responses(status, b"0123456789" * 4)]

STREAMS = list(_responses(b"200 OK", events(1, 5)))

WITH_LENGTH, _, IN_CHUNKS, _, UNFRAMED, _, _ = STREAMS

NOT_RUN = SampleResponse(
    "rejection",
    b"HTTP/1.1 503 Busy\r\nx-attempt: a1\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\n",
    b"full",
    b"full",
)


class AttemptTest(testtools.TestCase):
    def check(
        self,
        response: SampleResponse,
        result: AttemptResult,
        cut: int,
        end: ConnectionEnd,
        sink: Optional[RecordingSink],
    ) -> None:
        """Checks what becomes of a response that was cut."""
        what = f"{response.data!r} cut at {cut}, {end}: {result}"
        complete = response.may_look_complete(cut, end, sink is not None)
        content = received_content(result, sink)
        self.assertTrue(response.content.startswith(content), what)
        if sink is not None:
            self.assertEqual(complete, sink.has_ended, what)
            self.assertTrue(content.endswith(b"\n\n") or not content, what)
        self.assertIsInstance(result, (Answered, Streamed) if complete else Broken, what)
        if complete and response.is_framed:
            self.assertEqual(response.content, content, what)

    async def cut_everywhere(self, response: SampleResponse, is_stream: bool) -> None:
        """Cuts a response at each byte; what was sent arrives at once, or in two pieces."""
        data = response.data
        for cut, end in product(range(len(data) + 1), ENDS):
            for split in sorted({0, max(0, cut - 1)}):
                sink = RecordingSink() if is_stream else None
                stream = CutStream([data[:split], data[split:cut]], end)
                result = await run_attempt(stream_opener(stream), sink)
                self.check(response, result, cut, end, sink)

    def test_plain_responses(self) -> None:
        async def main() -> None:
            for response in PLAIN:
                await self.cut_everywhere(response, is_stream=False)

        trio.run(main)

    def test_streams(self) -> None:
        async def main() -> None:
            for response in STREAMS:
                await self.cut_everywhere(response, is_stream=True)

        trio.run(main)

    def test_rejections(self) -> None:
        """A head that was cut promises nothing."""

        async def main() -> None:
            for cut, end in product(range(len(NOT_RUN.data) + 1), ENDS):
                stream = CutStream([NOT_RUN.data[:cut]], end)
                result = await run_attempt(stream_opener(stream), None)
                expected = Rejected if cut == len(NOT_RUN.data) else Broken
                self.assertIsInstance(result, expected, f"cut at {cut}, {end}")

        trio.run(main)

    def test_through_another_vm(self) -> None:
        async def cuts(stream: trio.SocketStream) -> None:
            await stream.send_all(server_data[0])
            await _end(stream, server_end[0])

        server_data, server_end = [b""], [ConnectionEnd.CLOSED]

        async def scenario(network: Network) -> None:
            async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
                return await open_tunnel(network.vm, network.server, TIMEOUT)

            for response in (IN_CHUNKS, UNFRAMED):
                for cut, server_end[0] in product(range(len(response.data) + 1), ENDS):
                    server_data[0] = response.data[:cut]
                    sink = RecordingSink()
                    result = await run_attempt(open_stream, sink)
                    self.check(response, result, cut, server_end[0], sink)

        run(cuts, scenario, HANG_TIMEOUT)


class ReusedConnectionTest(testtools.TestCase):
    """Tests of a server that stops in the middle of a response and goes on with the next one."""

    def check(self, response: SampleResponse, earlier: SampleResponse) -> None:
        """Checks a response after the beginning of another one, for each possible beginning."""
        other = earlier.data.replace(b"a1", b"a0").replace(b"0123", b"abcd")

        async def main() -> None:
            complete = await run_attempt(
                stream_opener(CutStream([response.data], ConnectionEnd.CLOSED)), None
            )
            for cut in range(len(earlier.head) + 1):
                data = [WITH_LENGTH.data.replace(b"a1", b"a0"), other[:cut] + response.data]
                stream = CutStream(data, ConnectionEnd.CLOSED)
                stream.has_arrived = False
                connections = ConnectionPool(1.0, stream_opener(stream))
                first = await run_attempt_on(connections, None, "a0")
                self.assertIsInstance(first, Answered)
                result = await run_attempt_on(connections, None)
                if not isinstance(result, Broken):
                    self.assertEqual(complete, result, f"after {data[1]!r}")

        trio.run(main)

    def test_beginnings_of_plain_responses(self) -> None:
        names = ("length", "informational")
        earlier = [item for item in PLAIN if item.name in names] + [NOT_RUN]
        later = [item for item in PLAIN if item.name == "length"] + [NOT_RUN]
        for response, other in product(later, earlier):
            self.check(response, other)


class SmallRequestTest(testtools.TestCase):
    def test_responses_to_reports_orders_and_reads_of_the_store(self) -> None:
        request = SmallRequest(b"GET", b"/report", [(b"host", b"a")])

        async def main() -> None:
            for response in PLAIN:
                for cut, end in product(range(len(response.data) + 1), ENDS):
                    connection = HttpConnection(CutStream([response.data[:cut]], end))
                    complete = response.may_look_complete(cut, end, is_stream=False)
                    try:
                        small = await connection.exchange(request)
                    except BrokenAnswerError:
                        self.assertFalse(complete, f"{response} cut at {cut}, {end}")
                    else:
                        self.assertTrue(complete, f"{response} cut at {cut}, {end}")
                        self.assertTrue(response.content.startswith(small.body))

        trio.run(main)


class CallerTest(testtools.TestCase):
    def check(self, response: SampleResponse, is_stream: bool) -> None:
        """Checks what callers get if the server cuts the response, at each byte."""
        cut_for: list[str] = []

        async def cuts(request: HttpRequest, stream: trio.SocketStream) -> bool:
            attempt = attempt_id_of(request)
            if attempt in cut_for:
                return await complete_stream(request, stream)
            cut_for.append(attempt)
            cut, end = attempt.split("-")
            await stream.send_all(response.data[: int(cut)].replace(b"a1", attempt.encode()))
            await _end(stream, ConnectionEnd(end))
            return False

        async def scenario(relay: RelayHarness) -> None:
            for cut, end in product(range(len(response.data) + 1), ENDS):
                received = await relay.send_request("/quick/x", f"{cut}-{end.value}")
                what = f"{response.data!r} cut at {cut}, {end}: {received}"
                is_complete = received.status == 200 and received.complete
                if not response.may_look_complete(cut, end, is_stream) and not is_stream:
                    self.assertFalse(is_complete, what)
                elif is_complete and response.is_framed:
                    # The other server continued the stream where the first one had cut it.
                    self.assertEqual(response.content, received.body, what)
                self.assertTrue(
                    received.status != 200 or response.content.startswith(received.body), what
                )

        async def main() -> None:
            servers = [ScriptedServer(server(n, "office", port=0), cuts) for n in range(2)]
            route = replace(STREAM, shares=ONCE.shares, streams=is_stream, resumable=is_stream)
            async with open_relay(servers, replace(CONFIGURATION, routes=(route,))) as relay:
                await scenario(relay)

        trio.run(main)
        self.assertEqual(2 * (len(response.data) + 1), len(cut_for))

    def test_plain(self) -> None:
        for response in (WITH_LENGTH, IN_CHUNKS, UNFRAMED):
            self.check(response, False)

    def test_stream(self) -> None:
        for response in (IN_CHUNKS, UNFRAMED):
            self.check(response, True)


async def _end(stream: trio.SocketStream, end: ConnectionEnd) -> None:
    if end is ConnectionEnd.RESET:
        # Lets the relay read what precedes the reset.
        await trio.sleep(0.002)
        abort(stream)
    else:
        stream.socket.close()
