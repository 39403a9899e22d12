"""A log output that is bounded in volume and never waits for whoever reads it."""

import logging
import os
import select
import time
from collections.abc import Callable

from camphordrift.event_log._logging import LineFormatter, format_event, replace_handlers

#: Lines a second that may be written for long. A VM of the two-year size (docs/CAPACITY.md) handles
#: 48 requests a second with three lines each.
LINES_PER_SECOND = 200.0

#: Lines that may be written at once after a quiet time.
BURST_LINES = 1000.0

#: Part of the burst that only warnings and errors may use.
WARNING_RESERVE = 0.5

#: Bytes that wait for the reader; lines beyond are left out.
BUFFER_SIZE = 256 * 1024

#: Bytes that a pipe takes without waiting once it is writable (PIPE_BUF of Linux).
_WRITE_SIZE = 4096


class BoundedLogHandler(logging.Handler):
    """Keeps lines until :meth:`drain` writes them.

    Lines over the bound, and lines for which a reader that stands still leaves no room, are left
    out and counted. Plain lines are left out first, so that a flood of them does not hide failures.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.setFormatter(LineFormatter())
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._counted_at = clock()
        self._buffer = bytearray()
        self._left_out = 0
        self._left_out_total = 0

    @property
    def dropped_lines(self) -> int:
        """Lines that were left out since the start."""
        return self._left_out_total

    def emit(self, record: logging.LogRecord) -> None:
        """Takes a line in."""
        self._refill()
        reserve = 0.0 if record.levelno >= logging.WARNING else BURST_LINES * WARNING_RESERVE
        if self._tokens - 1 < reserve or len(self._buffer) > BUFFER_SIZE:
            self._left_out += 1
            self._left_out_total += 1
            return
        self._tokens -= 1
        if self._left_out:
            count, self._left_out = self._left_out, 0
            self._append(self._notice(record, count))
        self._append(self.format(record))

    def drain(self) -> None:
        """Writes what the reader takes without waiting."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while self._buffer and poll.poll(0):
            try:
                written = os.write(self._descriptor, self._buffer[:_WRITE_SIZE])
            except OSError:
                # Nobody reads any more, so there is no place to report this to.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _append(self, line: str) -> None:
        self._buffer += line.encode("utf-8", errors="backslashreplace") + b"\n"

    def _notice(self, record: logging.LogRecord, count: int) -> str:
        notice = logging.makeLogRecord(dict(record.__dict__))
        notice.msg, notice.args = format_event("log_lines_left_out", {"count": count}), ()
        return self.format(notice)

    def _refill(self) -> None:
        now = self._clock()
        gained = (now - self._counted_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._counted_at = now


def configure_bounded_logging(level: int, descriptor: int) -> BoundedLogHandler:
    """Sends log lines to a descriptor; the caller drains the handler now and then."""
    handler = BoundedLogHandler(descriptor)
    replace_handlers(list(logging.getLogger().handlers), handler, level)
    return handler
