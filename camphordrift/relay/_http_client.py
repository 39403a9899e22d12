"""HTTP/1.1 connections to backend servers and to the store.

They are h11 on trio streams: the relay has to know whether a byte of a request can have been sent,
whether the answer came before the whole body went out, and whether bytes follow an answer. httpcore
keeps these to itself.
"""

from collections.abc import Sequence
from typing import Optional

import h11
import trio

from camphordrift.relay._byte_stream import READ_SIZE, close_with_reset, connect, is_readable

#: Largest head of an answer, in bytes.
MAX_HEAD_SIZE = 65536

#: Seconds taken off the idle time that a server states, for its clock and the way.
IDLE_MARGIN = 0.5


class BrokenAnswerError(Exception):
    """The connection ended, or carried something that is not the answer."""


class HttpConnection:
    """One connection; carries one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_SIZE)
        #: Moment after which the connection must not be used again.
        self.usable_until = float("inf")

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and not self._protocol.trailing_data[0]
        )

    def is_idle(self) -> bool:
        """Tells whether nothing has arrived since the last answer."""
        return not is_readable(self._stream)

    def start_next_request(self) -> None:
        """Prepares for another request."""
        self._protocol.start_next_cycle()

    async def send(
        self, method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a request; may take as long as the server takes to read it.

        Raises:
            OSError: The connection broke.

        """
        request = h11.Request(method=method, target=target, headers=list(headers))
        data = self._protocol.send(request)
        if body:
            data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionError("the server closed the connection") from error

    async def exchange(
        self, method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> tuple[int, bytes]:
        """Sends a small request and returns the status and body of the whole answer.

        Raises:
            BrokenAnswerError: The answer broke off.
            OSError: The connection broke.

        """
        await self.send(method, target, headers, body)
        head = await self.receive_head()
        content = bytearray()
        while (chunk := await self.receive_data()) is not None:
            content += chunk
        return head.status_code, bytes(content)

    async def receive_head(self) -> h11.Response:
        """Returns the status line and headers of the answer.

        Raises:
            BrokenAnswerError: The connection ended first.

        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the connection ended before the answer")

    async def receive_data(self) -> Optional[bytes]:
        """Returns a piece of the body; ``None`` at its end.

        Raises:
            BrokenAnswerError: The answer broke off.

        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError("the answer broke off")

    def close(self) -> None:
        """Closes at once, which tells the server to stop its work."""
        close_with_reset(self._stream)

    async def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self._protocol.next_event()
                if isinstance(event, h11.Event):
                    return event
                self._protocol.receive_data(await self._stream.receive_some(READ_SIZE))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise BrokenAnswerError("the connection was reset") from error
        except h11.RemoteProtocolError as error:
            raise BrokenAnswerError(f"not an HTTP answer: {error}") from error


async def open_connection(host: str, port: int, timeout: float) -> HttpConnection:
    """Opens a connection.

    Raises:
        OSError: It was refused, or not made within ``timeout`` seconds.

    """
    return HttpConnection(await connect(host, port, timeout))


class ConnectionPool:
    """Quiet connections to servers, by address; the most recent is used first."""

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._idle_connections: dict[tuple[str, int], list[HttpConnection]] = {}

    async def acquire(self, host: str, port: int, force_new: bool = False) -> HttpConnection:
        """Returns a connection that is ready for a request.

        Args:
            host: IP number of the server.
            port: Port of the server.
            force_new: Whether to open a new connection instead of reusing one, which the server
                may be about to close.

        Raises:
            OSError: No connection could be made.

        """
        idle_connections = self._idle_connections.get((host, port), [])
        while idle_connections and not force_new:
            connection = idle_connections.pop()
            if connection.usable_until > trio.current_time() and connection.is_idle():
                connection.start_next_request()
                return connection
            connection.close()
        return await open_connection(host, port, self._connect_timeout)

    def release(self, host: str, port: int, connection: HttpConnection, idle: float) -> None:
        """Takes a connection back after a whole answer.

        Args:
            host: IP number of the server.
            port: Port of the server.
            connection: The connection; closed if it cannot carry another request.
            idle: Seconds for which it may stay quiet.

        """
        if not connection.reusable or idle <= IDLE_MARGIN:
            connection.close()
            return
        connection.usable_until = trio.current_time() + idle - IDLE_MARGIN
        self._idle_connections.setdefault((host, port), []).append(connection)

    def close_expired(self) -> None:
        """Closes connections that were quiet for too long or that the server has closed."""
        now = trio.current_time()
        for address, idle_connections in list(self._idle_connections.items()):
            kept = [item for item in idle_connections if item.usable_until > now and item.is_idle()]
            for connection in idle_connections:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle_connections[address] = kept
            else:
                del self._idle_connections[address]
