"""Tests that log output is rate limited and never blocks on a slow or closed reader."""

import logging
import os

import testtools

from camphordrift.event_log._bounded_output import (
    BUFFER_SIZE,
    BURST_LINES,
    LINES_PER_SECOND,
    BoundedLogHandler,
)


class BoundedOutputTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.handler = BoundedLogHandler(self.writer, lambda: self.now)

    def test_lines_reach_the_reader(self) -> None:
        self._log("event=started vm=oliwa-1")
        self.assertIn("event=started vm=oliwa-1\n", self._read())

    def test_volume_is_limited_under_load(self) -> None:
        for _ in range(100):
            self.now += 0.1
            for _ in range(1000):
                self._log("event=attempt request=1")
            self._read()
        written = 100_000 - self.handler.dropped_lines
        self.assertTrue(written <= BURST_LINES + 10 * LINES_PER_SECOND)

    def test_capacity_is_reserved_for_warnings(self) -> None:
        for _ in range(5000):
            self._log("event=attempt request=1")
        self._read()
        self._log("event=request_refused request=2", logging.WARNING)
        self.assertIn("request=2", self._read())

    def test_dropped_lines_are_counted_in_the_log(self) -> None:
        for _ in range(5000):
            self._log("event=attempt request=1")
        self._read()
        self.now += 10.0
        self._log("event=attempt request=2")
        self.assertIn(f"event=log_lines_left_out count={self.handler.dropped_lines}", self._read())

    def test_slow_reader_causes_dropped_lines_and_does_not_block(self) -> None:
        for _ in range(3000):
            self.now += 0.1
            self._log("event=attempt text=" + "x" * 400)
            self.handler.drain()
        self.assertTrue(self.handler.dropped_lines > 0)
        self.assertTrue(len(self.handler._buffer) <= BUFFER_SIZE + 2000)

    def test_closed_reader_does_not_block(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        handler = BoundedLogHandler(writer, lambda: 0.0)
        handler.emit(logging.makeLogRecord({"msg": "event=x", "levelno": logging.INFO}))
        handler.drain()
        os.close(writer)

    def _log(self, message: str, level: int = logging.INFO) -> None:
        fields = {
            "name": "absl",
            "msg": message,
            "levelno": level,
            "levelname": logging.getLevelName(level),
        }
        self.handler.emit(logging.makeLogRecord(fields))

    def _read(self) -> str:
        text = b""
        while True:
            before = len(self.handler._buffer)
            self.handler.drain()
            if before == 0:
                return text.decode()
            text += os.read(self.reader, 1 << 20)
