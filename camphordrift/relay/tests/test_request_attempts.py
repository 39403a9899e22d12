"""Tests of concurrent attempts with scripted servers, in virtual time."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Optional, cast

import testtools
import trio

from camphordrift.relay import Headers, RequestMetadata
from camphordrift.relay.connections._events import StreamEvent
from camphordrift.relay.connections._http_server import CallerRequest, ResponseWriter
from camphordrift.relay.requests._attempt import (
    Answered,
    AttemptResult,
    Broken,
    NotSent,
    Rejected,
    Streamed,
    Withheld,
)
from camphordrift.relay.requests._caller_sink import EVENT_OVERHEAD_BYTES, MAX_HELD_BACK_BYTES
from camphordrift.relay.requests._refusals import RequestRefusedError, refusal_error
from camphordrift.relay.requests._request_attempts import RequestAttempts, RunningAttempt
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.tests.samples import CONFIGURATION, STREAM
from camphordrift.results import ResultCode
from camphordrift.testing import run_in_virtual_time

#: The script of one attempt.
Script = Callable[[RunningAttempt], Awaitable[AttemptResult]]


class RecordedResponse:
    """Records the body of a response instead of writing it."""

    def __init__(self, write_seconds: float = 0.0) -> None:
        self.started = False
        self.is_cut = False
        self.body = b""
        self._write_seconds = write_seconds

    async def start(self, status: int, headers: Headers) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.body += data[: len(data) // 2]
        try:
            await trio.sleep(self._write_seconds)
        except trio.Cancelled:
            self.is_cut = True
            raise
        self.body += data[len(data) // 2 :]


@dataclass
class Outcome:
    """What became of a request."""

    result: Optional[AttemptResult]
    #: What the caller received.
    body: bytes
    ids: list[int]
    progress: RequestProgress
    seconds: float
    #: Whether the response to the caller was started.
    started: bool
    retries_left: int
    #: Number of attempts that began, and the numbers of those that were cancelled.
    attempts: int
    cancelled: list[int]


def run_attempts(*scripts: Script, retries: int = 3, write_seconds: float = 0.0) -> Outcome:
    """Runs a request whose attempts follow ``scripts``, one for each attempt."""

    async def main() -> Outcome:
        response = RecordedResponse(write_seconds)
        request = CallerRequest(b"POST", b"/", [], b"", trio.current_time())
        progress = RequestProgress(
            request=request,
            response=cast(ResponseWriter, response),
            metadata=RequestMetadata("a1", 10.0, None),
            route=STREAM,
            account=None,
            service=CONFIGURATION.services["engines"],
            deadline=trio.current_time() + 10,
            attempted_servers=[],
            excluded_servers=[],
        )
        remaining = list(enumerate(scripts))
        cancelled: list[int] = []
        left = retries

        def charge_retry() -> bool:
            nonlocal left
            left -= 1
            return left >= 0

        async def run_attempt(progress: RequestProgress, running: RunningAttempt) -> AttemptResult:
            number, script = remaining.pop(0)
            try:
                return await script(running)
            except trio.Cancelled:
                cancelled.append(number)
                raise

        attempts = RequestAttempts(
            progress, run_attempt, lambda: left > 0, charge_retry, lambda: True
        )
        result: Optional[AttemptResult] = None
        with trio.move_on_after(10):
            result = await attempts.run()
        text = response.body.decode()
        ids = [int(line[3:]) for line in text.splitlines() if line.startswith("id:")]
        return Outcome(
            result,
            response.body,
            ids,
            progress,
            trio.current_time() - request.received_at,
            response.started,
            left,
            len(scripts) - len(remaining),
            cancelled,
        )

    return run_in_virtual_time(main)


async def forward(running: RunningAttempt, *ids: int) -> None:
    """Forwards events as a server's response."""
    assert running.sink is not None
    await running.sink.start_response(200, [])
    await running.sink.write_events([StreamEvent(b"id: %d\n\n" % number, number) for number in ids])


