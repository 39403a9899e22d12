"""Tests of the record log on top of the platform's log service."""

import random
from collections.abc import Awaitable, Callable

import testtools
import trio

from camphordrift.platform_log import FollowerSettings, LogRecord, LogWriter, WriterSettings
from camphordrift.record_log import PlatformRecordLog
from camphordrift.results import ResultCode
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.testing import run_in_virtual_time

_STREAM = "claims"


class PlatformRecordLogTest(testtools.TestCase):
    def _run(
        self, check: Callable[[InMemoryLogService, PlatformRecordLog], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            service = InMemoryLogService(trio.current_time, LogLimits())
            generator = random.Random(1)
            writer = LogWriter(service, "vm", WriterSettings(), trio.current_time, generator)
            log = PlatformRecordLog(service, writer, FollowerSettings(), generator)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                await check(service, log)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_delivers_an_appended_record_and_reads_it(self) -> None:
        async def check(service: InMemoryLogService, log: PlatformRecordLog) -> None:
            received: list[LogRecord] = []
            with trio.move_on_after(2.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(log.follow, _STREAM, received.append, self.fail)
                    deadline = trio.current_time() + 1.0
                    self.assertEqual(0, (await log.append(_STREAM, b"one", deadline)).unwrap())
            self.assertEqual([b"one"], [record.payload for record in received])
            read = await log.read_record(_STREAM, 0, trio.current_time() + 1.0)
            self.assertEqual(b"one", read.unwrap().payload)

        self._run(check)

    def test_reports_dropped_records_before_the_next_record(self) -> None:
        async def check(service: InMemoryLogService, log: PlatformRecordLog) -> None:
            for payload in (b"one", b"two"):
                await log.append(_STREAM, payload, trio.current_time() + 1.0)
            service.truncate(_STREAM, 1)
            events: list[str] = []
            with trio.move_on_after(2.0):
                await log.follow(
                    _STREAM,
                    lambda record: events.append(record.payload.decode()),
                    lambda: events.append("gap"),
                )
            self.assertEqual(["gap", "two"], events)

        self._run(check)

    def test_reading_a_missing_record_or_an_unavailable_log_fails(self) -> None:
        async def check(service: InMemoryLogService, log: PlatformRecordLog) -> None:
            await log.append(_STREAM, b"one", trio.current_time() + 1.0)
            beyond = await log.read_record(_STREAM, 5, trio.current_time() + 1.0)
            self.assertEqual(ResultCode.LOG_OFFSET_TRUNCATED, beyond.failure().code)
            service.truncate(_STREAM, 1)
            dropped = await log.read_record(_STREAM, 0, trio.current_time() + 1.0)
            self.assertEqual(ResultCode.LOG_OFFSET_TRUNCATED, dropped.failure().code)
            for silent in (False, True):
                service.faults.begin_outage(silent)
                unavailable = await log.read_record(_STREAM, 0, trio.current_time() + 1.0)
                self.assertEqual(ResultCode.LOG_UNAVAILABLE, unavailable.failure().code)

        self._run(check)
