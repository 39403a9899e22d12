"""Tests of responses whose head is not valid HTTP.

Guards against a caller that gets such a response as the server's.
"""

from collections.abc import Sequence
from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import Reservation, Route
from camphordrift.relay.connections import BrokenAnswerError, ByteStream, ConnectionPool
from camphordrift.relay.connections._http_client import HttpConnection, SmallRequest
from camphordrift.relay.model import Address
from camphordrift.relay.peers._peer_messages import ConnectionEnd
from camphordrift.relay.peers._tunnels import open_tunnel
from camphordrift.relay.requests._attempt import Answered, Broken
from camphordrift.relay.requests._reservations import (
    RESERVATION_LIFETIME,
    ReservationManager,
    ReservationRefusedError,
    ReservedPart,
)
from camphordrift.relay.tests.cut_responses import (
    CutStream,
    RecordingSink,
    run_attempt,
    run_attempt_on,
    stream_opener,
)
from camphordrift.relay.tests.relay_harness import (
    chunk,
    complete_stream,
    events,
    open_relay,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    ONCE,
    REPEATABLE,
    STREAM,
    SampleOrders,
    SampleReports,
    ScriptedServer,
    attempt_id_of,
    server,
    server_calls,
)
from camphordrift.relay.tests.test_tunnels import TIMEOUT, Network, echo, run
from camphordrift.testing import (
    HttpRequest,
    Malform,
    handle_requests,
    heads_with_invalid_names,
    heads_with_invalid_status,
    malformed_responses,
)

#: Seconds after which some hundred exchanges count as hanging.
HANG_TIMEOUT = 120.0

#: Number of retries at once that is within the budget of a relay that has just started.
MAX_RETRIES = 50

CONTENT = events(1, 5)

#: Fields of a sound response, of which each may be malformed.
FIELDS = b"x-signature: s\r\nx-attempt: a1\r\ncontent-type: text/event-stream\r\nx-other: 1\r\n"

SUCCESS = b"HTTP/1.1 200 OK\r\n" + FIELDS
WITH_LENGTH = SUCCESS + b"content-length: %d\r\n\r\n" % len(CONTENT)
CHUNKED = SUCCESS + b"transfer-encoding: chunked\r\n\r\n"
UNFRAMED = SUCCESS + b"\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-attempt: a1\r\ncontent-length: 0\r\n\r\n"

#: Heads and bodies of sound responses.
RESPONSES = (
    (WITH_LENGTH, CONTENT),
    (CHUNKED, chunk(CONTENT) + b"0\r\n\r\n"),
    (UNFRAMED, CONTENT),
    (REJECTION, b""),
)


def single_bytes(data: bytes) -> list[bytes]:
    """Returns data in pieces of one byte."""
    return [data[position : position + 1] for position in range(len(data))]


def closed(response: bytes) -> CutStream:
    """Returns a connection on which a response arrives, and then the regular end."""
    return CutStream([response], ConnectionEnd.CLOSED)


class AttemptTest(testtools.TestCase):
    """Tests of whole responses, streams and rejections."""

    def check(self, malform: Malform) -> None:
        """Checks that no malformed response is one, however it arrives."""

        async def main() -> None:
            for response in malformed_responses(malform, RESPONSES):
                for pieces in ([response], single_bytes(response)):
                    for sink in (None, RecordingSink()):
                        stream = CutStream(pieces, ConnectionEnd.CLOSED)
                        result = await run_attempt(stream_opener(stream), sink)
                        self.assertIsInstance(result, Broken, f"{response!r}: {result}")
                        self.assertFalse(sink is not None and (sink.content or sink.has_ended))

        trio.run(main)

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)

    def test_invalid_names_after_the_body(self) -> None:
        """Fields after the last chunk are dropped, but what is no field may be part of the body."""
        start = CHUNKED + chunk(CONTENT) + b"0\r\n"
        sums = b"x-sum: 1\r\nx-more: 2\r\n\r\n"
        malformed = [
            head.removeprefix(b"\r\n") for head in heads_with_invalid_names(b"\r\n" + sums)
        ]
        # Lines that begin with a blank continue a field that is dropped as well.
        malformed = [
            fields for fields in malformed if b"\n " not in fields and b"\n\t" not in fields
        ]

        async def main() -> None:
            sound = await run_attempt(stream_opener(closed(start + sums)), None)
            self.assertIsInstance(sound, Answered)
            for fields in malformed:
                result = await run_attempt(stream_opener(closed(start + fields)), None)
                self.assertIsInstance(result, Broken, f"{fields!r}: {result}")
                sink = RecordingSink()
                result = await run_attempt(stream_opener(closed(start + fields)), sink)
                self.assertIsInstance(result, Broken, f"{fields!r}: {result}")
                self.assertEqual((CONTENT, False), (sink.content, sink.has_ended))

        trio.run(main)


