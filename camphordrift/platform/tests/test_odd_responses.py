"""Tests of odd bytes from servers, over sockets and with the platform's headers."""

from unittest import mock

import pytest
import testtools
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from camphordrift.platform.tests.test_numbers_of_callers import (
    platform_adapters,
    platform_stream,
    request_with,
)
from camphordrift.relay.tests import relay_harness
from camphordrift.relay.tests.log_lines import LogLines
from camphordrift.relay.tests.relay_harness import events, open_relay, read_response
from camphordrift.relay.tests.samples import ScriptedServer, server
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: A response as it should be, in pieces between which something may be inserted.
SOUND = (
    b"HTTP/1.1 200 OK\r\n",
    b"camphordrift-attempt-id: a1\r\n",
    b"camphordrift-engine-signature: s\r\n",
    b"content-type: text/event-stream\r\n",
    b"transfer-encoding: chunked\r\n",
    b"\r\n",
    b"13\r\nid: 1\ndata: token\n\n\r\n",
    b"0\r\n\r\n",
)

#: What servers may send in another place than it should be.
ODD = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 101 Switch\r\n\r\n",
    b"HTTP/1.1 204 No\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\n",
    b"HTTP/1.1 099 X\r\n",
    b"HTTP/9.9 200\r\n",
    b"content-length: 5\r\n",
    b"content-length: -1\r\n",
    b"content-length: 99999999999\r\n",
    b"content-encoding: gzip\r\n",
    b"connection: close\r\n",
    b"camphordrift-attempt-id: a2\r\n",
    b"camphordrift-not-executed: 1\r\n",
    b"server-leaving: 1\r\n",
    b"server-limit: 0\r\n",
    b"retry-after: 1\r\n",
    b"keep-alive: timeout\r\n",
    b"at-server: \xff\r\n",
    b"\r\n",
    b"\n\n",
    b"\0",
    b"ffffffffffffffffffffff\r\n",
    b"5\r\nid: x\r\n",
    b"id: " + b"9" * 5000 + b"\n\n",
)

PIECES = st.one_of(st.sampled_from(SOUND), st.sampled_from(ODD), st.binary(max_size=8))


async def talk(case: testtools.TestCase, pieces: list[bytes], closes: bool) -> None:
    """Sends a request to a server that responds with some pieces, and checks what follows."""

    async def odd(request: HttpRequest, stream: trio.SocketStream) -> bool:
        for piece in pieces:
            await stream.send_all(piece)
        if not closes:
            # Longer than the caller waits.
            await trio.sleep(3.0)
        return False

    servers = [
        ScriptedServer(server(0, "office", port=0), odd),
        ScriptedServer(server(0, port=0), platform_stream),
    ]
    async with open_relay(servers) as relay:
        with LogLines() as lines:
            for path in (b"/book/", b"/look/"):
                stream = await relay.connect()
                request = request_with("camphordrift-deadline-ms", "150")
                await stream.send_all(request.replace(b"/quick/", path))
                response = await read_response(stream)
                case.assertTrue(response.complete or response.status in (0, 200), response)
            stream = await relay.connect()
            await stream.send_all(request_with("x-other", "1"))
            response = await read_response(stream)
        case.assertEqual((200, events(1, 5)), (response.status, response.body))
        case.assertNotIn("request_failed", lines.events)
        case.assertNotIn("caller_connection_failed", lines.events)
        case.assertTrue(len(lines.events) < 40, lines.events)


class AnyResponseTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.lists(PIECES, max_size=8), st.booleans(), st.booleans())
    @example([], False, True)
    def test_any_bytes_of_a_server_harm_no_other_request(
        self, pieces: list[bytes], begins_soundly: bool, closes: bool
    ) -> None:
        # Guards against exceptions that close the caller's connection, or end the process.
        sound = list(SOUND[:5]) if begins_soundly else []
        with mock.patch.object(relay_harness, "adapters", platform_adapters):
            trio.run(talk, self, sound + pieces, closes)
