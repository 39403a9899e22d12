"""Tests of appending through rate limits, outages and lost responses of the log service."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import testtools
import trio
from returns import result

from camphordrift.platform_log import (
    LogWriter,
    RecordId,
    WriterSettings,
    decode_envelope,
)
from camphordrift.results import Failure, ResultCode, RunState
from camphordrift.standins import InMemoryLogService, LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time

_STREAM = "claims"
_SETTINGS = WriterSettings()
_LIMITS = LogLimits()

_Outcome = result.Result[int, Failure]


def _run(
    body: Callable[[InMemoryLogService, LogWriter], Awaitable[None]],
    settings: WriterSettings = _SETTINGS,
    limits: LogLimits = _LIMITS,
) -> None:
    async def main() -> None:
        service = InMemoryLogService(trio.current_time, limits)
        writer = LogWriter(service, "vm-1", settings, trio.current_time, Random(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            await body(service, writer)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


def _first_offsets(service: InMemoryLogService) -> dict[RecordId, int]:
    first_offsets: dict[RecordId, int] = {}
    for record in service.records_of(_STREAM):
        envelope = decode_envelope(record.payload)
        assert envelope is not None
        first_offsets.setdefault(envelope.record_id, record.offset)
    return first_offsets


async def _append_many(writer: LogWriter, count: int, seconds: float) -> list[_Outcome]:
    outcomes: list[_Outcome] = []

    async def one(number: int) -> None:
        deadline = trio.current_time() + seconds
        outcomes.append(await writer.append(_STREAM, b"%d" % number, deadline))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(one, number)
    return outcomes


def _code(outcome: _Outcome) -> Any:
    return outcome.failure().code


class LogWriterTest(testtools.TestCase):
    def test_waiting_records_are_appended_in_one_batch(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            outcomes = await _append_many(writer, 100, 5.0)
            self.assertEqual(set(range(100)), {outcome.unwrap() for outcome in outcomes})
            self.assertTrue(service.append_count <= 2, str(service.append_count))

        _run(body)

    def test_stays_within_its_share_of_the_append_rate(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            started_at = trio.current_time()
            await _append_many(writer, 100, 60.0)
            seconds = trio.current_time() - started_at
            self.assertTrue(service.append_count <= 10 + 20 * seconds)
            self.assertTrue(seconds >= 4.0, str(seconds))

        _run(body, WriterSettings(appends_per_second=20.0, batch_records=1))

    def test_an_append_that_was_never_sent_is_reported_as_not_run(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            outcomes = await _append_many(writer, 30, 0.5)
            not_sent = [outcome for outcome in outcomes if isinstance(outcome, result.Failure)]
            self.assertTrue(not_sent)
            for outcome in not_sent:
                self.assertEqual(ResultCode.LOG_APPEND_BUDGET_SPENT, _code(outcome))
                self.assertEqual(RunState.NOT_RUN, outcome.failure().run_state)
            await trio.sleep(60)
            self.assertEqual(30 - len(not_sent), len(service.records_of(_STREAM)))

        _run(body, WriterSettings(appends_per_second=1.0, burst_appends=1.0, batch_records=10))

    def test_appends_resume_after_an_outage(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            await writer.append(_STREAM, b"first", trio.current_time() + 1)
            service.faults.begin_outage()
            outcome = await writer.append(_STREAM, b"a", trio.current_time() + 3)
            self.assertEqual(ResultCode.LOG_UNAVAILABLE, _code(outcome))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._end_outage_after, service, 20.0)
                outcome = await writer.append(_STREAM, b"b", trio.current_time() + 60)
            self.assertEqual(result.Success(1), outcome)
            self.assertTrue(trio.current_time() < 20.0 + 3.0 + 1.0 + 2.5)

        _run(body)

    async def _end_outage_after(self, service: InMemoryLogService, seconds: float) -> None:
        await trio.sleep(seconds)
        service.faults.end_outage()

    def test_a_lost_response_is_resolved_by_reading_the_stream(self) -> None:
        cases = (
            ResponseLoss(takes_effect=True),
            ResponseLoss(takes_effect=True, effect_delay_seconds=0.4),
            ResponseLoss(takes_effect=True, effect_delay_seconds=1.2),
            ResponseLoss(takes_effect=True, effect_delay_seconds=5.0),
            ResponseLoss(takes_effect=False),
        )
        for loss in cases:
            for losses in (1, 2, 3):
                self._check_lost_responses(loss, losses)

    def _check_lost_responses(self, loss: ResponseLoss, losses: int) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            await writer.append(_STREAM, b"before", trio.current_time() + 1)
            service.faults.lose_next_responses(losses, loss)
            outcomes = await _append_many(writer, 5, 30.0)
            await trio.sleep(10)
            first_offsets = _first_offsets(service)
            offsets = {outcome.unwrap() for outcome in outcomes}
            self.assertEqual(6, len(first_offsets))
            self.assertEqual(set(first_offsets.values()) - {0}, offsets)

        _run(body)

    def test_without_reappending_an_append_without_effect_stays_unsure(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            service.faults.lose_next_responses(1, ResponseLoss(takes_effect=False))
            outcome = await writer.append(_STREAM, b"a", trio.current_time() + 5)
            self.assertEqual(ResultCode.LOG_APPEND_UNSURE, _code(outcome))
            self.assertEqual(RunState.OUTCOME_UNKNOWN, outcome.failure().run_state)
            await trio.sleep(30)
            self.assertEqual((), service.records_of(_STREAM))

        _run(body, WriterSettings(reappend_after_seconds=None))

    def test_a_slow_service_makes_appends_unsure_but_their_offsets_are_correct(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            await writer.append(_STREAM, b"before", trio.current_time() + 1)
            service.faults.slow_down(3.0)
            outcomes = await _append_many(writer, 5, 60.0)
            first_offsets = _first_offsets(service)
            self.assertEqual(set(first_offsets.values()) - {0}, {a.unwrap() for a in outcomes})

        _run(body)

    def test_a_lost_response_during_an_outage_is_resolved_afterwards(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            await writer.append(_STREAM, b"before", trio.current_time() + 1)
            service.faults.lose_next_responses(1, ResponseLoss(takes_effect=True))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._outage_between, service, 0.004, 20.0)
                outcome = await writer.append(_STREAM, b"a", trio.current_time() + 60)
            self.assertEqual(result.Success(1), outcome)
            self.assertEqual(2, len(service.records_of(_STREAM)))

        _run(body)

    async def _outage_between(self, service: InMemoryLogService, begin: float, end: float) -> None:
        await trio.sleep(begin)
        service.faults.begin_outage()
        await trio.sleep(end - begin)
        service.faults.end_outage()

    def test_never_reappends_after_the_searched_part_was_truncated(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            await writer.append(_STREAM, b"before", trio.current_time() + 1)
            service.faults.lose_next_responses(1, ResponseLoss(takes_effect=True))
            service.faults.slow_down(0.2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._truncate_after, service, 0.25)
                outcome = await writer.append(_STREAM, b"a", trio.current_time() + 20)
            self.assertEqual(ResultCode.LOG_APPEND_UNSURE, _code(outcome))
            self.assertEqual(0, writer.statistics.repeated)

        _run(body)

    async def _truncate_after(self, service: InMemoryLogService, seconds: float) -> None:
        await trio.sleep(seconds)
        service.truncate(_STREAM, 2)

    def test_a_cancelled_caller_withdraws_its_unsent_record(self) -> None:
        async def body(service: InMemoryLogService, writer: LogWriter) -> None:
            service.faults.begin_outage()
            with trio.move_on_after(1):
                await writer.append(_STREAM, b"a", trio.current_time() + 60)
            service.faults.end_outage()
            await trio.sleep(10)
            self.assertEqual((), service.records_of(_STREAM))

        _run(body)
