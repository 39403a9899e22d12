"""A network backend for httpcore that asks for authorization before the first byte of a request."""

import ssl
from collections.abc import Callable, Iterable
from typing import Any, Optional

import httpcore
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_http._checked_backend import CheckedBackend
from camphordrift.results import Failure

#: Returns success if the request may be sent, or why not. It is called once. No other task runs
#: between the call and the start of the write.
AuthorizeSending = Callable[[], result.Result[None, Failure]]


class SendRefusedError(Exception):
    """Sending was refused, and no byte of the request was written.

    ``failure`` holds the reason.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class _GatedStream(httpcore.AsyncNetworkStream):
    """A stream that calls ``authorize`` before the first write to ``inner``."""

    def __init__(self, inner: httpcore.AsyncNetworkStream, authorize: AuthorizeSending) -> None:
        self._inner = inner
        self._authorize: Optional[AuthorizeSending] = authorize

    async def read(self, max_bytes: int, timeout: Optional[float] = None) -> bytes:
        return await self._inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: Optional[float] = None) -> None:
        authorize, self._authorize = self._authorize, None
        if authorize is not None:
            permitted = authorize()
            if not is_successful(permitted):
                raise SendRefusedError(permitted.failure())
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: Optional[str] = None,
        timeout: Optional[float] = None,
    ) -> httpcore.AsyncNetworkStream:
        # The TLS handshake sends no byte of the request, so only the first write to the encrypted
        # stream needs authorization.
        authorize = self._authorize
        assert authorize is not None, "TLS must start before the first write"
        encrypted = await self._inner.start_tls(ssl_context, server_hostname, timeout)
        return _GatedStream(encrypted, authorize)

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)


class GatedBackend(CheckedBackend):
    """Opens connections that call ``authorize`` before their first write.

    Use one instance for each request. Connecting and reconnecting need no authorization.
    """

    def __init__(self, authorize: AuthorizeSending) -> None:
        super().__init__()
        self._authorize = authorize

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: Optional[float] = None,
        local_address: Optional[str] = None,
        socket_options: Optional[Iterable[Any]] = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection without calling ``authorize``."""
        stream = await super().connect_tcp(host, port, timeout, local_address, socket_options)
        return _GatedStream(stream, self._authorize)
