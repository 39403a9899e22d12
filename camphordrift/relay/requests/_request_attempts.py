"""Runs the attempts of one request, and keeps a silent server until another one has responded.

A server that sends nothing for a while may have crashed, but it may also be sound and continue. Its
attempt therefore goes on while a further attempt is made on another server. Whichever server sends
the next event continues the stream, and the other attempt is cancelled; of responses that are no
streams, the first complete one is used. If there is no further attempt, as no server is free or no
retry is permitted, the silent server has until the deadline of the request.

A stream that is too slow to be complete before its deadline goes on in this way, until a further
attempt is sent. From then its events are received but held back until that attempt has sent an
event, which cancels the slow one, or has failed: the further attempt resumes the stream after the
last event that was forwarded, and events of both must not be mixed. If the slow response is
complete before that, it ends the stream, and the further attempt is cancelled.
"""

from collections.abc import Awaitable, Callable
from typing import Optional, Union

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.requests._attempt import (
    Answered,
    AttemptResult,
    Broken,
    NotSent,
    Streamed,
    Withheld,
)
from camphordrift.relay.requests._caller_sink import CallerEventSink, CallerStream
from camphordrift.relay.requests._refusals import RequestRefusedError
from camphordrift.relay.requests._request_progress import RequestProgress


class RunningAttempt:
    """An attempt in progress.

    Args:
        record_silence: Called with the attempt each time its server has been silent.
        record_slowness: Called with the attempt once, if its stream is too slow.
        charge_retry: Called immediately before the attempt is sent if it is a further one; returns
            whether it may be sent. ``None`` for the first attempt.

    """

    def __init__(
        self,
        record_silence: Callable[["RunningAttempt"], None],
        record_slowness: Callable[["RunningAttempt"], None],
        charge_retry: Optional[Callable[[], bool]] = None,
    ) -> None:
        self._record_silence = record_silence
        self._record_slowness = record_slowness
        self._charge_retry = charge_retry
        self.scope = trio.CancelScope()
        #: Receives the events; ``None`` if the response is no stream.
        self.sink: Optional[CallerEventSink] = None
        #: Called when a further attempt begins before this one has forwarded an event.
        self.on_replacement: Callable[[], None] = lambda: None
        #: Whether the server has been silent since its last event.
        self.is_silent = False
        #: Whether the stream is too slow to be complete before the deadline.
        self.is_slow = False
        #: Whether the attempt was sent.
        self.is_sent = False
        #: Whether the attempt forwarded an event to the caller.
        self.has_forwarded = False

    def record_silence(self) -> None:
        """Records that the server was silent."""
        self.is_silent = True
        self._record_silence(self)

    def record_arrival(self) -> None:
        """Records that events of the server have arrived."""
        self.is_silent = False

    def record_slowness(self) -> None:
        """Records that the stream is too slow to be complete before the deadline."""
        if not self.is_slow:
            self.is_slow = True
            self._record_slowness(self)

    def may_send(self) -> bool:
        """Returns whether the attempt may be sent now, and counts it as a retry if it is one."""
        self.is_sent = self._charge_retry is None or self._charge_retry()
        return self.is_sent


#: Runs one attempt.
RunAttempt = Callable[[RequestProgress, RunningAttempt], Awaitable[AttemptResult]]


