"""End-to-end tests of streams that end without an event, or without framing."""

import json

import pytest
import testtools
import trio

from camphordrift.relay.requests._attempt import AttemptResult
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    events,
    first_then,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer, attempt_id_of
from camphordrift.testing import HttpRequest, HttpRequestHandler

pytestmark = pytest.mark.sockets


class StreamWithoutEventsTest(testtools.TestCase):
    """Guards against closing a caller's connection without a response."""

    def test_an_unframed_stream_that_ends_before_its_first_event_is_retried(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((200, events(1, 5)), (response.status, response.body))

        script = first_then(_unframed_stream(b""), complete_stream)
        run_scenario(scenario, script, script)

    def test_unframed_streams_that_end_before_their_first_event_are_a_failure(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((502, True), (response.status, response.complete))

        run_scenario(scenario, _unframed_stream(b""), _unframed_stream(b""))

    def test_a_framed_stream_without_events_is_forwarded(self) -> None:
        async def has_no_events(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x", last_event_id="5")
            self.assertEqual((200, b""), (response.status, response.body))
            self.assertTrue(response.complete)

        run_scenario(scenario, has_no_events)

    def test_an_unframed_stream_is_forwarded(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((200, events(1, 5)), (response.status, response.body))
            self.assertTrue(response.complete)

        run_scenario(scenario, _unframed_stream(events(1, 5)))

    def test_an_unframed_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((200, events(1, 5)), (response.status, response.body))

        script = first_then(_unframed_stream(events(1, 3) + b"id: 4\nda"), complete_stream)
        run_scenario(scenario, script, script)


class InternalErrorTest(testtools.TestCase):
    def test_an_unexpected_exception_is_answered(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async def raises(*args: object) -> AttemptResult:
                raise RuntimeError("fault of the relay")

            self.patch(relay.process._handler._sender, "try_engine", raises)
            response = await relay.send_request("/quick/x")
            self.assertEqual((500, True), (response.status, response.complete))
            self.assertEqual(9000, json.loads(response.body)["error"]["code"])

        run_scenario(scenario, complete_stream)


def _unframed_stream(body: bytes) -> HttpRequestHandler:
    """Returns a script whose response has no length and ends with its connection."""

    async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
        head = (
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-signature: s\r\n"
            f"x-attempt: {attempt_id_of(request)}\r\n\r\n"
        )
        await stream.send_all(head.encode() + body)
        return False

    return script