class ReusedConnectionTest(testtools.TestCase):
    def check(self, malform: Malform) -> None:
        """Checks malformed responses that follow a sound one on the same connection."""

        async def main() -> None:
            for response in malformed_responses(malform, RESPONSES):
                sound = WITH_LENGTH.replace(b"a1", b"a0") + CONTENT
                stream = CutStream([sound, response], ConnectionEnd.CLOSED)
                stream.has_arrived = False
                connections = ConnectionPool(1.0, stream_opener(stream))
                first = await run_attempt_on(connections, None, "a0")
                self.assertIsInstance(first, Answered)
                result = await run_attempt_on(connections, None)
                self.assertIsInstance(result, Broken, f"{response!r}: {result}")
                self.assertEqual(0, connections.idle_count)

        trio.run(main)

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)


@pytest.mark.sockets
class OtherVmTest(testtools.TestCase):
    """Tests of responses that arrive through another VM."""

    def check(self, malform: Malform) -> None:
        """Checks that no malformed response is one."""
        pieces: list[bytes] = []

        async def connect_server(address: Address, timeout: float) -> ByteStream:
            return CutStream(pieces, ConnectionEnd.CLOSED)

        async def scenario(network: Network) -> None:
            async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
                return await open_tunnel(network.vm, network.server, TIMEOUT)

            network.tunnels._connect_directly = connect_server
            for response in malformed_responses(malform, RESPONSES):
                pieces[:] = [response]
                for sink in (None, RecordingSink()):
                    result = await run_attempt(open_stream, sink)
                    self.assertIsInstance(result, Broken, f"{response!r}: {result}")

        run(echo, scenario, HANG_TIMEOUT)

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)


class SmallRequestTest(testtools.TestCase):
    """Tests of responses to reports, orders and calls to the store."""

    def check(self, malform: Malform) -> None:
        """Checks that no malformed response is one."""
        request = SmallRequest(b"GET", b"/report", [(b"host", b"a")])

        async def main() -> None:
            for response in malformed_responses(malform, RESPONSES):
                connection = HttpConnection(CutStream([response], ConnectionEnd.CLOSED))
                try:
                    small = await connection.exchange(request)
                except BrokenAnswerError:
                    continue
                self.fail(f"{response!r}: {small}")

        trio.run(main)

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)


