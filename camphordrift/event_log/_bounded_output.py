"""Writes logs within a rate limit, without blocking when the reader is slow."""

import logging
import os
import select
import time
from collections.abc import Callable

from camphordrift.event_log._logging import LineFormatter, format_event, replace_handlers

#: Maximum number of lines per second over a longer time. A VM of the two-year size
#: (docs/CAPACITY.md) handles 48 requests per second, with three lines each.
LINES_PER_SECOND = 200.0

#: Maximum number of lines that may be written at once after an idle period: the capacity of the
#: token bucket.
BURST_LINES = 1000.0

#: Fraction of the burst that is reserved for warnings and errors.
WARNING_RESERVE = 0.5

#: Maximum size in bytes of the buffer of unwritten lines; above it, new lines are dropped.
BUFFER_SIZE = 256 * 1024

#: Number of bytes that a write to a writable pipe accepts without blocking (PIPE_BUF of Linux).
_WRITE_BYTES = 4096


class BoundedLogHandler(logging.Handler):
    """Buffers log lines until :meth:`drain` writes them.

    Lines above the rate limit are dropped and counted, and so are lines while the buffer is full
    because the reader is slow. Lines below the level of warnings are dropped first, so that
    failures are still logged when there are many other lines.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.setFormatter(LineFormatter())
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._buffer = bytearray()
        self._dropped_since_notice = 0
        self._dropped_total = 0

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the handler was created."""
        return self._dropped_total

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a line to the buffer, or drops it."""
        self._refill()
        reserve = 0.0 if record.levelno >= logging.WARNING else BURST_LINES * WARNING_RESERVE
        if self._tokens - 1 < reserve or len(self._buffer) > BUFFER_SIZE:
            self._dropped_since_notice += 1
            self._dropped_total += 1
            return
        self._tokens -= 1
        if self._dropped_since_notice:
            count, self._dropped_since_notice = self._dropped_since_notice, 0
            self._append(self._dropped_notice(record, count))
        self._append(self.format(record))

    def drain(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while self._buffer and poll.poll(0):
            try:
                written = os.write(self._descriptor, self._buffer[:_WRITE_BYTES])
            except OSError:
                # The reader has closed the pipe, so this error cannot be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _append(self, line: str) -> None:
        self._buffer += line.encode("utf-8", errors="backslashreplace") + b"\n"

    def _dropped_notice(self, record: logging.LogRecord, count: int) -> str:
        notice = logging.makeLogRecord(dict(record.__dict__))
        notice.msg, notice.args = format_event("log_lines_left_out", {"count": count}), ()
        return self.format(notice)

    def _refill(self) -> None:
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now


def configure_bounded_logging(level: int, descriptor: int) -> BoundedLogHandler:
    """Configures the root logger to write to a file descriptor within the rate limit.

    Replaces all its handlers. The caller must call :meth:`BoundedLogHandler.drain` of the returned
    handler regularly. ``level`` is the value of a :class:`LogLevel`.
    """
    handler = BoundedLogHandler(descriptor)
    replace_handlers(list(logging.getLogger().handlers), handler, level)
    return handler
