"""A network backend for httpcore that finds broken responses which httpcore takes for sound."""

import ssl
from collections.abc import Iterable
from typing import Any, Optional

import httpcore

from camphordrift.response_checks import MalformedHeadError, ResponseHeadCheck, follows_regular_end


class _CheckedStream(httpcore.AsyncNetworkStream):
    """A stream that checks the heads of responses, and keeps errors of writes for later reads.

    httpcore ignores the error of a write and reads the response, which may have arrived before it.
    The kernel reports the error to one call only, so a read would return the same as at a regular
    end.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._head_check = ResponseHeadCheck()
        self._write_error: Optional[httpcore.WriteError] = None

    async def read(self, max_bytes: int, timeout: Optional[float] = None) -> bytes:
        data = await self._inner.read(max_bytes, timeout)
        if not data and self._write_error is not None:
            raise httpcore.ReadError(str(self._write_error)) from self._write_error
        try:
            self._head_check.receive(data)
        except MalformedHeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return data

    async def write(self, buffer: bytes, timeout: Optional[float] = None) -> None:
        # httpcore sends the whole request before it reads the response.
        self._head_check.expect_response()
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
    """Opens connections that raise errors of httpcore for broken responses."""

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
