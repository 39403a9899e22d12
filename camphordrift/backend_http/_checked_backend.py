"""A network backend for httpcore whose reads report the errors of earlier writes."""

import ssl
from collections.abc import Iterable
from typing import Any, Optional

import httpcore

from camphordrift.response_checks import follows_regular_end


class _CheckedStream(httpcore.AsyncNetworkStream):
    """A stream that keeps the error of a write for the reads that follow.

    httpcore ignores that error and reads the response, which may have arrived before it. The kernel
    reports the error to one call only, so a read would return the same as at a regular end.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._write_error: Optional[httpcore.WriteError] = None

    async def read(self, max_bytes: int, timeout: Optional[float] = None) -> bytes:
        data = await self._inner.read(max_bytes, timeout)
        if not data and self._write_error is not None:
            raise httpcore.ReadError(str(self._write_error)) from self._write_error
        return data

    async def write(self, buffer: bytes, timeout: Optional[float] = None) -> None:
        try:
            await self._inner.write(buffer, timeout)
        except httpcore.WriteError as error:
            if self._write_error is None and not follows_regular_end(error):
                self._write_error = error
            raise

    async def aclose(self) -> None:
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: Optional[str] = None,
        timeout: Optional[float] = None,
    ) -> httpcore.AsyncNetworkStream:
        return _CheckedStream(await self._inner.start_tls(ssl_context, server_hostname, timeout))

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)


class CheckedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections on which a truncated response does not look complete."""

    def __init__(self) -> None:
        self._inner = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: Optional[float] = None,
        local_address: Optional[str] = None,
        socket_options: Optional[Iterable[Any]] = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection."""
        stream = await self._inner.connect_tcp(host, port, timeout, local_address, socket_options)
        return _CheckedStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleeps for ``seconds``, measured by the event loop's clock."""
        await self._inner.sleep(seconds)
