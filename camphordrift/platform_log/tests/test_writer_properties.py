"""A property of appends under any sequence of faults: the answer that a caller gets is true."""

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
    """One fault, and the records handed in after it."""

    #: What the service does from now on.
    outage: bool
    silent: bool
    slowness_seconds: float
    loss: Optional[ResponseLoss]

    #: Records handed in, and how long their callers wait, in seconds.
    records: int
    deadline_seconds: float

    #: Time until the next step, in seconds.
    pause_seconds: float


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
    silent=st.booleans(),
    slowness_seconds=st.sampled_from([0.0, 0.0, 0.5, 5.0]),
    loss=_LOSSES,
    records=st.integers(0, 4),
    deadline_seconds=st.sampled_from([0.1, 1.0, 5.0, 30.0]),
    pause_seconds=st.sampled_from([0.0, 0.001, 0.2, 3.0, 10.0]),
)


class _ForgetfulQueue(AppendQueue):
    """Puts a batch whose answer was lost back, as if it surely had no effect."""

    def on_unsure(self, batch: tuple[PendingAppend, ...]) -> None:
        self.on_refused(batch, ResultCode.LOG_UNAVAILABLE)


class _ForgetfulWriter(LogWriter):
    def _stream_writer(self, stream: str) -> _StreamWriter:
        writer = super()._stream_writer(stream)
        if not isinstance(writer.queue, _ForgetfulQueue):
            writer.queue = _ForgetfulQueue(writer.queue.batch_records, writer.queue.batch_bytes)
        return writer


class LogWriterPropertiesTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.lists(_STEPS, max_size=8), st.sampled_from([None, 1.0]), st.integers(0, 9))
    def test_what_callers_are_told_stays_true(
        self, steps: list[_Step], reappend_after: Optional[float], seed: int
    ) -> None:
        run_in_virtual_time(lambda: self._check(steps, reappend_after, seed, LogWriter))

    def test_a_writer_that_takes_a_lost_answer_for_a_refusal_is_noticed(self) -> None:
        lost = ResponseLoss(takes_effect=True)
        steps = [
            _Step(False, False, 0.0, lost, 1, 1.0, 0.0035),
            _Step(True, False, 0.0, None, 0, 1.0, 3.0),
        ]
        run_in_virtual_time(lambda: self._check(steps, None, 1, LogWriter))
        with self.assertRaises(AssertionError):
            run_in_virtual_time(lambda: self._check(steps, None, 1, _ForgetfulWriter))

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
        answers: dict[RecordId, result.Result[int, Failure]] = {}

        async def append(deadline_seconds: float) -> None:
            record_id = new_record_id()
            deadline = trio.current_time() + deadline_seconds
            answers[record_id] = await writer.append(_STREAM, b"x", deadline, record_id)
            assert trio.current_time() <= deadline + 1e-6

        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            async with trio.open_nursery() as callers:
                for step in steps:
                    _apply(service, step)
                    for _ in range(step.records):
                        callers.start_soon(append, step.deadline_seconds)
                    await trio.sleep(step.pause_seconds)
            service.faults.end_outage()
            service.faults.slow_down(0.0)
            await trio.sleep(60)
            nursery.cancel_scope.cancel()
        self._check_answers(service, answers)

    def _check_answers(
        self, service: InMemoryLogService, answers: dict[RecordId, result.Result[int, Failure]]
    ) -> None:
        places: dict[RecordId, int] = {}
        for kept in service.records_of(_STREAM):
            envelope = decode_envelope(kept.payload)
            assert envelope is not None
            places.setdefault(envelope.record_id, kept.offset)
        for record_id, answer in answers.items():
            if isinstance(answer, result.Success):
                self.assertEqual(places[record_id], answer.unwrap())
            elif answer.failure().code is not ResultCode.LOG_APPEND_UNSURE:
                self.assertNotIn(record_id, places)


def _apply(service: InMemoryLogService, step: _Step) -> None:
    if step.outage:
        service.faults.begin_outage(step.silent)
    else:
        service.faults.end_outage()
    service.faults.slow_down(step.slowness_seconds)
    if step.loss is not None:
        service.faults.lose_next_responses(1, step.loss)
