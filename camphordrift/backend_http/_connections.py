"""HTTP requests to backend servers and platform services, over httpcore."""

import ssl
from collections.abc import AsyncGenerator, AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Optional

import httpcore
import trio

from camphordrift.backend_http._checked_backend import CheckedBackend
from camphordrift.backend_http._gated_backend import AuthorizeSending, GatedBackend
from camphordrift.backend_servers import (
    BackendSilentError,
    BackendUnreachableError,
    StreamBrokenError,
)

#: Maximum number of idle connections kept open to each server address.
MAX_IDLE_CONNECTIONS = 64

#: Seconds after which an idle connection is closed. A network device on the path may drop the state
#: of an idle connection without closing it.
KEEPALIVE_SECONDS = 5.0

#: Seconds to wait for a connection from a pool. Pools have no connection limit, so a request never
#: waits this long.
POOL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class HttpTimeouts:
    """Timeouts of the steps of an HTTP request."""

    #: Timeout in seconds for opening a connection.
    connect_seconds: float = 1.0

    #: Timeout in seconds for the first byte of the response.
    first_byte_seconds: float = 30.0

    #: Timeout in seconds for each further read of the response, and for each write.
    between_bytes_seconds: float = 5.0

    def __post_init__(self) -> None:
        if min(self.connect_seconds, self.first_byte_seconds, self.between_bytes_seconds) <= 0:
            raise ValueError(f"timeouts must be positive: {self}")


@dataclass(frozen=True)
class HttpResponse:
    """A complete response to an HTTP request."""

    #: The HTTP status code.
    status: int

    #: The header values by lower-case name.
    headers: Mapping[str, str]

    #: The complete body.
    body: bytes


@dataclass(frozen=True)
class HttpCall:
    """An HTTP request to a backend server or a platform service."""

    #: The HTTP method, such as ``POST``.
    method: str

    #: Scheme, host and port, such as ``http://127.0.0.1:9001``.
    base_url: str

    #: Path and query string.
    target: str

    #: The body; empty if the request has none.
    body: bytes = b""

    #: Headers other than ``Host`` and ``Content-Length``, which are added when sending.
    headers: tuple[tuple[str, str], ...] = ()


class HttpStream:
    """A response whose body is still being received."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """The header values by lower-case name."""
        return {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self._response.headers
        }

    @property
    def parts(self) -> AsyncGenerator[bytes, None]:
        """The body in parts as they are received. Close the generator if it is not exhausted."""
        return self._read_parts()

    async def _read_parts(self) -> AsyncGenerator[bytes, None]:
        async for part in self._response.aiter_stream():
            yield part


@contextmanager
def _translated_errors(call: HttpCall) -> Iterator[None]:
    request = f"{call.method} {call.base_url}{call.target}"
    try:
        yield
    except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
        raise BackendUnreachableError(f"{request}: cannot connect: {error}") from error
    except (httpcore.ReadTimeout, httpcore.WriteTimeout) as error:
        raise BackendSilentError(f"{request}: read or write timed out") from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise StreamBrokenError(f"{request}: connection failed: {error}") from error


_DEFAULT_TIMEOUTS = HttpTimeouts()


class HttpConnections:
    """Sends HTTP requests over pooled connections, or over a new one that is used only once.

    The errors distinguish whether a byte of the request may have been sent. Send a request that
    must not be retried over a new connection (:meth:`fetch_gated`). A pooled connection may no
    longer reach the server, and then it would be unknown whether the request ran.
    """

    def __init__(
        self,
        timeouts: HttpTimeouts = _DEFAULT_TIMEOUTS,
        ssl_context: Optional[ssl.SSLContext] = None,
    ) -> None:
        self._timeouts = timeouts
        self._ssl_context = ssl_context
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def _pool_for(self, call: HttpCall) -> httpcore.AsyncConnectionPool:
        """Returns the connection pool of the server that ``call`` is for.

        Each server has its own pool, because httpcore scans all connections of a pool for each
        request.
        """
        pool = self._pools.get(call.base_url)
        if pool is None:
            pool = self._make_pool(KEEPALIVE_SECONDS, CheckedBackend())
            self._pools[call.base_url] = pool
        return pool

    def _make_pool(
        self, keepalive_seconds: float, network_backend: httpcore.AsyncNetworkBackend
    ) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            ssl_context=self._ssl_context,
            max_connections=None,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=keepalive_seconds,
            retries=0,
            network_backend=network_backend,
        )

    async def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def fetch(self, call: HttpCall, timeout_seconds: float) -> HttpResponse:
        """Sends ``call`` and returns the complete response.

        ``timeout_seconds`` limits each read and write, not the complete exchange. Raises
        ``BackendUnreachableError`` if no connection could be opened, so that no byte was sent;
        ``BackendSilentError`` if a read or write timed out; and ``StreamBrokenError`` if the
        connection failed after it was opened.
        """
        return await self._fetch(self._pool_for(call), call, timeout_seconds)

    async def fetch_gated(
        self, call: HttpCall, timeout_seconds: float, authorize: AuthorizeSending
    ) -> HttpResponse:
        """Sends ``call`` over a new connection if ``authorize`` permits it.

        ``authorize`` is called once the connection is open, immediately before the first byte is
        written. Raises ``SendRefusedError`` if it refuses, and otherwise the same errors as
        :meth:`fetch`.
        """
        pool = self._make_pool(0.0, GatedBackend(authorize))
        try:
            return await self._fetch(pool, call, timeout_seconds)
        finally:
            with trio.CancelScope(shield=True):
                await pool.aclose()

    async def _fetch(
        self, pool: httpcore.AsyncConnectionPool, call: HttpCall, timeout_seconds: float
    ) -> HttpResponse:
        async with self._stream(pool, call, timeout_seconds) as response:
            body = b"".join([part async for part in response.parts])
        return HttpResponse(response.status, response.headers, body)

    @asynccontextmanager
    async def stream(
        self, call: HttpCall, timeout_seconds: Optional[float] = None
    ) -> AsyncIterator[HttpStream]:
        """Sends ``call`` and yields the response as soon as its headers are received.

        Raises the same errors as :meth:`fetch`.
        """
        async with self._stream(self._pool_for(call), call, timeout_seconds) as response:
            yield response

    @asynccontextmanager
    async def _stream(
        self,
        pool: httpcore.AsyncConnectionPool,
        call: HttpCall,
        timeout_seconds: Optional[float],
    ) -> AsyncIterator[HttpStream]:
        timeouts = self._first_byte_timeouts(timeout_seconds)
        with _translated_errors(call):
            async with pool.stream(
                call.method,
                call.base_url + call.target,
                headers=self._headers(call),
                content=call.body or None,
                extensions={"timeout": timeouts},
            ) as response:
                # httpcore reads this dictionary before each read, so the new value applies now.
                timeouts["read"] = min(timeouts["read"], self._timeouts.between_bytes_seconds)
                yield HttpStream(response)

    def _headers(self, call: HttpCall) -> list[tuple[str, str]]:
        headers = list(call.headers)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(call.body))))
        return headers

    def _first_byte_timeouts(self, timeout_seconds: Optional[float]) -> dict[str, float]:
        limit = float("inf") if timeout_seconds is None else timeout_seconds
        first_byte = min(self._timeouts.first_byte_seconds, limit)
        return {
            "connect": min(self._timeouts.connect_seconds, limit),
            "pool": POOL_TIMEOUT_SECONDS,
            "read": first_byte,
            "write": min(self._timeouts.between_bytes_seconds, limit),
        }