@pytest.mark.sockets
class CallerTest(testtools.TestCase):
    """Tests of what callers get if the first server that they reach responds with such a head."""

    def check(self, malform: Malform, route: Route, expected_status: int) -> None:
        """Checks the responses to one request for each malformed head."""
        heads = [head for response, _ in RESPONSES for head in malform(response)]
        malformed: dict[str, bytes] = {f"a-{n}": head for n, head in enumerate(heads)}

        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            attempt = attempt_id_of(request)
            if (head := malformed.pop(attempt, None)) is None:
                return await complete_stream(request, stream)
            await stream.send_all(head.replace(b"a1", attempt.encode()) + CONTENT)
            return False

        async def check_some(sent: Sequence[tuple[str, bytes]]) -> None:
            servers = [ScriptedServer(server(n, "office", port=0), respond) for n in range(2)]
            served = replace(route, shares=ONCE.shares)
            async with open_relay(servers, replace(CONFIGURATION, routes=(served,))) as relay:
                for attempt, head in sent:
                    response = await relay.send_request(f"{route.path_prefix}x", attempt)
                    self.assertEqual(expected_status, response.status, f"{head!r}: {response}")
                    self.assertTrue(response.complete)
                    if response.status == 200:
                        self.assertEqual(CONTENT, response.body, f"{head!r}")

        sent = list(malformed.items())
        for start in range(0, len(sent), MAX_RETRIES):
            trio.run(check_some, sent[start : start + MAX_RETRIES])
        self.assertEqual({}, malformed)

    def check_all_routes(self, malform: Malform) -> None:
        """Checks requests that run once, that may be repeated, and streams of both kinds."""
        self.check(malform, ONCE, 502)
        self.check(malform, REPEATABLE, 200)
        self.check(malform, replace(STREAM, resumable=False, max_attempts=1), 502)
        self.check(malform, STREAM, 200)

    def test_invalid_status(self) -> None:
        self.check_all_routes(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check_all_routes(heads_with_invalid_names)


class MalformedReports(ScriptedServer):
    """An engine whose reports have a malformed head."""

    def __init__(self, number: int, head: bytes) -> None:
        super().__init__(server(number, port=0), complete_stream)
        self.head = head

    async def _serve(self, stream: trio.SocketStream) -> None:
        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.target.encode() != SampleReports.path:
                return await complete_stream(request, stream)
            await stream.send_all(self.head + b"0 0")
            self.report_count += 1
            return False

        await handle_requests(stream, respond)


@pytest.mark.sockets
class OwnRequestTest(testtools.TestCase):
    """Tests of the relay's own requests to engines."""

    def check_order(self, malform: Malform) -> None:
        """Checks that no malformed response to an order reserves memory."""
        sound = b"HTTP/1.1 200 OK\r\nx-other: 1\r\ncontent-length: 0\r\n\r\n"

        async def main() -> None:
            for head in malform(sound):
                self.assertFalse(await self.reserves_memory(head), f"{head!r}")
            self.assertTrue(await self.reserves_memory(sound))

        trio.run(main)

    async def reserves_memory(self, head: bytes) -> bool:
        """Returns whether an engine that responds so to orders counts as having reserved memory."""

        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(head)
            return False

        manager = ReservationManager(server_calls(), SampleOrders())
        engine = ScriptedServer(server(0, port=0), respond)
        with trio.fail_after(HANG_TIMEOUT):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                await nursery.start(engine.run)
                part = ReservedPart(engine.entry, Reservation("t", 100, RESERVATION_LIFETIME))
                try:
                    async with manager.hold_reservations((part,), engine.entry, lambda: None):
                        return True
                except ReservationRefusedError:
                    return False
                finally:
                    self.assertTrue(engine.requests)
                    nursery.cancel_scope.cancel()
        raise AssertionError("unreachable")

    def check_report(self, malform: Malform) -> None:
        """Checks that no malformed response to a report says anything of its engine."""
        head = b"HTTP/1.1 200 OK\r\nx-leaving: 1\r\nx-other: 1\r\ncontent-length: 3\r\n\r\n"

        async def main() -> None:
            engines = [MalformedReports(n, item) for n, item in enumerate(malform(head))]
            async with open_relay(engines) as relay:
                while not all(engine.report_count for engine in engines):
                    await trio.sleep(0.01)
                for number in range(len(engines)):
                    response = await relay.send_request("/quick/x", f"a-{number}")
                    self.assertEqual((200, True), (response.status, response.complete))
                notices = relay.process._notices
                self.assertEqual([], [e.head for e in engines if notices.is_leaving(e.entry)])

        trio.run(main)

    def test_report_with_invalid_status(self) -> None:
        self.check_report(heads_with_invalid_status)

    def test_report_with_invalid_names(self) -> None:
        self.check_report(heads_with_invalid_names)

    def test_order_with_invalid_status(self) -> None:
        self.check_order(heads_with_invalid_status)

    def test_order_with_invalid_names(self) -> None:
        self.check_order(heads_with_invalid_names)