def silent_server(
    before: tuple[int, ...], silence: float, after: tuple[int, ...], period: float = 1.0
) -> Script:
    """Returns a script with a silence of some seconds, reported each ``period``."""

    async def script(running: RunningAttempt) -> AttemptResult:
        running.may_send()
        if before:
            await forward(running, *before)
        ends_at = trio.current_time() + silence
        while trio.current_time() + period < ends_at:
            await trio.sleep(period)
            running.record_silence()
        await trio.sleep(ends_at - trio.current_time())
        if after:
            await forward(running, *after)
        return Streamed()

    return script


def server(delay: float, *ids: int, result: AttemptResult = Streamed()) -> Script:  # noqa: B008
    """Returns a script that forwards events after ``delay`` seconds and then ends."""

    async def script(running: RunningAttempt) -> AttemptResult:
        if not running.may_send():
            return Withheld("no retry is permitted")
        await trio.sleep(delay)
        if ids:
            await forward(running, *ids)
        return result

    return script


async def _report_silence(running: RunningAttempt, delay: float) -> None:
    await trio.sleep(delay)
    running.record_silence()


async def refuses(running: RunningAttempt) -> AttemptResult:
    raise refusal_error(ResultCode.NO_ENGINE_AVAILABLE, "no engine")


def slow_server(last: int, gap: float) -> Script:
    """Returns a script that sends an event each ``gap`` seconds, slow from the second one on."""

    async def script(running: RunningAttempt) -> AttemptResult:
        running.may_send()
        for number in range(1, last + 1):
            await forward(running, number)
            if number == 2:
                running.record_slowness()
            await trio.sleep(gap)
        return await end(running)

    return script


async def end(running: RunningAttempt) -> AttemptResult:
    """Ends a server's response."""
    assert running.sink is not None
    await running.sink.end_response()
    return Streamed()


async def receive_nothing(running: RunningAttempt) -> None:
    """Waits for data of a server until events that were held back have been forwarded."""

    async def receive() -> Optional[bytes]:
        await trio.sleep_forever()

    assert running.sink is not None
    await running.sink.receive(receive)


class SlowStreamTest(testtools.TestCase):
    """Guards against streams that stay on an engine that turned slow until their deadline.

    On a day of slow engines (Trentfield), streams of 0.5 s were broken off after 9.7 s.
    """

    def test_a_further_attempt_continues_after_the_last_event_before_it_was_sent(self) -> None:
        outcome = run_attempts(slow_server(9, 1.0), server(1.5, 3, 4, 5))
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))
        self.assertEqual([0], outcome.cancelled)
        self.assertAlmostEqual(2.5, outcome.seconds)

    def test_events_are_held_back_while_the_further_attempt_has_none(self) -> None:
        outcome = run_attempts(slow_server(9, 1.0), server(3.0, 3, 4, 5))
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))
        self.assertAlmostEqual(4.0, outcome.seconds)

    def test_the_slow_server_continues_if_the_further_attempt_fails(self) -> None:
        outcome = run_attempts(slow_server(5, 1.0), server(1.5, result=Broken("crashed")))
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))

    def test_the_slow_server_continues_if_the_further_attempt_is_silent(self) -> None:
        outcome = run_attempts(slow_server(5, 1.0), silent_server((), 8.0, (3,)))
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))
        self.assertEqual([1], outcome.cancelled)

    def test_the_slow_server_continues_while_no_other_one_is_free(self) -> None:
        async def waits_for_an_engine(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(2.5)
            return await server(0.1, 5, 6)(running)

        outcome = run_attempts(slow_server(9, 1.0), waits_for_an_engine)
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5, 6]), (outcome.result, outcome.ids))

    def test_the_slow_server_continues_if_no_retry_is_permitted(self) -> None:
        outcome = run_attempts(slow_server(5, 1.0), retries=0)
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))


