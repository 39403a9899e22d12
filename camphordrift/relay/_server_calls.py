"""The relay's own requests to backend servers: orders and requests for reports."""

from collections.abc import Callable

import trio

from camphordrift.relay._http_client import ConnectionPool, SmallRequest, SmallResponse
from camphordrift.relay._interfaces import HeaderFormat
from camphordrift.relay._server_notices import ServerNotices
from camphordrift.relay._values import BackendServer, ResponseMetadata

#: Gets each response's server, status and metadata, and what it responds to.
ResponseObserver = Callable[[BackendServer, int, ResponseMetadata, str], None]


class ServerUnreachableError(OSError):
    """No connection to a server could be established."""


class ServerCalls:
    """Sends small requests to backend servers.

    Args:
        connections: Connections to backend servers.
        header_format: Parses the headers of the responses.
        notices: What the servers announced about further requests.
        observe: Called with each response.

    """

    def __init__(
        self,
        connections: ConnectionPool,
        header_format: HeaderFormat,
        notices: ServerNotices,
        observe: ResponseObserver,
    ) -> None:
        self._connections = connections
        self._header_format = header_format
        self._notices = notices
        self._observe = observe

    def accepts_requests(self, server: BackendServer) -> bool:
        """Returns whether a server neither leaves nor pauses."""
        return self._notices.accepts_requests(server, trio.current_time())

    def is_pausing(self, server: BackendServer) -> bool:
        """Returns whether a server wants nothing from this VM for now."""
        return self._notices.pause_left(server, trio.current_time()) > 0.0

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
        response = await self._connections.exchange(
            server.host, server.port, connection, request, idle_timeout
        )
        metadata = self._header_format.response_metadata(response.headers)
        self._observe(server, response.status, metadata, purpose)
        return response
