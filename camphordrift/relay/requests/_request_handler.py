"""Handles requests of callers, including retries and refusals."""

import json
import math
from collections.abc import Sequence
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import CallerRequest, ResponseWriter
from camphordrift.relay.model import HeaderFormat, RequestMetadata
from camphordrift.relay.requests._admission import Admission
from camphordrift.relay.requests._attempt import (
    Answered,
    AttemptResult,
    Broken,
    NotSent,
    Rejected,
    Streamed,
    Withheld,
)
from camphordrift.relay.requests._refusals import (
    RequestRefusedError,
    failure_of_attempt,
    failure_of_deadline,
    failure_of_quarantine,
    failure_of_revoked_key,
    failure_of_stop,
)
from camphordrift.relay.requests._request_attempts import RequestAttempts, RunningAttempt
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.requests._request_reports import RequestReports
from camphordrift.relay.requests._routing_state import RoutingState
from camphordrift.relay.requests._sender import Sender
from camphordrift.relay.scheduling import RetryBudget
from camphordrift.results import Failure, ResultCode, describe_failure

#: Maximum number of seconds that a request on a VM that has just started waits for the
#: configuration and the server directory. Reading them from the store takes less than a tenth of
#: this time.
STARTUP_WAIT = 0.4

#: Seconds allowed after the deadline for a server's own timeout response to arrive.
LATE_RESPONSE_MARGIN = 0.03

#: Maximum number of retries on the same engine with other prefill helpers, if only a helper failed.
MAX_HELPER_CHANGES = 4

#: Number of excluded servers, such as unreachable ones, at which a request is refused instead of
#: being sent to another server.
MAX_EXCLUDED_SERVERS = 4


