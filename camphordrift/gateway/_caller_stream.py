"""Writes a streamed response to a caller, with timeouts and keep-alive comments."""

from collections.abc import Mapping

import trio
from starlette.types import Send


class CallerGoneError(Exception):
    """The caller closed its connection or did not read the response within the write timeout."""


class CallerStream:
    """The streamed response to one caller.

    The status line is sent with the first write, so a request that fails before it can still get an
    HTTP error status. Several tasks may write concurrently; their writes do not interleave.
    """

    def __init__(
        self, send: Send, headers: Mapping[str, str], write_timeout_seconds: float
    ) -> None:
        self._send = send
        self._headers = headers
        self._write_timeout_seconds = write_timeout_seconds
        self._lock = trio.Lock()
        self._started = False
        self._last_write_at = trio.current_time()

    @property
    def is_started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    async def write(self, data: bytes) -> None:
        """Writes ``data``, after the status line and headers if this is the first write.

        Raises :class:`CallerGoneError` if the caller disconnected or the write timed out.
        """
        async with self._lock:
            await self._start()
            await self._send_with_timeout(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def end(self) -> None:
        """Ends the response; raises what :meth:`write` raises."""
        async with self._lock:
            await self._send_with_timeout(
                {"type": "http.response.body", "body": b"", "more_body": False}
            )

    async def keep_alive(self, comment: bytes, interval_seconds: float) -> None:
        """Writes ``comment`` whenever nothing has been written for ``interval_seconds``."""
        while True:
            due_at = self._last_write_at + interval_seconds
            await trio.sleep_until(due_at)
            if self._last_write_at + interval_seconds <= trio.current_time():
                await self.write(comment)

    async def _start(self) -> None:
        if self._started:
            return
        self._started = True
        headers = [(name.encode(), value.encode()) for name, value in self._headers.items()]
        await self._send_with_timeout(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    async def _send_with_timeout(self, message: dict[str, object]) -> None:
        try:
            with trio.fail_after(self._write_timeout_seconds):
                await self._send(message)
        except trio.TooSlowError as error:
            raise CallerGoneError("timed out while writing the response to the caller") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError("the caller closed its connection") from error
        self._last_write_at = trio.current_time()
