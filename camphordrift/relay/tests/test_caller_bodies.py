"""Tests of what a VM holds of the bodies of callers' requests."""

import pytest
import testtools
import trio
import trio.testing

from camphordrift.relay.connections import (
    BodyBudget,
    ByteStream,
    CallerConnection,
    CallerRequest,
    HttpConnection,
    ResponseWriter,
)
from camphordrift.relay.connections._http_client import MAX_JOINED_BODY_BYTES
from camphordrift.relay.connections._http_server import (
    CALLER_READ_SIZE,
    MAX_READ_AHEAD_BYTES,
    Handler,
)
from camphordrift.relay.model import CallerLimits
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    plain_success,
    read_response,
    request_bytes,
    run_scenario,
)
from camphordrift.relay.tests.samples import ScriptedServer, attempt_id_of

#: Requests after which a connection with pipelined requests is closed, and the bytes that it sends.
PIPELINED_REQUESTS, ENDLESS_BYTES = 60, 8 << 20

#: A length far over the limit of a body.
FAR_OVER_LIMIT = 100 * CallerLimits().body_bytes


class _WrittenStream(ByteStream):
    """A connection that keeps what is written."""

    def __init__(self) -> None:
        self.written: list[bytes] = []

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self.written.append(data)


class ForwardedBodyTest(testtools.TestCase):
    """Guards against requests that hold a copy of their body while they are in progress."""

    def send(self, body: bytes) -> list[bytes]:
        async def main() -> list[bytes]:
            stream = _WrittenStream()
            connection = HttpConnection(stream)
            headers = [(b"host", b"a"), (b"content-length", b"%d" % len(body))]
            await connection.send(connection.encode(b"POST", b"/", headers, body))
            return stream.written

        return trio.run(main)

    def test_a_large_body_is_not_copied(self) -> None:
        body = b"x" * (MAX_JOINED_BODY_BYTES + 1)
        self.assertIs(body, self.send(body)[-1])

    def test_a_small_body_is_sent_in_one_write(self) -> None:
        for body in (b"", b"x" * MAX_JOINED_BODY_BYTES):
            self.assertEqual(1, len(self.send(body)))


@pytest.mark.sockets
class AnnouncedLengthTest(testtools.TestCase):
    """Guards against bodies that are read although their announced length is not permitted."""

    def check(self, **headers: str) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async with await relay.connect() as stream:
                headers["content_length"] = str(FAR_OVER_LIMIT)
                await stream.send_all(request_bytes("/quick/1", "a1", b"", **headers))
                response = await read_response(stream)
            self.assertEqual((413, True), (response.status, response.complete))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, plain_success)

    def test_refused_before_the_body(self) -> None:
        self.check()

    def test_refused_instead_of_100_continue(self) -> None:
        self.check(expect="100-continue")


@pytest.mark.sockets
class IncompleteEventTest(testtools.TestCase):
    """Guards against size lines of chunks and trailers of which any length is kept."""

    def check(self, body: bytes) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async with await relay.connect() as stream:
                head = request_bytes("/quick/1", transfer_encoding="chunked")
                await stream.send_all(head.replace(b"content-length: 0\r\n", b"") + body)
                response = await read_response(stream)
            self.assertEqual((431, True), (response.status, response.complete))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, plain_success)

    def test_size_line(self) -> None:
        self.check(b"1;extension=" + b"x" * 2 * CallerLimits().header_bytes)

    def test_trailers(self) -> None:
        self.check(b"1\r\nx\r\n0\r\ntrailer: " + b"x" * 2 * CallerLimits().header_bytes)


