"""Tests of the stand-in log service."""

import testtools
import trio

from camphordrift.platform_log import (
    AppendRefusedError,
    AppendUnsureError,
    LogUnavailableError,
    OffsetTruncatedError,
)
from camphordrift.standins import InMemoryLogService, LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time


def _service(**limits: float) -> InMemoryLogService:
    return InMemoryLogService(trio.current_time, LogLimits(**limits))  # type: ignore[arg-type]


def _payloads(service: InMemoryLogService) -> list[bytes]:
    return [record.payload for record in service.records_of("s")]


class InMemoryLogServiceTest(testtools.TestCase):
    def test_offsets_are_consecutive_per_stream(self) -> None:
        async def main() -> None:
            service = _service()
            self.assertEqual(0, await service.append("s", [b"a", b"b"]))
            self.assertEqual(2, await service.append("s", [b"c"]))
            self.assertEqual(0, await service.append("t", [b"d"]))
            batch = await service.read("s", 1, 1)
            self.assertEqual(
                [(1, b"b")], [(record.offset, record.payload) for record in batch.records]
            )
            self.assertEqual(3, batch.end_offset)

        run_in_virtual_time(main)

    def test_refuses_appends_over_the_rate_limit(self) -> None:
        async def main() -> None:
            service = _service(appends_per_second=10.0, burst_appends=2.0, latency_seconds=0.0)
            await service.append("s", [b"a"])
            await service.append("s", [b"b"])
            with testtools.ExpectedException(AppendRefusedError):
                await service.append("s", [b"c"])
            await trio.sleep(0.11)
            await service.append("s", [b"d"])
            self.assertEqual([b"a", b"b", b"d"], _payloads(service))
            self.assertEqual((3, 1), (service.append_count, service.refused_count))

        run_in_virtual_time(main)

    def test_retention_by_age_and_by_count(self) -> None:
        async def main() -> None:
            by_age = _service(retention_seconds=5.0)
            await by_age.append("s", [b"a"])
            await trio.sleep(6)
            await by_age.append("s", [b"b"])
            error = await _truncation_error(by_age, 0)
            self.assertEqual(1, error.first_offset)
            by_count = _service(retention_records=2)
            await by_count.append("s", [b"a", b"b", b"c"])
            self.assertEqual([b"b", b"c"], _payloads(by_count))

        run_in_virtual_time(main)

    def test_an_append_without_response_takes_effect_immediately_or_later_or_never(self) -> None:
        async def main() -> None:
            cases: tuple[tuple[ResponseLoss, list[bytes], list[bytes]], ...] = (
                (ResponseLoss(takes_effect=True), [b"a"], [b"a"]),
                (ResponseLoss(takes_effect=True, effect_delay_seconds=5.0), [], [b"a"]),
                (ResponseLoss(takes_effect=False), [], []),
            )
            for loss, immediately, later in cases:
                service = _service()
                service.faults.lose_next_responses(1, loss)
                with testtools.ExpectedException(AppendUnsureError):
                    await service.append("s", [b"a"])
                self.assertEqual(immediately, _payloads(service))
                await trio.sleep(6)
                self.assertEqual(later, _payloads(service))

        run_in_virtual_time(main)

    def test_an_outage_fails_requests_and_an_unresponsive_one_hangs(self) -> None:
        async def main() -> None:
            service = _service()
            service.faults.begin_outage()
            with testtools.ExpectedException(LogUnavailableError):
                await service.read("s", 0, 1)
            service.faults.begin_outage(unresponsive=True)
            with trio.move_on_after(60) as scope:
                await service.append("s", [b"a"])
            self.assertTrue(scope.cancelled_caught)
            service.faults.end_outage()
            self.assertEqual([], _payloads(service))

        run_in_virtual_time(main)


async def _truncation_error(service: InMemoryLogService, offset: int) -> OffsetTruncatedError:
    try:
        await service.read("s", offset, 10)
    except OffsetTruncatedError as error:
        return error
    raise AssertionError("the offset is still retained")