class HeldBackEventsTest(testtools.TestCase):
    """Guards against complete streams that wait for another server, and keep memory reserved.

    A slow stream was complete 0.5 s after a further attempt was sent. Its events were not read
    until the further attempt had one, 5 s later (LEAK on bazarnik-prod).
    """

    def test_a_complete_response_ends_the_stream(self) -> None:
        outcome = run_attempts(slow_server(5, 0.3), server(5.0, 3, 4, 5))
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))
        self.assertEqual([1], outcome.cancelled)
        self.assertAlmostEqual(1.5, outcome.seconds)

    def test_a_complete_response_ends_the_stream_although_the_caller_reads_slowly(self) -> None:
        outcome = run_attempts(slow_server(5, 0.3), server(2.0, 3, 4, 5), write_seconds=0.4)
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))
        self.assertEqual([1], outcome.cancelled)

    def test_events_of_two_servers_are_not_mixed(self) -> None:
        """The slow response ends just when the further attempt has its first event."""
        ids = {0: [1, 2, 3, 4, 5, 6], 1: [1, 2, 3, 4, 5]}
        for delay in (1.2 - 1e-9, 1.2, 1.2 + 1e-9):
            outcome = run_attempts(
                slow_server(5, 0.3), server(delay, 3, 4, 5, 6), write_seconds=0.1
            )
            (cancelled,) = outcome.cancelled
            self.assertEqual((Streamed(), ids[cancelled]), (outcome.result, outcome.ids))

    def test_events_are_forwarded_as_soon_as_the_further_attempt_fails(self) -> None:
        forwarded_at: list[float] = []

        async def pauses(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1, 2)
            running.record_slowness()
            await trio.sleep(0.1)
            await forward(running, 3)
            started_at = trio.current_time()
            await receive_nothing(running)
            forwarded_at.append(trio.current_time() - started_at)
            return await end(running)

        outcome = run_attempts(pauses, server(1.1, result=Broken("crashed")))
        self.assertEqual((Streamed(), [1, 2, 3]), (outcome.result, outcome.ids))
        self.assertAlmostEqual(1.0, forwarded_at[0])

    def test_events_are_dropped_if_the_slow_server_breaks(self) -> None:
        """The further attempt resumes the stream before them."""

        async def breaks(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1, 2)
            running.record_slowness()
            await trio.sleep(0.1)
            await forward(running, 3)
            return Broken("crashed")

        outcome = run_attempts(breaks, server(1.0, 3, 4))
        self.assertEqual((Streamed(), [1, 2, 3, 4]), (outcome.result, outcome.ids))
        self.assertAlmostEqual(1.0, outcome.seconds)

    def test_a_silence_of_the_slow_server_does_not_end_its_attempt(self) -> None:
        async def silent(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1, 2)
            running.record_slowness()
            await trio.sleep(1.0)
            running.record_silence()
            await trio.sleep(0.5)
            await forward(running, 3)
            self.assertFalse(running.is_silent)
            return await end(running)

        outcome = run_attempts(silent, server(5.0, 3))
        self.assertEqual((Streamed(), [1, 2, 3]), (outcome.result, outcome.ids))
        self.assertEqual(2, outcome.attempts)

    def test_no_more_than_a_maximum_is_held_back(self) -> None:
        self._check_continues([StreamEvent(b"id: 3\n:%s\n\n" % bytes(MAX_HELD_BACK_BYTES), 3)])

    def test_very_short_events_count_with_the_memory_that_they_take(self) -> None:
        count = MAX_HELD_BACK_BYTES // EVENT_OVERHEAD_BYTES
        self._check_continues(
            [StreamEvent(b"id: 3\n\n", 3)] + [StreamEvent(b":\n\n", None)] * count
        )

    def _check_continues(self, events: list[StreamEvent]) -> None:
        """Checks that a slow server continues the stream when it has sent these events."""

        async def sends_much(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1, 2)
            running.record_slowness()
            await trio.sleep(0.1)
            assert running.sink is not None
            await running.sink.write_events(events)
            await forward(running, 4)
            await trio.sleep(0.5)
            return await end(running)

        outcome = run_attempts(sends_much, server(5.0, 3, 4))
        self.assertEqual((Streamed(), [1, 2, 3, 4]), (outcome.result, outcome.ids))
        self.assertEqual([1], outcome.cancelled)


