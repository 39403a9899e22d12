"""Tests of streams that are too slow to be complete before their deadline, over sockets."""

from typing import Optional

import pytest
import testtools
import trio

from camphordrift.relay.requests import _sender
from camphordrift.relay.scheduling import (
    AttemptOutcome,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
    StreamPace,
)
from camphordrift.relay.scheduling._placement_values import RefusalReason
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    events,
    first_then,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import SampleOrders, ScriptedServer
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Seconds between the events of the slow stream.
GAP = 0.02

#: Tokens of a prompt that needs the memory of several engines.
LONG_PROMPT = 320_000


class SlowStream:
    """A script that sends single events until it is told to send the rest of the response."""

    def __init__(self) -> None:
        self.rest_is_due = trio.Event()
        self.event_count = 0

    async def __call__(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        await stream.send_all(stream_head(request))
        while not self.rest_is_due.is_set():
            await self._send_event(stream)
            await trio.sleep(GAP)
        for _ in range(3):
            await self._send_event(stream)
        await stream.send_all(b"0\r\n\r\n")
        return True

    async def _send_event(self, stream: trio.SocketStream) -> None:
        self.event_count += 1
        await stream.send_all(chunk(events(self.event_count, self.event_count)))


class CompleteStreamTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.patch(StreamPace, "misses_deadline", lambda pace, time_left: True)

    def test_a_slow_stream_ends_before_the_further_attempt_has_an_event(self) -> None:
        """Guards against a complete response that waits for another server until its deadline."""
        self.patch(_sender, "FIRST_EVENT_SLACK", 60.0)
        slow, cancelled = SlowStream(), trio.Event()

        async def never_responds(request: HttpRequest, stream: trio.SocketStream) -> bool:
            slow.rest_is_due.set()
            try:
                await stream.receive_some(1)
            finally:
                cancelled.set()
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertTrue(response.complete)
            self.assertEqual(events(1, slow.event_count), response.body)
            await cancelled.wait()

        script = first_then(slow, never_responds)
        run_scenario(scenario, script, script)

    def test_its_memory_is_released_when_it_is_complete(self) -> None:
        """Guards against reservations that are renewed until the further attempt has an event."""
        self.patch(_sender, "FIRST_EVENT_SLACK", 60.0)
        slow = SlowStream()
        reserved: list[bytes] = []
        released: list[bytes] = []
        streams: list[HttpRequest] = []

        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.target.encode() == SampleOrders.path:
                operation, reservation_id, *_ = request.body.split()
                (reserved if operation == b"reserve" else released).append(reservation_id)
                await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                return True
            streams.append(request)
            if len(streams) == 1:
                return await slow(request, stream)
            slow.rest_is_due.set()
            await stream.receive_some(1)
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x", x_tokens=str(LONG_PROMPT))
            self.assertTrue(response.complete)
            self.assertEqual(2, len(streams))
            self.assertTrue(reserved)
            while set(released) != set(reserved):
                await trio.sleep(0.01)

        run_scenario(scenario, *[respond] * 6)

    def test_a_refusal_that_follows_from_its_end_does_not_break_it_off(self) -> None:
        """The engine that becomes free makes the scheduler decide on the further attempt."""
        slow, ended = SlowStream(), trio.Event()

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            dispatcher = relay.process._dispatcher
            request_placement = dispatcher.request_placement
            report_finished = dispatcher.report_finished
            requests: list[PlacementRequest] = []

            async def refuse_further(request: PlacementRequest) -> PlacementDecision:
                requests.append(request)
                if len(requests) == 1:
                    return await request_placement(request)
                slow.rest_is_due.set()
                await ended.wait()
                return PlacementRefusal(request.id, RefusalReason.LIMITED, 1.0)

            def record_end(
                ask_id: str, outcome: AttemptOutcome, at_fault: Optional[str] = None
            ) -> None:
                report_finished(ask_id, outcome, at_fault)
                ended.set()

            self.patch(dispatcher, "request_placement", refuse_further)
            self.patch(dispatcher, "report_finished", record_end)
            response = await relay.send_request("/quick/x")
            self.assertTrue(response.complete)
            self.assertEqual(events(1, slow.event_count), response.body)
            self.assertEqual(2, len(requests))

        run_scenario(scenario, slow, slow)
