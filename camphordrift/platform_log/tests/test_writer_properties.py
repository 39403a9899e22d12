"""Property test: under any sequence of faults, the result returned by ``append`` is correct.

A success must name the offset of the record's first copy, and a record that is reported as not
appended must never be in the log.
"""

from dataclasses import dataclass
from random import Random
from typing import Optional

import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from camphordrift.platform_log import (
    LogWriter,
    RecordId,
    WriterSettings,
    decode_envelope,
    new_record_id,
)
from camphordrift.platform_log._append_queue import AppendQueue, PendingAppend
from camphordrift.platform_log._writer import _StreamWriter
from camphordrift.results import Failure, ResultCode
from camphordrift.standins import InMemoryLogService, LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time

_STREAM = "claims"


@dataclass(frozen=True)
class _Step:
    """One change of the service's faults, and the records that are submitted after it."""

    #: Whether the service is unavailable from this step on.
    outage: bool

    #: Whether requests hang during the outage, instead of failing at once.
    unresponsive: bool

    #: Seconds of latency added to each request from this step on.
    slowness_seconds: float

    #: How the response to the next append is lost; ``None`` if it is not.
    loss: Optional[ResponseLoss]

    #: Number of records submitted.
    records: int

    #: Seconds from submission until the records' deadline.
    deadline_seconds: float

    #: Seconds until the next step.
    seconds_until_next_step: float


_LOSSES = st.one_of(
    st.none(),
    st.builds(
        ResponseLoss,
        takes_effect=st.booleans(),
        effect_delay_seconds=st.sampled_from([0.0, 0.3, 1.1, 6.0]),
    ),
)
_STEPS = st.builds(
    _Step,
    outage=st.booleans(),
    unresponsive=st.booleans(),
    slowness_seconds=st.sampled_from([0.0, 0.0, 0.5, 5.0]),
    loss=_LOSSES,
    records=st.integers(0, 4),
    deadline_seconds=st.sampled_from([0.1, 1.0, 5.0, 30.0]),
    seconds_until_next_step=st.sampled_from([0.0, 0.001, 0.2, 3.0, 10.0]),
)


class _UnsureAsRefusedQueue(AppendQueue):
    """A faulty queue that treats a lost response as a refusal without effect."""

    def on_unsure(self, batch: tuple[PendingAppend, ...]) -> None:
        self.on_refused(batch, ResultCode.LOG_UNAVAILABLE)


class _UnsureAsRefusedWriter(LogWriter):
    def _stream_writer(self, stream: str) -> _StreamWriter:
        writer = super()._stream_writer(stream)
        if not isinstance(writer.queue, _UnsureAsRefusedQueue):
            writer.queue = _UnsureAsRefusedQueue(
                writer.queue.batch_records, writer.queue.batch_bytes
            )
        return writer


class LogWriterPropertiesTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.lists(_STEPS, max_size=8), st.sampled_from([None, 1.0]), st.integers(0, 9))
    def test_results_returned_to_callers_are_correct(
        self, steps: list[_Step], reappend_after: Optional[float], seed: int
    ) -> None:
        run_in_virtual_time(lambda: self._check(steps, reappend_after, seed, LogWriter))

    def test_a_writer_that_treats_a_lost_response_as_a_refusal_is_detected(self) -> None:
        lost = ResponseLoss(takes_effect=True)
        steps = [
            _Step(False, False, 0.0, lost, 1, 1.0, 0.0035),
            _Step(True, False, 0.0, None, 0, 1.0, 3.0),
        ]
        run_in_virtual_time(lambda: self._check(steps, None, 1, LogWriter))
        with self.assertRaises(AssertionError):
            run_in_virtual_time(lambda: self._check(steps, None, 1, _UnsureAsRefusedWriter))

    async def _check(
        self,
        steps: list[_Step],
        reappend_after: Optional[float],
        seed: int,
        writer_class: type[LogWriter],
    ) -> None:
        service = InMemoryLogService(trio.current_time, LogLimits(appends_per_second=5.0))
        writer_settings = WriterSettings(
            appends_per_second=10.0, batch_records=3, reappend_after_seconds=reappend_after
        )
        writer = writer_class(service, "vm", writer_settings, trio.current_time, Random(seed))
        outcomes: dict[RecordId, result.Result[int, Failure]] = {}

        async def append(deadline_seconds: float) -> None:
            record_id = new_record_id()
            deadline = trio.current_time() + deadline_seconds
            outcomes[record_id] = await writer.append(_STREAM, b"x", deadline, record_id)
            assert trio.current_time() <= deadline + 1e-6

        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            async with trio.open_nursery() as callers:
                for step in steps:
                    _apply(service, step)
                    for _ in range(step.records):
                        callers.start_soon(append, step.deadline_seconds)
                    await trio.sleep(step.seconds_until_next_step)
            service.faults.end_outage()
            service.faults.slow_down(0.0)
            await trio.sleep(60)
            nursery.cancel_scope.cancel()
        self._check_outcomes(service, outcomes)

    def _check_outcomes(
        self,
        service: InMemoryLogService,
        outcomes: dict[RecordId, result.Result[int, Failure]],
    ) -> None:
        first_offsets: dict[RecordId, int] = {}
        for kept in service.records_of(_STREAM):
            envelope = decode_envelope(kept.payload)
            assert envelope is not None
            first_offsets.setdefault(envelope.record_id, kept.offset)
        for record_id, outcome in outcomes.items():
            if isinstance(outcome, result.Success):
                self.assertEqual(first_offsets[record_id], outcome.unwrap())
            elif outcome.failure().code is not ResultCode.LOG_APPEND_UNSURE:
                self.assertNotIn(record_id, first_offsets)


def _apply(service: InMemoryLogService, step: _Step) -> None:
    if step.outage:
        service.faults.begin_outage(step.unresponsive)
    else:
        service.faults.end_outage()
    service.faults.slow_down(step.slowness_seconds)
    if step.loss is not None:
        service.faults.lose_next_responses(1, step.loss)