class SilentStreamTest(testtools.TestCase):
    def test_the_silent_server_continues_if_it_is_first(self) -> None:
        outcome = run_attempts(silent_server((1, 2), 1.5, (3, 4)), server(2.0, 3, 4))
        self.assertEqual((Streamed(), [1, 2, 3, 4]), (outcome.result, outcome.ids))
        self.assertEqual([1], outcome.cancelled)

    def test_the_other_server_continues_if_it_is_first(self) -> None:
        outcome = run_attempts(silent_server((1, 2), 5.0, (3, 4)), server(0.3, 3, 4))
        self.assertEqual((Streamed(), [1, 2, 3, 4]), (outcome.result, outcome.ids))
        self.assertEqual([0], outcome.cancelled)
        self.assertAlmostEqual(1.3, outcome.seconds)

    def test_events_of_two_servers_are_not_mixed(self) -> None:
        """Both servers send at the same moment, while the caller's connection is slow."""
        for delay in (0.5, 0.5 - 1e-9, 0.5 + 1e-9):
            outcome = run_attempts(
                silent_server((1, 2), 1.5, (3, 4)), server(delay, 3, 4), write_seconds=0.2
            )
            self.assertEqual((Streamed(), [1, 2, 3, 4]), (outcome.result, outcome.ids))
            self.assertEqual(1, len(outcome.cancelled))

    def test_the_silent_server_continues_if_no_other_one_is_free(self) -> None:
        outcome = run_attempts(silent_server((1,), 3.5, (2,)), refuses, refuses, refuses)
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))

    def test_the_silent_server_continues_if_no_retry_is_permitted(self) -> None:
        outcome = run_attempts(silent_server((1,), 3.5, (2,)), retries=0)
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))

    def test_the_silent_server_continues_if_the_other_one_fails(self) -> None:
        for result in (Broken("reset"), Rejected(503, None)):
            outcome = run_attempts(
                silent_server((1,), 1.6, (2,)), server(0.1, result=result), retries=1
            )
            self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))

    def test_the_silent_server_continues_if_the_other_one_rejects_the_resumed_stream(self) -> None:
        """Guards against truncating a stream because of a response that cannot continue it."""
        outcome = run_attempts(
            silent_server((1,), 1.6, (2,)), server(0.1, result=Answered(404, [], b"")), retries=1
        )
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))

    def test_another_server_is_tried_if_the_further_attempt_was_not_sent(self) -> None:
        async def not_sent(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(0.1)
            return NotSent("connection refused")

        outcome = run_attempts(silent_server((1,), 5.0, (2,)), not_sent, server(0.1, 2))
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))
        self.assertAlmostEqual(1.2, outcome.seconds)

    def test_the_further_attempt_goes_on_if_the_silent_server_breaks(self) -> None:
        async def breaks(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1)
            await trio.sleep(1.0)
            running.record_silence()
            await trio.sleep(0.1)
            return Broken("the connection was reset")

        outcome = run_attempts(breaks, server(0.5, 2))
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))
        self.assertTrue(outcome.progress.may_have_run)

    def test_a_silent_further_attempt_is_followed_by_a_third_one(self) -> None:
        outcome = run_attempts(
            silent_server((1,), 9.0, (2,)), silent_server((), 9.0, (2,)), server(0.1, 2)
        )
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))
        self.assertAlmostEqual(2.1, outcome.seconds)

    def test_a_superseded_attempt_may_take_long_to_end(self) -> None:
        async def ends_slowly(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1)
            await trio.sleep(1.0)
            running.record_silence()
            try:
                await trio.sleep_forever()
            finally:
                with trio.CancelScope(shield=True):
                    await trio.sleep(1.0)
            return Streamed()

        result = Broken("the connection was reset")
        outcome = run_attempts(ends_slowly, server(0.1, 2, result=result))
        self.assertEqual((result, [1, 2]), (outcome.result, outcome.ids))


