"""Tests of servers that respond before they have read the whole body of a request."""

import socket
from typing import Optional

import pytest
import testtools
import trio

from camphordrift.relay.connections import HttpConnection
from camphordrift.relay.connections._byte_stream import ByteStream
from camphordrift.relay.tests.relay_harness import complete_stream, events, open_relay
from camphordrift.relay.tests.samples import ScriptedServer, server

#: Body of a request that does not fit into the buffers of a connection.
LONG_BODY = b"x" * 2_000_000

#: Seconds between a server's response and its reading of the body.
READING_DELAY = 0.3

#: Receive buffer in bytes of the servers' connections.
RECEIVE_BUFFER = 4096


class _UnreadStream(ByteStream):
    """A connection whose peer responds but reads nothing."""

    def __init__(self, response: bytes) -> None:
        self._response = response

    async def send_all(self, data: bytes) -> None:
        await trio.sleep_forever()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._response

    def is_readable(self) -> bool:
        return False

    def abort(self) -> None:
        pass


class ReuseTest(testtools.TestCase):
    def test_a_connection_with_an_unfinished_request_is_not_reusable(self) -> None:
        # Guards against the next request being sent where the rest of the body is due.
        async def main() -> None:
            response = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"
            connection = HttpConnection(_UnreadStream(response))
            async with trio.open_nursery() as nursery:
                headers = [(b"host", b"a"), (b"content-length", b"4")]
                data = connection.encode(b"POST", b"/", headers, b"body")
                nursery.start_soon(connection.send, data)
                await connection.receive_head()
                self.assertIsNone(await connection.receive_data())
                nursery.cancel_scope.cancel()
            self.assertFalse(connection.reusable)

        trio.run(main)


class EarlyServer(ScriptedServer):
    """Responds to requests after their heads, keeps the connections, and reads the bodies later.

    Args:
        response: The response to requests with long bodies, in which ID stands for the id of the
            attempt.
        service: Service of the server.

    """

    def __init__(self, response: bytes, service: str) -> None:
        super().__init__(server(0, service, port=0), complete_stream)
        self._response = response
        #: What arrived where the body of a request was due, for each request.
        self.bodies: list[bytearray] = []

    async def _serve(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        unread = b""
        while data := await _receive(stream):
            unread += data
            while b"\r\n\r\n" in unread:
                unread = await self._answer(stream, unread)

    async def _answer(self, stream: trio.SocketStream, received: bytes) -> bytes:
        """Answers the request that begins here; returns what follows it."""
        head, _, rest = received.partition(b"\r\n\r\n")
        lines = dict(line.partition(b": ")[::2] for line in head.split(b"\r\n"))
        length = int(lines.get(b"content-length", b"0"))
        response = self._response if length else SUCCESS
        if head.startswith(b"GET /report "):
            response = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n0 0"
        await stream.send_all(response.replace(b"ID", lines.get(b"x-attempt", b"")))
        if not length:
            return rest
        body = bytearray(rest)
        self.bodies.append(body)
        # The relay may send the next request meanwhile.
        await trio.sleep(READING_DELAY)
        while len(body) < length and (data := await _receive(stream)):
            body += data
        rest = bytes(body[length:])
        del body[length:]
        return rest


async def _receive(stream: trio.SocketStream) -> bytes:
    try:
        return bytes(await stream.receive_some(65536))
    except trio.BrokenResourceError:
        return b""


#: A rejection, and a complete response.
REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-attempt: ID\r\n"
    b"keep-alive: timeout=30\r\ncontent-length: 0\r\n\r\n"
)
SUCCESS = (
    b"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: ID\r\nkeep-alive: timeout=30\r\n"
    b"content-length: %d\r\n\r\n%s" % (len(events(1, 2)), events(1, 2))
)


@pytest.mark.sockets
class RelayTest(testtools.TestCase):
    """Guards against requests that are smuggled into the body of another one."""

    def check(self, response: bytes, path: str, service: str) -> None:
        early = EarlyServer(response, service)

        async def main() -> None:
            async with open_relay([early]) as relay:
                for number in range(2):
                    await relay.send_request(path, f"long-{number}", LONG_BODY)
                    await relay.send_request(path, f"short-{number}")
                await trio.sleep(2 * READING_DELAY)

        trio.run(main)
        self.assertTrue(any(early.bodies))
        for body in early.bodies:
            self.assertEqual(b"", bytes(body).strip(b"x"))

    def test_rejected_requests_to_a_plain_service(self) -> None:
        self.check(REJECTION, "/look/x", "office")

    def test_complete_responses_of_a_plain_service(self) -> None:
        self.check(SUCCESS, "/look/x", "office")

    def test_rejected_requests_to_engines(self) -> None:
        self.check(REJECTION, "/quick/x", "engines")
