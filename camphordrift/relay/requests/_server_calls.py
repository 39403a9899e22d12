"""The relay's own requests to backend servers: orders and requests for reports."""

from collections.abc import Callable
from typing import Optional

import trio

from camphordrift.relay.connections import ConnectionPool, SmallRequest, SmallResponse
from camphordrift.relay.model import BackendServer, HeaderFormat, ResponseMetadata
from camphordrift.relay.scheduling import RequestLimits
from camphordrift.relay.servers import ServerNotices

#: Gets a response's server, status and metadata, what it responds to, and when that was sent; see
#: :meth:`NoticeDistributor.observe`.
ResponseObserver = Callable[[BackendServer, int, ResponseMetadata, str, Optional[float]], None]


class ServerUnreachableError(OSError):
    """No connection to a server could be established."""


class ServerCalls:
    """Sends small requests to backend servers.

    Args:
        connections: Connections to backend servers.
        header_format: Parses the headers of the responses.
        notices: What the servers announced about further requests.
        limits: Limits of requests that the servers named.
        observe: Called with each response.
        on_limited_request: Called with the id of a limited server when a request is sent to it.

    """

    def __init__(
        self,
        connections: ConnectionPool,
        header_format: HeaderFormat,
        notices: ServerNotices,
        limits: RequestLimits,
        observe: ResponseObserver,
        on_limited_request: Callable[[str], None],
    ) -> None:
        self._connections = connections
        self._header_format = header_format
        self._notices = notices
        self._limits = limits
        self._observe = observe
        self._on_limited_request = on_limited_request

    def accepts_requests(self, server: BackendServer) -> bool:
        """Returns whether a server neither leaves nor pauses, and its limit permits a request."""
        now = trio.current_time()
        return (
            self._notices.accepts_requests(server, now)
            and self._limits.wait_time(server, now) == 0.0
        )

    def is_limited(self, server: BackendServer) -> bool:
        """Returns whether the requests to a server are limited, also because it is cold."""
        return self._limits.has_limit(server, trio.current_time())

    def is_pausing(self, server: BackendServer) -> bool:
        """Returns whether a server wants nothing from this VM for now."""
        return self._notices.pause_left(server, trio.current_time()) > 0.0

    async def check_connection(self, server: BackendServer) -> None:
        """Opens a connection and closes it again.

        Raises:
            TimeoutError: The server did not respond.
            OSError: The server refused the connection.

        """
        connection = await self._connections.acquire(server.host, server.port, force_new=True)
        connection.close()

    async def call(
        self, server: BackendServer, request: SmallRequest, purpose: str, idle_timeout: float
    ) -> SmallResponse:
        """Sends a request and returns the response.

        Args:
            server: The server.
            request: The request.
            purpose: What the request is, for the log.
            idle_timeout: Seconds for which the server keeps the connection open while it is idle.

        Raises:
            ServerUnreachableError: No connection could be established.
            BrokenAnswerError: The response was incomplete or malformed.
            OSError: The connection broke.

        """
        try:
            connection = await self._connections.acquire(server.host, server.port)
        except OSError as error:
            raise ServerUnreachableError(str(error)) from error
        if self.is_limited(server):
            self._on_limited_request(server.id)
        response: Optional[SmallResponse] = None
        try:
            response = await self._connections.exchange(
                server.host, server.port, connection, request, idle_timeout
            )
        finally:
            if response is None:
                self._connections.record_silence(server.host, server.port)
        metadata = self._header_format.response_metadata(response.headers)
        self._observe(server, response.status, metadata, purpose, None)
        return response