class CancelledAttemptTest(testtools.TestCase):
    def test_a_cancelled_attempt_forwards_nothing(self) -> None:
        async def continues_too_late(running: RunningAttempt) -> AttemptResult:
            running.record_silence()
            with trio.CancelScope(shield=True):
                await trio.sleep(0.2)
            await forward(running, 1, 2, 3)
            return Streamed()

        outcome = run_attempts(continues_too_late, server(0.1, 1, 2))
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))

    def test_a_cancelled_attempt_starts_no_further_one(self) -> None:
        async def silent_too_late(running: RunningAttempt) -> AttemptResult:
            running.record_silence()
            with trio.CancelScope(shield=True):
                await trio.sleep(0.2)
            running.record_silence()
            await trio.lowlevel.checkpoint()
            return Streamed()

        result = Broken("the connection was reset")
        outcome = run_attempts(silent_too_late, server(0.1, 1, result=result))
        self.assertEqual((result, [1]), (outcome.result, outcome.ids))

    def test_the_response_does_not_start_with_the_head_of_a_cancelled_attempt(self) -> None:
        """The response would otherwise carry the signature of a server that sent no event of it."""
        outcome = run_attempts(
            silent_server((), 1.5, ()), server(0.4, result=Broken("the connection was reset"))
        )
        self.assertFalse(outcome.started)


class SlowCallerTest(testtools.TestCase):
    def test_silence_that_is_reported_during_a_write_starts_no_further_attempt(self) -> None:
        """Connection checks of an engine that has reservations run beside the stream."""

        async def is_checked_while_writing(running: RunningAttempt) -> AttemptResult:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_report_silence, running, 1.0)
                await forward(running, 1, 2)
            await forward(running, 3)
            return Streamed()

        outcome = run_attempts(is_checked_while_writing, server(0.1, 3), write_seconds=3.0)
        self.assertEqual((Streamed(), [1, 2, 3]), (outcome.result, outcome.ids))
        self.assertEqual(1, outcome.attempts)