class RequestHandler:
    """Forwards requests to servers and sends their responses to the callers."""

    def __init__(
        self,
        routing_state: RoutingState,
        admission: Admission,
        sender: Sender,
        header_format: HeaderFormat,
        reports: RequestReports,
    ) -> None:
        self._routing_state = routing_state
        self._admission = admission
        self._sender = sender
        self._header_format = header_format
        self._reports = reports
        #: Requests in progress, by the scope that cancels them at their deadline.
        self._in_progress: dict[trio.CancelScope, RequestProgress] = {}
        self._is_stopping = False
        self._exit_at: Optional[float] = None
        #: When the VM that exits now got the signal to stop, by trio's clock.
        self._signalled_at: Optional[float] = None

    def refuse_late(self, exit_at: float) -> None:
        """Refuses all new requests that may run for longer than this VM does.

        Args:
            exit_at: When this VM exits, by trio's clock.

        """
        self._exit_at = exit_at

    def refuse_unstarted(self) -> None:
        """Refuses all requests whose response has not started, because this VM is about to stop."""
        self._is_stopping = True
        for scope, progress in self._in_progress.items():
            if not progress.response.started:
                scope.cancel()

    def record_exit(self, signalled_at: float) -> None:
        """Records that this VM exits now, and so cuts the requests that are still in progress.

        Args:
            signalled_at: When it got the signal to stop, by trio's clock.

        """
        self._signalled_at = signalled_at

    async def handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Handles a request from admission to the end of the response.

        An exception is answered as well, unless the response has started.
        """
        try:
            await self._admit_and_serve(request, response)
        except Exception as error:
            failure = self._failure_of_error(error, "", ())
            if not response.started:
                await self._refuse(request, response, None, failure)

    async def _admit_and_serve(self, request: CallerRequest, response: ResponseWriter) -> None:
        await self._routing_state.wait_until_loaded(STARTUP_WAIT)
        try:
            metadata = self._header_format.request_metadata(request.headers)
        except ValueError as error:
            failure = Failure(ResultCode.BAD_HEADER, f"malformed header: {error}")
            await self._refuse(request, response, None, failure)
            return
        try:
            progress = self._admission.accept(request, response, metadata)
        except RequestRefusedError as error:
            await self._refuse(request, response, metadata, error.failure)
            return
        may_outlast_vm = self._exit_at is not None and progress.deadline > self._exit_at
        if self._is_stopping or may_outlast_vm:
            await self._refuse(request, response, metadata, failure_of_stop(progress), progress)
            return
        await self._serve_until_deadline(progress)

    async def _serve_until_deadline(self, progress: RequestProgress) -> None:
        refusal: Optional[Failure] = None
        was_cancelled = True
        scope = trio.CancelScope(deadline=progress.deadline + LATE_RESPONSE_MARGIN)
        self._in_progress[scope] = progress
        try:
            with scope:
                await self._serve(progress)
            was_cancelled = False
        except RequestRefusedError as error:
            refusal, was_cancelled = error.failure, False
        except Exception as error:
            # The caller gets a response even if the relay itself has a fault.
            tried = progress.attempted_servers
            refusal = self._failure_of_error(error, progress.metadata.attempt_id, tried)
            was_cancelled = False
        finally:
            del self._in_progress[scope]
            # Cancellation may arrive as an exception group, which no except clause here matches.
            if was_cancelled:
                self._record_cancelled(progress)
        await self._finish(progress, refusal)

    def _record_cancelled(self, progress: RequestProgress) -> None:
        if self._signalled_at is None:
            self._reports.record_caller_disconnected(progress)
        else:
            self._reports.record_cut(progress, self._signalled_at)

    def _failure_of_error(self, error: Exception, request_id: str, tried: Sequence[str]) -> Failure:
        log_event(
            "request_failed",
            level=LogLevel.ERROR,
            request=request_id,
            tried=",".join(tried),
            error=repr(error),
        )
        return Failure(ResultCode.INTERNAL_ERROR, "internal error; see the log for details")

    async def _finish(self, progress: RequestProgress, refusal: Optional[Failure]) -> None:
        """Records the response, and refuses the request if there is none."""
        request, response, metadata = progress.request, progress.response, progress.metadata
        match progress.last_result:
            case Answered(status, headers, body) if status < 500 and not response.started:
                # It arrived as the request was cancelled.
                await response.send_complete(status, headers, body)
        if response.completed:
            self._reports.record_completed(progress)
        elif response.started:
            self._reports.record_truncated(progress)
        else:
            ended_early = self._is_stopping and progress.remaining_time > 0
            failure_of_end = failure_of_stop if ended_early else failure_of_deadline
            failure = refusal or failure_of_end(progress)
            await self._refuse(request, response, metadata, failure, progress)

    async def _serve(self, progress: RequestProgress) -> None:
        attempts = RequestAttempts(
            progress,
            self._run_attempt,
            may_retry=lambda: self._is_retry_permitted(progress)
            and self._is_safe_to_retry(progress)
            and self._budget(progress).has_retry(trio.current_time()),
            charge_retry=lambda: self._charge_retry(progress),
            may_try_another_server=lambda: self._may_try_another_server(progress),
        )
        while True:
            result = await attempts.run()
            progress.last_result = result
            if await self._finish_or_retry(progress, result):
                return

    async def _run_attempt(
        self, progress: RequestProgress, running: RunningAttempt
    ) -> AttemptResult:
        if not self._routing_state.is_still_authorized(progress.metadata.key, progress.account):
            raise RequestRefusedError(failure_of_revoked_key(progress))
        seconds_left = self._routing_state.crashes.quarantine_seconds_left(progress.traits)
        if seconds_left > 0:
            raise RequestRefusedError(failure_of_quarantine(progress, seconds_left))
        if progress.service.engine_costs is not None:
            return await self._sender.try_engine(progress, running)
        return await self._sender.try_plain_server(progress, running)

    async def _finish_or_retry(self, progress: RequestProgress, result: AttemptResult) -> bool:
        """Handles the result of an attempt; returns ``False`` if the request is to be retried."""
        if progress.response.is_cut:
            return True
        match result:
            case Streamed():
                await progress.response.end()
                return True
            case Answered(status, headers, body):
                if status >= 500 and self._may_retry(progress):
                    progress.may_have_run = True
                    return False
                if not progress.response.started:
                    await progress.response.send_complete(status, headers, body)
                return True
            case NotSent() | Withheld():
                if self._may_try_another_server(progress):
                    return False
            case Rejected():
                if self._may_retry(progress):
                    return False
            case Broken():
                progress.may_have_run = True
                if self._is_safe_to_retry(progress) and self._may_retry(progress):
                    return False
        if progress.response.started:
            return True
        pause = self._routing_state.shortest_pause(progress.service.name)
        raise RequestRefusedError(failure_of_attempt(progress, result, pause))

    def _may_try_another_server(self, progress: RequestProgress) -> bool:
        return progress.remaining_time > 0 and len(progress.excluded_servers) < MAX_EXCLUDED_SERVERS

    def _is_safe_to_retry(self, progress: RequestProgress) -> bool:
        """Returns whether a request may be retried although its server may have crashed on it.

        Servers rather crash at the beginning of a response. The parts of an established one are
        therefore not held against it, as other requests have them too.
        """
        traits = (progress.whole_request,) if progress.is_established else progress.traits
        return self._routing_state.crashes.may_retry(traits)

    def _may_retry(self, progress: RequestProgress) -> bool:
        return self._is_retry_permitted(progress) and self._charge_retry(progress)

    def _is_retry_permitted(self, progress: RequestProgress) -> bool:
        route = progress.route
        if progress.remaining_time <= 0:
            return False
        if progress.stream is not None and not progress.stream.is_resumable:
            return False
        if (
            progress.preferred_server is None
            and progress.distinct_servers_attempted >= route.max_attempts
        ):
            return False
        if len(progress.attempted_servers) >= route.max_attempts + MAX_HELPER_CHANGES:
            return False
        return route.retryable

    def _charge_retry(self, progress: RequestProgress) -> bool:
        if self._budget(progress).try_retry(trio.current_time()):
            return True
        log_event("retry_budget_spent", level=LogLevel.WARNING, service=progress.service.name)
        return False

    def _budget(self, progress: RequestProgress) -> RetryBudget:
        return self._routing_state.budget(progress.service.name)

    async def _refuse(
        self,
        request: CallerRequest,
        response: ResponseWriter,
        metadata: Optional[RequestMetadata],
        failure: Failure,
        progress: Optional[RequestProgress] = None,
    ) -> None:
        headers = [(b"content-type", b"application/json")]
        if failure.retry_after_seconds is not None:
            # Rounded up, so that no caller returns before the stated time.
            hundredths = math.ceil(failure.retry_after_seconds * 100)
            headers.append((b"retry-after", b"%.2f" % (hundredths / 100)))
        self._reports.record_refused(request, metadata, failure, progress)
        body = json.dumps({"error": describe_failure(failure)}).encode()
        await response.send_complete(failure.http_status, headers, body)
