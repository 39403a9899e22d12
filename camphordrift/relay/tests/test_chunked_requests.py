"""Tests of requests whose bodies callers send in chunks."""

from collections.abc import Iterable
from dataclasses import replace

import h11
import pytest
import testtools
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.connections import (
    CallerConnection,
    CallerRequest,
    HttpConnection,
    ResponseWriter,
)
from camphordrift.relay.model import CallerLimits
from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    RelayFleet,
    RelayHarness,
    chunk,
    complete_stream,
    first_then,
    plain_success,
    read_response,
    rejects_request,
    run_fleet_scenario,
    run_scenario,
)
from camphordrift.relay.tests.samples import CONFIGURATION, ScriptedServer

#: Sizes of bodies: none, some that are sent at once, and one that is sent while the response is
#: awaited.
BODIES = (b"", b"x", b"how do I tow a swimmer?", b"long " * 5000)

LAST_CHUNK = b"0\r\n\r\n"


def chunked_head(path: str, *lines: bytes, attempt: str = "a1") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: {attempt}\r\nx-key: key-1\r\n"
    fields = [b"x-patience: 5", b"x-tokens: 5000", b"transfer-encoding: chunked", *lines]
    return head.encode() + b"\r\n".join(fields) + b"\r\n\r\n"


def chunked(parts: Iterable[bytes]) -> bytes:
    return b"".join(map(chunk, parts)) + LAST_CHUNK


async def exchange(relay: RelayHarness, data: bytes) -> CallerResponse:
    stream = await relay.connect()
    async with stream:
        await stream.send_all(data)
        return await read_response(stream)


