"""Tests of bodies that come in very small chunks, with and without an end."""

from collections.abc import Awaitable, Callable
from typing import Optional

import pytest
import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.connections import (
    BrokenAnswerError,
    ByteStream,
    CallerConnection,
    CallerRequest,
    ConnectionPool,
    EventSplitter,
    HttpConnection,
    SmallRequest,
    StreamEvent,
)
from camphordrift.relay.connections._parsing_pace import (
    EVENTS_PER_TURN,
    SHARED_TURN_INTERVAL,
    ParsingPace,
    TurnSchedule,
)
from camphordrift.relay.model import CallerLimits, ForwardingMetadata, Headers
from camphordrift.relay.requests._attempt import Attempt, EventSink, SilenceTimeouts, Streamed
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    events,
    plain_response,
    plain_success,
    run_scenario,
)
from camphordrift.relay.tests.samples import SampleHeaders, ScriptedServer, server
from camphordrift.testing import HttpRequest, run_in_virtual_time

#: Body of many one-byte chunks.
CHUNK_COUNT = 5000
FINE_CHUNKS = chunk(b"x") * CHUNK_COUNT

#: Head of a response with a body in chunks.
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

#: Maximum number of chunks that are parsed between two turns of other tasks.
MAX_CHUNKS_BETWEEN_TURNS = 2 * EVENTS_PER_TURN

#: The same for events of a stream, and their number in the test.
MAX_EVENTS_BETWEEN_TURNS = 1024
SHORT_EVENT_COUNT = 30_000


class _RecordedStream(ByteStream):
    """A connection from which the given data can be read at once."""

    def __init__(self, *received: bytes) -> None:
        self._received = list(received)

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._received.pop(0) if self._received else b""

    def is_readable(self) -> bool:
        return bool(self._received)

    def abort(self) -> None:
        self._received.clear()


async def _count_turns(task: Callable[[], Awaitable[None]]) -> int:
    """Runs a task; returns how often another task got its turn meanwhile."""
    turns = 0

    async def count() -> None:
        nonlocal turns
        while True:
            await trio.sleep(0)
            turns += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count)
        await task()
        nursery.cancel_scope.cancel()
    return turns


