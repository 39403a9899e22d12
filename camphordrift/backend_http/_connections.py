"""HTTP connections to backend servers and to the platform, over httpcore."""

import ssl
from collections.abc import AsyncGenerator, AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Optional

import httpcore
import trio

from camphordrift.backend_http._gated_backend import AuthorizeSending, GatedBackend
from camphordrift.backend_servers import (
    BackendSilentError,
    BackendUnreachableError,
    StreamBrokenError,
)

#: Connections kept open for each backend server's address.
MAX_IDLE_CONNECTIONS = 64

#: A connection unused for this long is closed, since something on the way may have forgotten it.
KEEPALIVE_SECONDS = 5.0

#: Time to get a place in the pool, which has no bound that could be reached.
POOL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class HttpTimeouts:
    """How long a connection may be silent."""

    #: Time to make a connection, in seconds.
    connect_seconds: float = 1.0

    #: Time without a byte before an answer begins, in seconds.
    first_byte_seconds: float = 30.0

    #: Time without a byte within an answer, in seconds.
    between_bytes_seconds: float = 5.0

    def __post_init__(self) -> None:
        if min(self.connect_seconds, self.first_byte_seconds, self.between_bytes_seconds) <= 0:
            raise ValueError(f"timeouts must be positive: {self}")


@dataclass(frozen=True)
class HttpResponse:
    """A whole answer to an HTTP request."""

    #: The HTTP status.
    status: int

    #: Header names in lower case.
    headers: Mapping[str, str]

    #: The body.
    body: bytes


@dataclass(frozen=True)
class HttpCall:
    """An HTTP request to a backend server."""

    #: Such as ``POST``.
    method: str

    #: Such as ``http://127.0.0.1:9001``.
    base_url: str

    #: Path and query.
    target: str

    #: The body; empty for none.
    body: bytes = b""

    #: Header lines besides ``Host`` and ``Content-Length``.
    headers: tuple[tuple[str, str], ...] = ()


class HttpStream:
    """An answer that is still arriving."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Header names in lower case."""
        return {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self._response.headers
        }

    @property
    def parts(self) -> AsyncGenerator[bytes, None]:
        """The body's bytes as they arrive. Close the generator if you leave it early."""
        return self._read_parts()

    async def _read_parts(self) -> AsyncGenerator[bytes, None]:
        async for part in self._response.aiter_stream():
            yield part


@contextmanager
def _translated_errors(call: HttpCall) -> Iterator[None]:
    where = f"{call.method} {call.base_url}{call.target}"
    try:
        yield
    except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
        raise BackendUnreachableError(f"{where}: no connection: {error}") from error
    except (httpcore.ReadTimeout, httpcore.WriteTimeout) as error:
        raise BackendSilentError(f"{where}: no byte for too long") from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise StreamBrokenError(f"{where}: the connection broke: {error}") from error


_DEFAULT_TIMEOUTS = HttpTimeouts()


class HttpConnections:
    """Sends requests and tells apart failures before and after the first byte was sent.

    A request that may not be repeated goes over a connection of its own (:meth:`fetch_gated`): a
    pooled one may have gone silent, and the request would be lost in it without anyone knowing
    whether it ran.
    """

    def __init__(
        self,
        timeouts: HttpTimeouts = _DEFAULT_TIMEOUTS,
        ssl_context: Optional[ssl.SSLContext] = None,
    ) -> None:
        self._timeouts = timeouts
        self._ssl_context = ssl_context
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def _pool_of(self, call: HttpCall) -> httpcore.AsyncConnectionPool:
        """Returns the pool of one server; the library looks through a whole pool each time."""
        pool = self._pools.get(call.base_url)
        if pool is None:
            pool = self._make_pool(KEEPALIVE_SECONDS)
            self._pools[call.base_url] = pool
        return pool

    def _make_pool(
        self,
        keepalive_seconds: float,
        network_backend: Optional[httpcore.AsyncNetworkBackend] = None,
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
        """Sends ``call`` and returns the whole answer.

        Raises ``BackendUnreachableError`` if no byte was sent, ``BackendSilentError`` if nothing
        came for ``timeout_seconds``, and ``StreamBrokenError`` otherwise.
        """
        return await self._fetch(self._pool_of(call), call, timeout_seconds)

    async def fetch_gated(
        self, call: HttpCall, timeout_seconds: float, authorize: AuthorizeSending
    ) -> HttpResponse:
        """Sends ``call`` over a connection of its own, after ``authorize`` permitted it.

        ``authorize`` is asked once the connection stands, right before the first byte. Raises
        ``SendRefusedError`` if it refuses, and what :meth:`fetch` raises.
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
        """Sends ``call`` and yields the answer while it arrives; raises what :meth:`fetch` does."""
        async with self._stream(self._pool_of(call), call, timeout_seconds) as response:
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
                # The library looks the timeout up before each read.
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
