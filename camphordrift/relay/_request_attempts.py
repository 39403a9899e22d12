"""Runs the attempts of one request, and keeps a silent server until another one takes its place.

A server that sends nothing for a while may have crashed, but it may also be sound and continue. Its
attempt therefore goes on while a further attempt is made on another server. An attempt of which the
caller has received nothing is cancelled when the further one is sent, as both would load the
servers. Once a stream to the caller has begun, both attempts go on, and whichever sends the next
event continues the stream. If there is no further attempt, as no server is free or no retry is
permitted, the silent server has until the deadline of the request.
"""

from collections.abc import Awaitable, Callable
from typing import Optional, Union

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._attempt import (
    Answered,
    AttemptResult,
    Broken,
    NotSent,
    Streamed,
    Withheld,
)
from camphordrift.relay._caller_sink import CallerEventSink, CallerStream
from camphordrift.relay._refusals import RequestRefusedError
from camphordrift.relay._request_progress import RequestProgress


class RunningAttempt:
    """An attempt in progress.

    Args:
        record_silence: Called with the attempt each time its server has been silent.
        record_send: Called with the attempt immediately before it is sent.

    """

    def __init__(
        self,
        record_silence: Callable[["RunningAttempt"], None],
        record_send: Callable[["RunningAttempt"], None],
    ) -> None:
        self._record_silence = record_silence
        self._record_send = record_send
        self.scope = trio.CancelScope()
        #: Receives the events; ``None`` if the response is no stream.
        self.sink: Optional[CallerEventSink] = None
        #: Called when a further attempt begins before this one has forwarded an event.
        self.on_replacement: Callable[[], None] = lambda: None
        #: Whether the server has been silent since its last event.
        self.is_silent = False
        #: Whether the request was sent to the server.
        self.was_sent = False
        #: Whether the attempt forwarded an event to the caller.
        self.has_forwarded = False

    def record_silence(self) -> None:
        """Records that the server was silent."""
        self.is_silent = True
        self._record_silence(self)

    def record_send(self) -> None:
        """Records that the request is sent to the server now."""
        self.was_sent = True
        self._record_send(self)


#: Runs one attempt.
RunAttempt = Callable[[RequestProgress, RunningAttempt], Awaitable[AttemptResult]]


class RequestAttempts:
    """Runs attempts of one request until the result of one of them has to be handled.

    Args:
        progress: State of the request.
        run_attempt: Runs one attempt; raises :class:`RequestRefusedError` if there is no server.
        try_retry: Returns whether the request may be retried, and counts the retry if so.
        may_try_another_server: Returns whether a request that was not sent may be sent elsewhere.

    """

    def __init__(
        self,
        progress: RequestProgress,
        run_attempt: RunAttempt,
        try_retry: Callable[[], bool],
        may_try_another_server: Callable[[], bool],
    ) -> None:
        self._progress = progress
        self._run_attempt = run_attempt
        self._try_retry = try_retry
        self._may_try_another_server = may_try_another_server
        self._stream: Optional[CallerStream] = None
        if progress.route.streams:
            self._stream = CallerStream(progress.response, progress.metadata.last_event_id)
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
        attempt = RunningAttempt(self._handle_silence, self._handle_send)
        if self._stream is not None:
            attempt.sink = CallerEventSink(self._stream, lambda: self._claim_stream(attempt))
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
            self._running.remove(attempt)
            self._handle_result(result)

    def _handle_result(self, result: Union[AttemptResult, RequestRefusedError]) -> None:
        if isinstance(result, Streamed) or not self._running:
            self._result = result
            self._nursery.cancel_scope.cancel()
            return
        # The other attempt decides what becomes of the request.
        if isinstance(result, (Broken, Answered)):
            self._progress.may_have_run = True
        elif isinstance(result, (NotSent, Withheld)) and self._may_try_another_server():
            self._start_attempt()

    def _handle_silence(self, attempt: RunningAttempt) -> None:
        """Starts a further attempt, if the request may be retried and none has begun since."""
        is_latest = self._running[-1:] == [attempt]
        is_retried = is_latest and self._try_retry()
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

    def _handle_send(self, attempt: RunningAttempt) -> None:
        """Cancels the attempts of which the caller has received nothing."""
        if attempt not in self._running:
            # It was cancelled, and ends at its next checkpoint.
            return
        for other in self._others(attempt):
            if not other.has_forwarded:
                self._progress.may_have_run |= other.was_sent
                self._cancel(other)

    async def _claim_stream(self, attempt: RunningAttempt) -> None:
        """Makes an attempt the one that continues the stream, and cancels the others."""
        if attempt.scope.cancel_called:
            await trio.lowlevel.checkpoint()
        for other in self._others(attempt):
            log_event(
                "attempt_superseded",
                request=self._progress.metadata.attempt_id,
                was_silent=other.is_silent,
            )
            self._cancel(other)
        attempt.is_silent = False
        attempt.has_forwarded = True

    def _cancel(self, attempt: RunningAttempt) -> None:
        """Cancels an attempt; it may take a while to release what it holds."""
        self._running.remove(attempt)
        attempt.scope.cancel()

    def _others(self, attempt: RunningAttempt) -> list[RunningAttempt]:
        return [other for other in self._running if other is not attempt]
