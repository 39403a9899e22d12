"""Tests of idle connections to servers."""

from typing import Optional

import testtools
import trio

from camphordrift.relay.connections import ByteStream, ConnectionPool, SmallRequest

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class _AnsweringStream(ByteStream):
    """A connection over which a response has arrived."""

    def __init__(self) -> None:
        self._received = [RESPONSE]
        self.is_closed = False

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._received.pop()

    def is_readable(self) -> bool:
        return False

    def abort(self) -> None:
        self.is_closed = True


class IdleConnectionsTest(testtools.TestCase):
    def test_no_more_connections_are_kept_than_permitted(self) -> None:
        # Guards against descriptors that idle connections use up after many requests at once.
        streams: list[_AnsweringStream] = []

        async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
            streams.append(_AnsweringStream())
            return streams[-1]

        async def main() -> int:
            pool = ConnectionPool(1.0, open_stream, max_idle=3)
            connections = [await pool.acquire(f"10.0.0.{n % 2}", 80) for n in range(5)]
            for number, connection in enumerate(connections):
                request = SmallRequest(b"GET", b"/", [(b"host", b"a")])
                await pool.exchange(f"10.0.0.{number % 2}", 80, connection, request, 10.0)
            return pool.idle_count

        self.assertEqual(3, trio.run(main))
        self.assertEqual([False] * 3 + [True] * 2, [stream.is_closed for stream in streams])