@pytest.mark.sockets
class StalledBodiesTest(testtools.TestCase):
    """Guards against unfinished bodies that keep others from being served."""

    def test_a_stalled_body_is_refused_as_not_run_in_favour_of_a_later_one(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            size = CallerLimits().body_bytes
            relay.process._bodies = BodyBudget(size * 1.5)
            async with await relay.connect() as stalled:
                await stalled.send_all(request_bytes("/book/1", "a1", content_length=str(size)))
                await stalled.send_all(b"x" * (size - 1))
                while relay.process._bodies.unfinished_bytes < size - 1:
                    await trio.sleep(0.01)
                response = await relay.send_request("/book/2", "a2", b"x" * (size // 2))
                self.assertEqual(200, response.status)
                refusal = await read_response(stalled)
            self.assertEqual((503, "1"), (refusal.status, refusal.headers["retry-after"]))
            self.assertEqual(["a2"], [attempt_id_of(item) for item in servers[0].requests])

        run_scenario(scenario, plain_success, service="office")


@pytest.mark.sockets
class MetricsTest(testtools.TestCase):
    """Guards against bodies at the metrics port, where no budget counts them."""

    def test_a_request_with_a_body_is_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async with await trio.open_tcp_stream(relay.host, relay.metrics_port) as stream:
                await stream.send_all(request_bytes("/metrics", content_length="1"))
                response = await read_response(stream)
            self.assertEqual((413, True), (response.status, response.complete))
            self.assertIn("relay_unfinished_body_bytes", await relay.metrics_page())

        run_scenario(scenario, plain_success)


@pytest.mark.sockets
class HeaderFieldsTest(testtools.TestCase):
    """Guards against small heads whose many fields take far more memory than their bytes."""

    def test_a_head_with_very_many_fields_is_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            head, _, _ = request_bytes("/look/x").partition(b"\r\n\r\n")
            async with await relay.connect() as stream:
                await stream.send_all(head + b"\r\na:" * 3000 + b"\r\n\r\n")
                response = await read_response(stream)
            self.assertEqual((431, True), (response.status, response.complete))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, plain_success, service="office")

    def test_a_complete_head_counts_until_its_request_has_ended(self) -> None:
        budget = BodyBudget()

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            held.append(budget.complete_bytes)
            await response.send_complete(200, [], b"")

        held: list[int] = []
        run_connection(handle, budget, request_bytes("/x", x_long="x" * 10_000))
        self.assertGreater(held[0], 10_000)
        self.assertEqual(0, budget.complete_bytes + budget.unfinished_bytes)


@pytest.mark.sockets
class PipelinedRequestsTest(testtools.TestCase):
    """Guards against one connection whose requests without end are all kept."""

    def test_what_follows_a_request_is_bounded_and_counts(self) -> None:
        budget = BodyBudget()
        request = request_bytes("/x")
        #: Bytes that the parser holds back during each request, and those that count.
        unparsed: list[int] = []
        counted: list[int] = []

        async def handle(current: CallerRequest, response: ResponseWriter) -> None:
            await trio.testing.wait_all_tasks_blocked()
            unparsed.append(len(response._connection._protocol.trailing_data[0]))
            counted.append(budget.complete_bytes)
            is_last = len(unparsed) == PIPELINED_REQUESTS
            headers = [(b"connection", b"close")] if is_last else []
            await response.send_complete(200, headers, b"")

        run_connection(handle, budget, request * (ENDLESS_BYTES // len(request)))
        self.assertEqual(PIPELINED_REQUESTS, len(unparsed))
        self.assertLessEqual(max(unparsed), MAX_READ_AHEAD_BYTES + CALLER_READ_SIZE)
        for held_back, held in zip(unparsed, counted, strict=True):
            self.assertGreaterEqual(held, held_back)


def run_connection(handle: Handler, budget: BodyBudget, data: bytes) -> None:
    """Serves a connection over which data is sent, until the end of the data."""

    async def main() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        caller = await trio.open_tcp_stream(*listener.socket.getsockname())
        connection = CallerConnection(
            await listener.accept(), CallerLimits, handle, lambda: False, budget
        )

        async def discard() -> None:
            try:
                async for _ in caller:
                    pass
            except trio.BrokenResourceError:
                return

        async def send() -> None:
            try:
                await caller.send_all(data)
            except trio.BrokenResourceError:
                # The connection was closed first.
                return

        async with trio.open_nursery() as nursery:
            nursery.start_soon(discard)
            nursery.start_soon(send)
            nursery.start_soon(stop_when_idle, connection)
            await connection.serve()
            nursery.cancel_scope.cancel()

    async def stop_when_idle(connection: CallerConnection) -> None:
        while True:
            await trio.testing.wait_all_tasks_blocked(0.05)
            connection.close_if_idle()

    trio.run(main)
