"""Opens connections to backend servers and to the store, and keeps idle ones for reuse."""

import math
from collections.abc import Awaitable, Callable
from typing import Optional

import trio

from camphordrift.relay.connections._byte_stream import ByteStream, SocketByteStream, connect
from camphordrift.relay.connections._http_client import (
    HttpConnection,
    SmallRequest,
    SmallResponse,
)
from camphordrift.relay.model import Address

#: Seconds subtracted from a server's keep-alive timeout, to allow for clock drift and network
#: latency.
IDLE_MARGIN = 0.5

#: Timeout in seconds for connecting to a backend server.
BACKEND_CONNECT_TIMEOUT = 0.5


async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
    """Opens a connection to an IP address over this VM's own path.

    Raises:
        OSError: The connection failed, or was not established within ``timeout`` seconds.

    """
    return SocketByteStream(await connect(host, port, timeout))


#: Opens a connection to a host and port within a timeout in seconds; raises ``OSError``.
OpenStream = Callable[[str, int, float], Awaitable[ByteStream]]


class ConnectionPool:
    """Pool of idle connections by server address; the most recently used one is reused first.

    Args:
        connect_timeout: Seconds within which a new connection must be established.
        open_stream: Opens a new connection; over this VM's own path by default.
        on_silence: Called with the host and port of a server that was silent on a connection.
        max_idle: Maximum number of idle connections; further ones are closed after use.

    """

    def __init__(
        self,
        connect_timeout: float,
        open_stream: OpenStream = open_stream,
        on_silence: Callable[[str, int], None] = lambda host, port: None,
        max_idle: float = math.inf,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._open_stream = open_stream
        self.record_silence = on_silence
        self._max_idle = max_idle
        self._idle_connections: dict[tuple[str, int], list[HttpConnection]] = {}

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle_connections.values()))

    async def acquire(self, host: str, port: int, force_new: bool = False) -> HttpConnection:
        """Returns an idle connection, or a new one.

        Args:
            host: IP address of the server.
            port: Port of the server.
            force_new: Whether to open a new connection instead of reusing one, which the server
                may be about to close.

        Raises:
            OSError: No connection could be established.

        """
        idle_connections = self._idle_connections.get((host, port), [])
        while idle_connections and not force_new:
            connection = idle_connections.pop()
            if connection.usable_until > trio.current_time() and connection.is_idle():
                connection.start_next_request()
                return connection
            connection.close()
        return HttpConnection(await self._open_stream(host, port, self._connect_timeout))

    def close_idle(self, server: Optional[Address]) -> None:
        """Closes idle connections to a server, or to all servers, as they may hang if reused."""
        addresses = list(self._idle_connections) if server is None else [(server.host, server.port)]
        for address in addresses:
            for connection in self._idle_connections.pop(address, []):
                connection.close()

    async def exchange(
        self,
        host: str,
        port: int,
        connection: HttpConnection,
        request: SmallRequest,
        idle_timeout: float,
    ) -> SmallResponse:
        """Sends a small request on an acquired connection, and releases the connection.

        Args:
            host: IP address of the server.
            port: Port of the server.
            connection: The connection; closed unless the response is complete.
            request: The request.
            idle_timeout: Seconds for which the server keeps the connection open while it is idle.

        Raises:
            BrokenAnswerError: The response was incomplete or malformed.
            OSError: The connection broke.

        """
        kept_open = 0.0
        try:
            response = await connection.exchange(request)
            kept_open = idle_timeout
            return response
        finally:
            self.release(host, port, connection, kept_open)

    def release(
        self, host: str, port: int, connection: HttpConnection, idle_timeout: float
    ) -> None:
        """Returns a connection to the pool after use.

        Args:
            host: IP address of the server.
            port: Port of the server.
            connection: The connection; closed if it cannot be reused.
            idle_timeout: Seconds for which the server keeps the connection open while it is idle.

        """
        is_kept = connection.reusable and idle_timeout > IDLE_MARGIN
        if not is_kept or self.idle_count >= self._max_idle:
            connection.close()
            return
        connection.usable_until = trio.current_time() + idle_timeout - IDLE_MARGIN
        self._idle_connections.setdefault((host, port), []).append(connection)

    def close_expired(self) -> None:
        """Closes connections that exceeded their idle timeout or were closed by the server."""
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