@pytest.mark.sockets
class ChunkedRequestTest(testtools.TestCase):
    """Guards against bodies in chunks that are answered with code 9000 and reach no server."""

    def check(self, path: str, service: str) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for number, body in enumerate(BODIES):
                middle = len(body) // 2
                parts = [part for part in (body[:middle], body[middle:]) if part]
                head = chunked_head(path, attempt=f"a{number}")
                response = await exchange(relay, head + chunked(parts))
                self.assertEqual((200, True), (response.status, response.complete))
            self.assertEqual(list(BODIES), [item.body for item in servers[0].requests])
            for request in servers[0].requests:
                self.assertEqual(str(len(request.body)), request.headers["content-length"])
                self.assertNotIn("transfer-encoding", request.headers)

        script = complete_stream if service == "engines" else plain_success
        run_scenario(scenario, script, service=service)

    def test_streams(self) -> None:
        self.check("/quick/x", "engines")

    def test_calls_that_run_once(self) -> None:
        self.check("/book/x", "office")

    def test_lookups(self) -> None:
        self.check("/look/x", "office")

    def test_extensions_trailers_and_expect(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            async with stream:
                lines = (b"expect: 100-continue", b"trailer: x-sum")
                await stream.send_all(chunked_head("/book/x", *lines))
                received = bytes(await stream.receive_some(65536))
                self.assertEqual(b"HTTP/1.1 100", received[:12])
                await stream.send_all(b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nx-sum: 5\r\n\r\n")
                response = await read_response(stream)
            self.assertEqual((200, b"done"), (response.status, response.body))
            self.assertEqual(b"abcde", servers[0].requests[0].body)
            self.assertNotIn("x-sum", servers[0].requests[0].headers)

        run_scenario(scenario, plain_success, service="office")

    def test_a_retry_sends_the_same_bytes(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await exchange(relay, chunked_head("/look/x") + chunked([b"abc", b"de"]))
            self.assertEqual(200, response.status)
            self.assertEqual(2, sum(len(item.requests) for item in servers))
            self.assertEqual({b"abcde"}, {r.body for item in servers for r in item.requests})

        script = first_then(rejects_request, plain_success)
        run_scenario(scenario, script, script, service="office")

    def test_next_request_on_the_same_connection(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            async with stream:
                for number in range(3):
                    head = chunked_head("/look/x", attempt=f"a{number}")
                    await stream.send_all(head + chunked([b"body %d" % number]))
                    self.assertEqual(200, (await read_response(stream)).status)
            bodies = [item.body for item in servers[0].requests]
            self.assertEqual([b"body 0", b"body 1", b"body 2"], bodies)

        run_scenario(scenario, plain_success, service="office")

    def test_a_vm_that_follows_another_one_serves_them(self) -> None:
        async def scenario(fleet: RelayFleet) -> None:
            relays = await fleet.start_all(2)
            for number, relay in enumerate(relays):
                head = chunked_head("/quick/x", attempt=f"a{number}")
                response = await exchange(relay, head + chunked([b"abc"]))
                self.assertEqual((200, True), (response.status, response.complete))

        run_fleet_scenario(scenario, complete_stream)


@pytest.mark.sockets
class RefusedBodyTest(testtools.TestCase):
    """Guards against bodies that are too large or incomplete and reach a server all the same."""

    def check(self, data: bytes, status: int) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            limits = CallerLimits(body_bytes=1000, header_timeout=0.3)
            relay.publish(replace(CONFIGURATION, version=4, limits=limits))
            await relay.wait_for_version(4)
            stream = await relay.connect()
            async with stream:
                await stream.send_all(data)
                if status == 400:
                    await stream.send_eof()
                response = await read_response(stream)
                self.assertEqual(status, response.status)
                self.assertEqual(b"", await stream.receive_some(1))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, plain_success, service="office")

    def test_too_large(self) -> None:
        self.check(chunked_head("/book/x") + chunk(b"x" * 600) * 2, 413)

    def test_broken_off(self) -> None:
        for end in (b"", b"0", b"0\r\n", b"5\r\nab", b"0\r\nx-trailer: 1\r\n"):
            self.check(chunked_head("/book/x") + chunk(b"abc") + end, 400)

    def test_too_slow(self) -> None:
        self.check(chunked_head("/book/x") + chunk(b"abc"), 408)

    def test_length_beside_chunks(self) -> None:
        head = chunked_head("/book/x", b"content-length: 5")
        self.check(head + chunked([b"abc"]), 400)


def encoded(
    headers: list[tuple[bytes, bytes]], body: bytes, method: bytes = b"POST"
) -> CallerRequest:
    """Encodes a request and parses it again."""

    class _NoStream:
        pass

    connection = HttpConnection(_NoStream())  # type: ignore[arg-type]
    data = b"".join(connection.encode(method, b"/x", [(b"host", b"a"), *headers], body))
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    head = server.next_event()
    assert isinstance(head, h11.Request)
    received = b""
    while isinstance(event := server.next_event(), h11.Data):
        received += event.data
    assert isinstance(event, h11.EndOfMessage)
    return CallerRequest(head.method, head.target, list(head.headers), received, 0.0)


class FramingTest(testtools.TestCase):
    """Guards against a request whose stated length is not that of its body."""

    def test_the_length_is_that_of_the_body_whatever_the_headers_say(self) -> None:
        for stated in ([], [(b"content-length", b"3")], [(b"transfer-encoding", b"chunked")]):
            for body in (b"", b"x", b"xyz", b"x" * 10000):
                request = encoded([*stated, (b"x-a", b"1")], body)
                self.assertEqual(body, request.body)
                self.assertEqual(b"1", request.header(b"x-a"))
                self.assertIsNone(request.header(b"transfer-encoding"))
                self.assertEqual(b"%d" % len(body), request.header(b"content-length"))

    def test_a_request_without_a_body_states_no_length(self) -> None:
        request = encoded([], b"", b"GET")
        self.assertIsNone(request.header(b"content-length"))


@pytest.mark.sockets
class CuttingTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.binary(min_size=1, max_size=40)), st.lists(st.integers(1, 30)))
    def test_any_cutting_into_chunks_and_reads_gives_the_same_body(
        self, parts: list[bytes], reads: list[int]
    ) -> None:
        received: list[CallerRequest] = []

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            received.append(request)
            await response.send_complete(200, [], b"")

        async def main() -> None:
            ours, theirs = trio.socket.socketpair()
            connection = CallerConnection(
                trio.SocketStream(theirs), CallerLimits, handle, lambda: True
            )
            data, position = chunked_head("/x") + chunked(parts), 0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection._serve_request)
                for size in [*reads, len(data)]:
                    await ours.send(data[position : position + size])
                    position += size
                    await trio.testing.wait_all_tasks_blocked()
            ours.close()
            theirs.close()

        trio.run(main)
        self.assertEqual([b"".join(parts)], [item.body for item in received])