class OtherTasksTest(testtools.TestCase):
    """Guards against a body in small chunks that keeps the VM from doing anything else."""

    def check(self, task: Callable[[], Awaitable[None]]) -> None:
        turns = trio.run(_count_turns, task)
        self.assertGreaterEqual(turns, CHUNK_COUNT // MAX_CHUNKS_BETWEEN_TURNS)

    def test_body_that_is_forwarded_in_parts(self) -> None:
        async def receive() -> None:
            connection = HttpConnection(_RecordedStream(HEAD + FINE_CHUNKS + b"0\r\n\r\n"))
            await connection.send(connection.encode(b"GET", b"/", [(b"host", b"a")], b""))
            await connection.receive_head()
            received = 0
            while (part := await connection.receive_data()) is not None:
                received += len(part)
            self.assertEqual(CHUNK_COUNT, received)
            self.assertTrue(connection.reusable)

        self.check(receive)

    def test_response_to_a_small_request(self) -> None:
        async def exchange() -> None:
            connection = HttpConnection(_RecordedStream(HEAD + FINE_CHUNKS + b"0\r\n\r\n"))
            request = SmallRequest(b"GET", b"/", [(b"host", b"a")])
            response = await connection.exchange(request)
            self.assertEqual(CHUNK_COUNT, len(response.body))

        self.check(exchange)

    def test_stream_of_very_short_events(self) -> None:
        received = 0

        class CountingSink(EventSink):
            async def start_response(self, status: int, headers: Headers) -> None:
                await trio.lowlevel.checkpoint()

            async def write_events(self, events: list[StreamEvent]) -> None:
                nonlocal received
                received += len(events)
                await trio.lowlevel.checkpoint()

            async def end_response(self) -> None:
                await trio.lowlevel.checkpoint()

        async def forward() -> None:
            head = (
                b"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: a1\r\n"
                b"transfer-encoding: chunked\r\n\r\n"
            )
            content = head + chunk(b"\n\n" * SHORT_EVENT_COUNT) + b"0\r\n\r\n"

            async def open_recorded(host: str, port: int, timeout: float) -> ByteStream:
                return _RecordedStream(content)

            request = CallerRequest(b"POST", b"/", [(b"host", b"a")], b"", 0.0)
            pool = ConnectionPool(1.0, open_recorded)
            attempt = Attempt(
                request, "a1", server(1), pool, SampleHeaders(), lambda status, metadata: None
            )
            result = await attempt.run(
                lambda: ForwardingMetadata(1.0, "engines-1", None),
                SilenceTimeouts(1.0, 1.0),
                lambda: None,
                False,
                CountingSink(),
            )
            self.assertEqual(Streamed(), result)

        turns = trio.run(_count_turns, forward)
        self.assertEqual(SHORT_EVENT_COUNT, received)
        self.assertGreaterEqual(turns, SHORT_EVENT_COUNT // MAX_EVENTS_BETWEEN_TURNS)

    @pytest.mark.sockets
    def test_body_of_a_caller(self) -> None:
        received: list[bytes] = []

        async def handle(request: object, response: object) -> None:
            received.append(request.body)  # type: ignore[attr-defined]

        async def serve() -> None:
            ours, theirs = trio.socket.socketpair()
            connection = CallerConnection(
                trio.SocketStream(theirs), CallerLimits, handle, lambda: True
            )
            head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection._serve_request)
                await trio.SocketStream(ours).send_all(head + FINE_CHUNKS + b"0\r\n\r\n")
            ours.close()
            theirs.close()

        self.check(serve)
        self.assertEqual([b"x" * CHUNK_COUNT], received)


class ManyCallersTest(testtools.TestCase):
    """Guards against callers whose small chunks, each at its pace, together occupy the VM."""

    def parse(self, callers: int, read_bytes: int, reads: int, events: int) -> float:
        """Returns the seconds in which callers' reads are parsed, if parsing takes no time."""

        async def parse_reads(pace: ParsingPace) -> None:
            for _ in range(reads):
                pace.record_bytes(read_bytes)
                for _ in range(events):
                    await pace.pause_between_turns()
                    pace.record_event()

        async def main() -> float:
            turns, started_at = TurnSchedule(SHARED_TURN_INTERVAL), trio.current_time()
            async with trio.open_nursery() as nursery:
                for _ in range(callers):
                    nursery.start_soon(parse_reads, ParsingPace(turns))
            return trio.current_time() - started_at

        return run_in_virtual_time(main)

    def test_turns_are_spaced_whatever_the_number_of_callers(self) -> None:
        for callers in (1, 10, 100):
            elapsed = self.parse(callers, 16384, 1, 10 * EVENTS_PER_TURN + 1)
            self.assertAlmostEqual(callers * 10 * SHARED_TURN_INTERVAL, elapsed)

    def test_small_reads_do_not_avoid_the_pauses(self) -> None:
        elapsed = self.parse(10, 6 * EVENTS_PER_TURN, 100, EVENTS_PER_TURN)
        self.assertGreater(elapsed, 10 * 90 * SHARED_TURN_INTERVAL)

    def test_chunks_of_usual_sizes_are_never_paused(self) -> None:
        self.assertEqual(0.0, self.parse(100, 16384, 100, 16384 // 256))
        self.assertEqual(0.0, self.parse(100, 300, 100, 1))


@pytest.mark.sockets
class RelayTest(testtools.TestCase):
    def test_requests_are_served_beside_an_endless_response(self) -> None:
        # Guards against requests at the same VM that wait until the response reaches its deadline.
        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.body != b"endless":
                return await plain_success(request, stream)
            head, _, _ = plain_response(request).partition(b"content-length")
            await stream.send_all(head + b"transfer-encoding: chunked\r\n\r\n")
            try:
                while True:
                    await stream.send_all(FINE_CHUNKS)
            except trio.BrokenResourceError:
                return False

        finished: list[str] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async def ask_for_endless_response() -> None:
                await relay.send_request("/book/x", "a0", b"endless")
                finished.append("endless")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_for_endless_response)
                while not servers[0].requests:
                    await trio.sleep(0.01)
                for number in range(1, 11):
                    response = await relay.send_request("/look/x", f"a{number}")
                    self.assertEqual(200, response.status)
                finished.append("lookups")
                nursery.cancel_scope.cancel()

        run_scenario(scenario, respond, service="office")
        self.assertEqual(["lookups"], finished)


class EventSplitterTest(testtools.TestCase):
    @settings(derandomize=True)
    @given(st.binary(max_size=60), st.lists(st.integers(0, 5)))
    def test_any_cutting_gives_the_same_events(self, noise: bytes, sizes: list[int]) -> None:
        # Guards against an end of an event that is not found where two parts meet.
        data = noise.replace(b"\x00", b"\n\n").replace(b"\x01", b"\n") + events(1, 2)
        whole = EventSplitter().feed(data)
        splitter, cut, position = EventSplitter(), [], 0
        for size in [*sizes, len(data)]:
            cut += splitter.feed(data[position : position + size])
            position += size
        self.assertEqual(whole, cut)
        *parts, rest = data.split(b"\n\n")
        self.assertEqual([part + b"\n\n" for part in parts], [event.data for event in whole])
        self.assertEqual(bool(rest), splitter.has_partial_event)


class ErrorAfterDataTest(testtools.TestCase):
    def test_data_before_an_error_is_returned_first(self) -> None:
        async def main() -> None:
            content = HEAD + chunk(b"one") + chunk(b"two") + b"no chunk\r\n"
            connection = HttpConnection(_RecordedStream(content))
            await connection.send(connection.encode(b"GET", b"/", [(b"host", b"a")], b""))
            await connection.receive_head()
            self.assertEqual(b"onetwo", await connection.receive_data())
            with testtools.ExpectedException(BrokenAnswerError, "not a valid HTTP response: .*"):
                await connection.receive_data()
            self.assertFalse(connection.reusable)

        trio.run(main)
