"""Handles requests of callers, including retries and refusals."""

import json
import math
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._admission import Admission
from camphordrift.relay._attempt import (
    Answered,
    AttemptResult,
    Broken,
    NotSent,
    Rejected,
    Streamed,
    Withheld,
)
from camphordrift.relay._caller_sink import CallerEventSink
from camphordrift.relay._http_server import CallerRequest, ResponseWriter
from camphordrift.relay._interfaces import HeaderFormat
from camphordrift.relay._refusals import (
    RequestRefusedError,
    failure_of_attempt,
    failure_of_deadline,
    failure_of_revoked_key,
)
from camphordrift.relay._request_progress import RequestProgress
from camphordrift.relay._request_reports import RequestReports
from camphordrift.relay._routing_state import RoutingState
from camphordrift.relay._sender import LATE_RESPONSE_MARGIN, Sender
from camphordrift.relay._values import RequestMetadata
from camphordrift.results import Failure, ResultCode, describe_failure

#: Maximum number of seconds that a request on a VM that has just started waits for the
#: configuration and the server directory. Reading them from the store takes less than a tenth of
#: this time.
STARTUP_WAIT = 0.4

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

    async def handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Handles a request from admission to the end of the response."""
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
        await self._serve_until_deadline(progress)

    async def _serve_until_deadline(self, progress: RequestProgress) -> None:
        request, response, metadata = progress.request, progress.response, progress.metadata
        try:
            with trio.move_on_at(progress.deadline + LATE_RESPONSE_MARGIN):
                await self._serve(progress)
        except RequestRefusedError as error:
            if response.started:
                self._reports.record_truncated(progress)
            else:
                await self._refuse(request, response, metadata, error.failure, progress)
            return
        except trio.Cancelled:
            self._reports.record_caller_disconnected(progress)
            raise
        if response.completed:
            self._reports.record_completed(progress)
        elif response.started:
            self._reports.record_truncated(progress)
        else:
            await self._refuse(request, response, metadata, failure_of_deadline(progress), progress)

    async def _serve(self, progress: RequestProgress) -> None:
        sink = CallerEventSink(progress) if progress.route.streams else None
        while True:
            if not self._routing_state.is_still_authorized(progress.metadata.key, progress.account):
                raise RequestRefusedError(failure_of_revoked_key(progress))
            if progress.service.engine_costs is not None:
                result = await self._sender.try_engine(progress, sink)
            else:
                result = await self._sender.try_plain_server(progress, sink)
            progress.last_result = result
            if await self._finish_or_retry(progress, result):
                return

    async def _finish_or_retry(self, progress: RequestProgress, result: AttemptResult) -> bool:
        """Handles the result of an attempt; returns ``False`` if the request is to be retried."""
        match result:
            case Streamed():
                await progress.response.end()
                return True
            case Answered(status, headers, body):
                if status >= 500 and self._may_retry(progress):
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
                if progress.route.retryable and self._may_retry(progress):
                    return False
        if progress.response.started:
            return True
        pause = self._routing_state.shortest_pause(progress.service.name)
        raise RequestRefusedError(failure_of_attempt(progress, result, pause))

    def _may_try_another_server(self, progress: RequestProgress) -> bool:
        return progress.remaining_time > 0 and len(progress.excluded_servers) < MAX_EXCLUDED_SERVERS

    def _may_retry(self, progress: RequestProgress) -> bool:
        route = progress.route
        if progress.remaining_time <= 0:
            return False
        if (
            progress.preferred_server is None
            and progress.distinct_servers_attempted >= route.max_attempts
        ):
            return False
        if len(progress.attempted_servers) >= route.max_attempts + MAX_HELPER_CHANGES:
            return False
        if not route.retryable:
            return False
        budget = self._routing_state.budget(progress.service.name)
        if budget.try_retry(trio.current_time()):
            return True
        log_event("retry_budget_spent", level=LogLevel.WARNING, service=progress.service.name)
        return False

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
