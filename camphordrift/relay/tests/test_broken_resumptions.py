"""Tests of streams that break off and whose next server responds with something else."""

import pytest
import testtools
import trio

from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    RelayHarness,
    chunk,
    complete_stream,
    events,
    first_then,
    plain_response,
    rejects_request,
    run_scenario,
    stream_head,
    truncates,
)
from camphordrift.relay.tests.samples import ScriptedServer
from camphordrift.testing import HttpRequest, HttpRequestHandler

pytestmark = pytest.mark.sockets

#: What the first server sends before it ends the connection.
BEGINNING = events(1, 3)

ERROR_TEXT = b"the engine failed\n\nid: 4\ndata: no token\n\n"


def _responds(status: str, body: bytes, content_type: str = "text/plain") -> HttpRequestHandler:
    async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
        response = plain_response(request, status, body)
        head, _, rest = response.partition(b"\r\n")
        line = f"content-type: {content_type}\r\n".encode()
        await stream.send_all(head + b"\r\n" + line + rest)
        return True

    return respond


def _sends(data: bytes) -> HttpRequestHandler:
    async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
        await stream.send_all(data)
        return False

    return respond


def _streams(data: bytes) -> HttpRequestHandler:
    async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
        await stream.send_all(stream_head(request) + chunk(data) + b"0\r\n\r\n")
        return True

    return respond


class ResumptionTest(testtools.TestCase):
    """Guards against an error in the middle of a stream, or a broken stream that looks complete."""

    def run_stream(self, first: HttpRequestHandler, then: HttpRequestHandler) -> CallerResponse:
        responses: list[CallerResponse] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            responses.append(await relay.send_request("/quick/x"))

        script = first_then(first, then)
        run_scenario(scenario, script, script)
        return responses[0]

    def check_broken_off(self, then: HttpRequestHandler) -> None:
        response = self.run_stream(truncates, then)
        self.assertEqual(
            (200, BEGINNING, False), (response.status, response.body, response.complete)
        )

    def test_failures(self) -> None:
        for status in ("500 Failed", "502 Bad Gateway", "404 Not Found", "400 Bad", "302 Found"):
            self.check_broken_off(_responds(status, ERROR_TEXT))
            self.check_broken_off(_responds(status, ERROR_TEXT, "text/event-stream"))

    def test_rejections(self) -> None:
        self.check_broken_off(rejects_request)
        self.check_broken_off(_responds("421 Misdirected Request", ERROR_TEXT))

    def test_successes_of_another_type(self) -> None:
        self.check_broken_off(_responds("200 OK", ERROR_TEXT))
        self.check_broken_off(_responds("200 OK", b'{"error": "failed"}', "application/json"))
        self.check_broken_off(_responds("200 OK", b""))

    def test_successes_with_another_status(self) -> None:
        self.check_broken_off(_responds("206 Partial Content", events(4, 5), "text/event-stream"))
        self.check_broken_off(_responds("204 No Content", b"", "text/event-stream"))

    def test_bytes_that_are_no_response(self) -> None:
        self.check_broken_off(_sends(ERROR_TEXT))
        self.check_broken_off(_sends(events(4, 5)))
        self.check_broken_off(_sends(b"HTTP/1.1 500 Failed\r\n"))

    def test_event_without_an_id(self) -> None:
        self.check_broken_off(_streams(b"data: the engine failed\n\n"))

    def test_a_stream_without_ids_is_not_begun_again(self) -> None:
        async def truncates_without_ids(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(b"data: a\n\ndata: b\n\n"))
            return False

        response = self.run_stream(truncates_without_ids, _streams(b"data: a\n\ndata: b\n\n"))
        self.assertEqual((b"data: a\n\ndata: b\n\n", False), (response.body, response.complete))

    def test_comments_are_no_events(self) -> None:
        async def comments(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(b": wait\n\n" + events(1, 2)))
            return False

        async def comments_again(request: HttpRequest, stream: trio.SocketStream) -> bool:
            body = chunk(b": wait\n\n" + events(3, 5)) + b"0\r\n\r\n"
            await stream.send_all(stream_head(request) + body)
            return True

        response = self.run_stream(comments, comments_again)
        self.assertTrue(response.complete)
        self.assertEqual(events(1, 5), response.body.replace(b": wait\n\n", b""))

    def test_a_complete_resumption(self) -> None:
        response = self.run_stream(truncates, complete_stream)
        self.assertEqual((events(1, 5), True), (response.body, response.complete))
