"""Writes an answer to a caller as it arrives."""

from collections.abc import Mapping

import trio
from starlette.types import Send


class CallerGoneError(Exception):
    """The caller closed its connection or does not take what is written to it."""


class CallerStream:
    """The response to one caller, which starts with its first byte.

    The status line is sent with the first event, so that a request refused before that still gets
    an ordinary HTTP status. Writes of several tasks are put in order.
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
        """Writes ``data``; raises :class:`CallerGoneError` if the caller does not take it."""
        async with self._lock:
            await self._start()
            await self._send_in_time(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def end(self) -> None:
        """Ends the response."""
        async with self._lock:
            await self._send_in_time(
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
        await self._send_in_time({"type": "http.response.start", "status": 200, "headers": headers})

    async def _send_in_time(self, message: dict[str, object]) -> None:
        try:
            with trio.fail_after(self._write_timeout_seconds):
                await self._send(message)
        except trio.TooSlowError as error:
            raise CallerGoneError("the caller does not take its answer") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError("the caller closed its connection") from error
        self._last_write_at = trio.current_time()
