"""The relay's own requests to backend servers: orders and requests for reports."""

from collections.abc import Callable

from camphordrift.relay._http_client import ConnectionPool, SmallRequest, SmallResponse
from camphordrift.relay._interfaces import HeaderFormat
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
        observe: Called with each response.
        accepts_requests: Returns whether a server has not asked to get no more requests.

    """

    def __init__(
        self,
        connections: ConnectionPool,
        header_format: HeaderFormat,
        observe: ResponseObserver,
        accepts_requests: Callable[[BackendServer], bool],
    ) -> None:
        self._connections = connections
        self._header_format = header_format
        self._observe = observe
        self.accepts_requests = accepts_requests

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