class RequestAttempts:
    """Runs attempts of one request until the result of one of them has to be handled.

    Args:
        progress: State of the request.
        run_attempt: Runs one attempt; raises :class:`RequestRefusedError` if there is no server.
        may_retry: Returns whether the request may be retried.
        charge_retry: Counts a retry; returns ``False`` if it is not permitted any more.
        may_try_another_server: Returns whether a request that was not sent may be sent elsewhere.

    """

    def __init__(
        self,
        progress: RequestProgress,
        run_attempt: RunAttempt,
        may_retry: Callable[[], bool],
        charge_retry: Callable[[], bool],
        may_try_another_server: Callable[[], bool],
    ) -> None:
        self._progress = progress
        self._run_attempt = run_attempt
        self._may_retry = may_retry
        self._charge_retry = charge_retry
        self._may_try_another_server = may_try_another_server
        self._stream: Optional[CallerStream] = None
        if progress.route.streams:
            self._stream = CallerStream(progress.response, progress.metadata.last_event_id)
            progress.stream = self._stream
        #: The attempts in progress, in the order in which they began.
        self._running: list[RunningAttempt] = []

    async def run(self) -> AttemptResult:
        """Runs an attempt, and further ones while servers are silent; returns the deciding result.

        Raises:
            RequestRefusedError: No server can be tried.

        """
        self._result: Union[AttemptResult, RequestRefusedError, None] = None
        async with trio.open_nursery() as self._nursery:
            self._start_attempt()
        assert self._result is not None
        if isinstance(self._result, RequestRefusedError):
            raise self._result
        return self._result

    def _start_attempt(self) -> None:
        is_further = bool(self._running)
        attempt = RunningAttempt(
            self._handle_silence,
            self._handle_slowness,
            self._charge_retry if is_further else None,
        )
        if self._stream is not None:
            attempt.sink = CallerEventSink(
                self._stream,
                lambda is_complete: self._claim_stream(attempt, is_complete),
                lambda: self._has_turn(attempt),
                attempt.record_arrival,
            )
        self._running.append(attempt)
        self._nursery.start_soon(self._run_to_result, attempt)

    async def _run_to_result(self, attempt: RunningAttempt) -> None:
        result: Union[AttemptResult, RequestRefusedError, None] = None
        with attempt.scope:
            try:
                result = await self._run_attempt(self._progress, attempt)
            except RequestRefusedError as error:
                result = error
        if attempt in self._running and result is not None:
            self._remove(attempt)
            self._handle_result(result)

    def _remove(self, attempt: RunningAttempt) -> None:
        self._running.remove(attempt)
        for other in self._running:
            if other.sink is not None and self._has_turn(other):
                other.sink.resume()

    def _handle_result(self, result: Union[AttemptResult, RequestRefusedError]) -> None:
        if self._result is not None:
            # An attempt may end after the result that cancels it, as it had been resumed before.
            return
        if self._is_final(result) or not self._running:
            self._result = result
            self._nursery.cancel_scope.cancel()
            return
        # The other attempt decides what becomes of the request.
        if isinstance(result, (Broken, Answered)):
            self._progress.may_have_run = True
        elif isinstance(result, (NotSent, Withheld)) and self._may_try_another_server():
            self._start_attempt()

    def _is_final(self, result: Union[AttemptResult, RequestRefusedError]) -> bool:
        """Returns whether another attempt cannot improve a result."""
        if self._progress.response.is_cut:
            return True
        match result:
            case Streamed():
                return True
            case Answered(status):
                # Another server's error response cannot continue a stream that has started.
                return status < 500 and not self._progress.response.started
            case _:
                return False

    def _handle_silence(self, attempt: RunningAttempt) -> None:
        """Starts a further attempt, if the request may be retried and none has begun since."""
        if self._stream is not None and self._stream.lock.locked():
            # It is the caller that does not read.
            return
        if not self._has_turn(attempt):
            # A further attempt was sent before.
            return
        if any(not self._has_turn(other) for other in self._running):
            # The slow attempt that this one was to replace continues instead.
            self._remove(attempt)
            attempt.scope.cancel()
            return
        is_latest = self._running[-1:] == [attempt]
        is_retried = is_latest and self._may_retry()
        log_event(
            "server_silent",
            level=LogLevel.WARNING,
            request=self._progress.metadata.attempt_id,
            tried=",".join(self._progress.attempted_servers),
            started=attempt.has_forwarded,
            retried=is_retried,
            time_left=self._progress.remaining_time,
        )
        if is_retried:
            if not attempt.has_forwarded:
                attempt.on_replacement()
            self._start_attempt()

    def _handle_slowness(self, attempt: RunningAttempt) -> None:
        """Starts a further attempt, if the request may be retried and no other one is running."""
        is_retried = self._running == [attempt] and self._may_retry()
        log_event(
            "stream_slow",
            level=LogLevel.WARNING,
            request=self._progress.metadata.attempt_id,
            tried=",".join(self._progress.attempted_servers),
            retried=is_retried,
            time_left=self._progress.remaining_time,
        )
        if is_retried:
            self._start_attempt()

    def _has_turn(self, attempt: RunningAttempt) -> bool:
        """Returns whether an attempt may forward events.

        A slow one may not while an attempt that resumes its stream is waiting for the first event.
        """
        if not attempt.is_slow or attempt not in self._running:
            return True
        later = self._running[self._running.index(attempt) + 1 :]
        return not any(other.is_sent for other in later)

    async def _claim_stream(self, attempt: RunningAttempt, is_complete: bool) -> None:
        """Makes an attempt the one that continues the stream, and cancels the others."""
        await trio.lowlevel.checkpoint_if_cancelled()
        for other in [item for item in self._running if item is not attempt]:
            if attempt.is_slow and not other.is_sent and not is_complete:
                # It waits for a server, and resumes the stream after what is forwarded until then.
                continue
            log_event(
                "attempt_superseded",
                request=self._progress.metadata.attempt_id,
                was_silent=other.is_silent,
                was_slow=other.is_slow,
            )
            self._remove(other)
            other.scope.cancel()
        attempt.has_forwarded = True
