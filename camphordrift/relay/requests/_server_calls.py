"""The relay's own requests to backend servers: orders and requests for reports."""

from collections.abc import Callable
from typing import Optional

import trio

from camphordrift.relay.connections import (
    BrokenAnswerError,
    ConnectionPool,
    NoPathError,
    SmallRequest,
    SmallResponse,
)
from camphordrift.relay.model import Address, BackendServer, HeaderFormat, ResponseMetadata
from camphordrift.relay.scheduling import RequestLimits
from camphordrift.relay.servers import ServerNotices, ZoneEvacuations

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
        evacuations: Zones whose servers must get no requests.
        limits: Limits of requests that the servers named.
        observe: Called with each response.
        on_limited_request: Called with the id of a limited server when a request is sent to it.

    """

    def __init__(
        self,
        connections: ConnectionPool,
        header_format: HeaderFormat,
        notices: ServerNotices,
        evacuations: ZoneEvacuations,
        limits: RequestLimits,
        observe: ResponseObserver,
        on_limited_request: Callable[[str], None],
    ) -> None:
        self._connections = connections
        self._header_format = header_format
        self._notices = notices
        self._evacuations = evacuations
        self._limits = limits
        self._observe = observe
        self._on_limited_request = on_limited_request

    def accepts_requests(self, server: BackendServer) -> bool:
        """Returns whether a server takes a request now.

        It must neither leave nor pause, its limit must permit a request, and its zone must not be
        evacuated.
        """
        now = trio.current_time()
        return (
            not self._evacuations.is_evacuated(server)
            and self._notices.accepts_requests(server, now)
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
            NoPathError: No connection could be established, and the server may be sound.
            ServerUnreachableError: No connection could be established.
            BrokenAnswerError: The response was incomplete or malformed, or belongs to a caller's
                request.
            OSError: The connection broke.

        """
        try:
            connection = await self._connections.acquire(server.host, server.port)
        except NoPathError:
            raise
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
        if metadata.attempt_id:
            self._connections.close_idle(Address(server.host, server.port))
            raise BrokenAnswerError("the response belongs to a request of a caller")
        self._observe(server, response.status, metadata, purpose, None)
        return response
