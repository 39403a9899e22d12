"""Tests of many large responses at the same time, which must not fill the memory of a VM."""

import tracemalloc
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Optional

import pytest
import testtools
import trio

from camphordrift.relay.connections import READ_SIZE, BodyBudget
from camphordrift.relay.connections._body_budget import SMALL_BODY_BYTES
from camphordrift.relay.peers._peer_messages import ConnectionEnd
from camphordrift.relay.requests._attempt import Broken
from camphordrift.relay.tests.cut_responses import (
    CutStream,
    RecordingSink,
    run_attempt,
    stream_opener,
)
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    open_relay,
    plain_response,
    request_bytes,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    ONCE,
    REPEATABLE,
    STREAM,
    ScriptedServer,
    attempt_id_of,
    server,
)
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Number of requests at the same time.
CROWD = 48

#: Bytes that a server sends at once.
BLOCK = b"x" * 65536

#: Bytes of a body just below the limit of a single response.
LARGE = 60 * len(BLOCK)

#: Bytes of an unfinished event just below the limit.
LARGE_EVENT = 15 * len(BLOCK)

#: Bytes that each connection may hold beside what is counted: what was read last, parsed and not.
PER_CONNECTION = 2 * READ_SIZE

#: Streams of plain servers, which place requests at once.
PLAIN_STREAM = replace(STREAM, shares=ONCE.shares, resumable=False)


HEAD = b"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: a1\r\n\r\n"


class CrowdedVm:
    """A relay with a server whose responses to all requests but ordinary ones are large."""

    def __init__(self, relay: RelayHarness) -> None:
        self.relay = relay
        #: Largest number of allocated bytes.
        self.peak = 0
        #: Number of responses with each status.
        self.statuses: Counter[int] = Counter()

    @property
    def max_memory(self) -> float:
        """Bytes that may be allocated: the budget, half of it for copies, and the connections'."""
        budget = self.relay.process._settings.response_budget
        return 1.5 * budget + CROWD * PER_CONNECTION

    async def request(self, path: str, number: int) -> None:
        """Sends a request and counts its response."""
        response = await self.relay.send_request(path, f"a{number}", x_patience="3")
        self.statuses[response.status if response.complete else 0] += 1

    async def request_many(self, path: str) -> None:
        """Sends many requests at the same time, and an ordinary one while they wait."""
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for number in range(CROWD):
                    nursery.start_soon(self.request, path, number)
                await trio.sleep(1.0)
                for number in range(5):
                    ordinary = await self.relay.send_request("/look/x", f"ordinary{number}")
                    assert (ordinary.status, ordinary.body) == (200, b"done")
            self.peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()


def _head(request: HttpRequest) -> bytes:
    return f"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: {attempt_id_of(request)}\r\n".encode()


@asynccontextmanager
async def _crowded(head: bytes, size: int) -> AsyncIterator[CrowdedVm]:
    async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
        if request.target == "/look/x":
            await stream.send_all(plain_response(request))
            return True
        await stream.send_all(_head(request) + head + b"\r\n")
        for _ in range(size // len(BLOCK)):
            await stream.send_all(BLOCK)
        if head:
            return True
        await trio.sleep_forever()
        return False

    servers = [ScriptedServer(server(n, "office", port=0), answer) for n in range(2)]
    routes = (PLAIN_STREAM, ONCE, REPEATABLE)
    async with open_relay(servers, replace(CONFIGURATION, routes=routes)) as relay:
        yield CrowdedVm(relay)


def _run(head: bytes, size: int, scenario: Callable[[CrowdedVm], Awaitable[None]]) -> None:
    async def main() -> None:
        async with _crowded(head, size) as vm:
            await scenario(vm)

    trio.run(main)


class GivingWayTest(testtools.TestCase):
    def check(self, pieces: list[bytes], sink: Optional[RecordingSink]) -> None:
        """Checks a response for which there is no memory."""
        budget = BodyBudget(SMALL_BODY_BYTES)
        other = budget.open(lambda: None)
        other.append(b"x" * SMALL_BODY_BYTES)
        other.complete()
        stream = CutStream(pieces, ConnectionEnd.CLOSED)
        result = trio.run(run_attempt, stream_opener(stream), sink, budget)
        # The server did not close the connection, and so accuses no request.
        self.assertEqual(Broken("the memory for responses is used up"), result)
        self.assertEqual(SMALL_BODY_BYTES, budget.complete_bytes + budget.unfinished_bytes)

    def test_head(self) -> None:
        self.check([HEAD[:20], HEAD[20:]], None)

    def test_body(self) -> None:
        self.check([HEAD, b"done"], None)

    def test_stream(self) -> None:
        sink = RecordingSink()
        self.check([HEAD, b"id: 5\ndata: x"], sink)
        self.assertFalse(sink.has_ended)


class CrowdedResponsesTest(testtools.TestCase):
    def test_responses_that_do_not_end(self) -> None:
        async def scenario(vm: CrowdedVm) -> None:
            await vm.request_many("/book/x")
            self.assertLess(vm.peak, vm.max_memory)
            # Told as an unknown outcome, or at the deadline.
            self.assertEqual(CROWD, vm.statuses[502] + vm.statuses[504])

        _run(b"", LARGE, scenario)

    def test_events_that_do_not_end(self) -> None:
        async def scenario(vm: CrowdedVm) -> None:
            await vm.request_many("/quick/x")
            self.assertLess(vm.peak, vm.max_memory)
            self.assertEqual(0, vm.statuses[200])

        _run(b"", LARGE_EVENT, scenario)

    def test_a_large_response_is_served(self) -> None:
        async def scenario(vm: CrowdedVm) -> None:
            for number in range(20):
                response = await vm.relay.send_request("/book/x", f"a{number}")
                self.assertEqual((200, LARGE), (response.status, len(response.body)))

        _run(b"content-length: %d\r\n" % LARGE, LARGE, scenario)

    def test_callers_that_do_not_read_large_responses(self) -> None:
        async def scenario(vm: CrowdedVm) -> None:
            tracemalloc.start()
            streams = [await vm.relay.connect() for _ in range(CROWD)]
            for number, stream in enumerate(streams):
                await stream.send_all(request_bytes("/book/x", f"a{number}"))
            await trio.sleep(1.5)
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertLess(peak, vm.max_memory)
            for stream in streams:
                await stream.aclose()
            while vm.relay.process._responses.complete_bytes:
                await trio.sleep(0.01)
            self.assertEqual(0, vm.relay.process._responses.unfinished_bytes)

        _run(b"content-length: %d\r\n" % LARGE, LARGE, scenario)