class CutWriteTest(testtools.TestCase):
    """Guards against events that follow a part of another one.

    Memory reservations cancel an attempt whose engine is gone, also while it writes.
    """

    def test_nothing_follows_a_write_that_was_cancelled(self) -> None:
        for sent_after in (0.0, 0.1, 0.5, 5.0):
            self._check_cut(sent_after)

    def _check_cut(self, sent_after: float) -> None:
        """Cuts a write during which a further attempt is sent after so many seconds."""
        broken = Broken("the engine became unreachable")

        async def loses_its_engine(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1, 2)
            running.record_slowness()
            with trio.move_on_after(0.5):
                await forward(running, 3, 4)
            return broken

        async def further(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(sent_after)
            return await server(1.0, 3, 4, 5)(running)

        outcome = run_attempts(loses_its_engine, further, write_seconds=1.0)
        self.assertEqual(broken, outcome.result)
        self.assertEqual(b"id: 1\n\nid: 2\n\nid: 3\n\n", outcome.body)

    def test_a_failure_of_another_attempt_does_not_cut_a_write(self) -> None:
        outcome = run_attempts(
            slow_server(5, 0.3), server(0.2, result=Broken("crashed")), write_seconds=1.0
        )
        self.assertEqual((Streamed(), [1, 2, 3, 4, 5]), (outcome.result, outcome.ids))


class CompleteResponseTest(testtools.TestCase):
    def test_a_response_of_the_silent_server_is_used(self) -> None:
        """Guards against dropping it because a further attempt is in progress."""

        async def silent(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(1.0)
            running.record_silence()
            await trio.sleep(0.2)
            return Answered(200, [], b"first")

        async def waits(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(0.5)
            return await refuses(running)

        self.assertEqual(Answered(200, [], b"first"), run_attempts(silent, waits).result)

    def test_an_error_response_does_not_end_the_further_attempt(self) -> None:
        async def silent(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(1.0)
            running.record_silence()
            await trio.sleep(0.2)
            return Answered(500, [], b"")

        result = Answered(200, [], b"second")
        self.assertEqual(result, run_attempts(silent, server(0.5, result=result)).result)


class FirstFinalResultTest(testtools.TestCase):
    """Guards against a complete stream that is broken off because a further attempt is refused.

    The end of a stream frees its engine, which may decide what becomes of the further attempt.
    """

    def test_a_complete_response_that_is_no_stream_stands(self) -> None:
        for turns in range(4):
            self._check_response(turns)

    def _check_response(self, turns: int) -> None:
        complete = trio.Event()

        async def silent(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            running.record_silence()
            await trio.sleep(0.1)
            complete.set()
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            return Answered(200, [], b"first")

        async def further(running: RunningAttempt) -> AttemptResult:
            await complete.wait()
            return await refuses(running)

        self.assertEqual(Answered(200, [], b"first"), run_attempts(silent, further).result)

    def _check_stream(self, point: int, turns: int, result: Optional[AttemptResult]) -> None:
        """Ends the further attempt at a point of the stream.

        Args:
            point: When: before the last event (0), before the end (1), after the end (2).
            turns: How many turns other tasks get before the stream goes on.
            result: Result of the further attempt; ``None`` if it is refused.

        """
        ends = trio.Event()

        async def reach(number: int) -> None:
            if number == point:
                ends.set()
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()

        async def slow(running: RunningAttempt) -> AttemptResult:
            running.may_send()
            await forward(running, 1, 2)
            running.record_slowness()
            await trio.sleep(0.1)
            await reach(0)
            await forward(running, 3)
            await reach(1)
            result = await end(running)
            await reach(2)
            return result

        async def further(running: RunningAttempt) -> AttemptResult:
            if isinstance(result, (Broken, Rejected, Answered)):
                running.may_send()
            await ends.wait()
            return await refuses(running) if result is None else result

        outcome = run_attempts(slow, further, *[server(5.0, 3)] * 3)
        self.assertEqual((Streamed(), [1, 2, 3]), (outcome.result, outcome.ids))
        self.assertTrue(outcome.seconds < 1.0)

    def test_a_complete_stream_stands(self) -> None:
        results = (
            None,
            NotSent("connection refused"),
            Withheld("the engine is draining"),
            Broken("reset"),
            Rejected(503, None),
            Answered(500, [], b""),
            Answered(404, [], b""),
        )
        for result in results:
            for point in range(3):
                for turns in range(4):
                    self._check_stream(point, turns, result)


class RetryBudgetTest(testtools.TestCase):
    def test_a_further_attempt_that_is_not_sent_costs_no_retry(self) -> None:
        outcome = run_attempts(silent_server((1,), 9.5, (2,)), *[refuses] * 9, retries=1)
        self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))
        self.assertEqual((1, 10), (outcome.retries_left, outcome.attempts))

    def test_a_further_attempt_that_is_sent_costs_one(self) -> None:
        outcome = run_attempts(silent_server((1,), 9.5, (2,)), server(0.1, 2), retries=1)
        self.assertEqual(0, outcome.retries_left)


class SilenceBeforeFirstEventTest(testtools.TestCase):
    def test_the_silent_server_is_given_up_when_another_one_responds(self) -> None:
        outcome = run_attempts(silent_server((), 5.0, (1,)), server(0.5, 1))
        self.assertEqual((Streamed(), [1]), (outcome.result, outcome.ids))
        self.assertEqual([0], outcome.cancelled)

    def test_the_silent_server_responds_although_the_other_one_fails(self) -> None:
        """Guards against giving it up when the further attempt is sent."""
        for result in (Rejected(503, None), Broken("reset"), Answered(500, [], b"")):
            outcome = run_attempts(
                silent_server((), 1.5, (1, 2)), server(0.1, result=result), retries=1
            )
            self.assertEqual((Streamed(), [1, 2]), (outcome.result, outcome.ids))

    def test_the_silent_server_responds_while_no_other_one_is_free(self) -> None:
        async def waits_for_engine(running: RunningAttempt) -> AttemptResult:
            await trio.sleep(5.0)
            return await server(0.1, 1)(running)

        outcome = run_attempts(silent_server((), 1.5, (1,)), waits_for_engine)
        self.assertEqual((Streamed(), [1]), (outcome.result, outcome.ids))

    def test_a_refused_retry_does_not_end_the_request(self) -> None:
        outcome = run_attempts(silent_server((), 1.5, (1,)), refuses)
        self.assertEqual((Streamed(), [1]), (outcome.result, outcome.ids))


class FirstAttemptTest(testtools.TestCase):
    def test_a_refusal_is_raised(self) -> None:
        self.assertRaises(RequestRefusedError, run_attempts, refuses)

    def test_a_result_of_the_only_attempt_is_returned(self) -> None:
        for result in (Broken("reset"), Rejected(503, None), NotSent("refused")):
            self.assertEqual(result, run_attempts(server(0.1, result=result)).result)
