"""Takes a caller's request to an answer."""

import json
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
from camphordrift.relay._caller_sink import CallerSink
from camphordrift.relay._http_server import Answer, CallerRequest
from camphordrift.relay._interfaces import HeaderFormat
from camphordrift.relay._refusals import (
    RequestRefusedError,
    failure_after,
    no_longer_allowed,
    out_of_time,
)
from camphordrift.relay._request_progress import RequestProgress
from camphordrift.relay._request_reports import RequestReports
from camphordrift.relay._routing_state import RoutingState
from camphordrift.relay._sender import LATE_ANSWER_TIME, Sender
from camphordrift.relay._values import RequestFacts
from camphordrift.results import Failure, ResultCode, describe_failure

#: Seconds for which a request waits on a VM that has just started for what it needs to know;
#: reading the store takes less than a tenth of that.
START_TIME = 0.4

#: Times that an engine is asked again with other helpers, where only a helper was at fault.
MAX_HELPER_CHANGES = 4

#: Servers that could not be reached after which a request is refused.
MAX_UNREACHABLE_SERVERS = 4


class RequestHandler:
    """Handles requests with what one VM knows."""

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
        self._format = header_format
        self._reports = reports

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers a request."""
        await self._routing_state.wait_until_loaded(START_TIME)
        try:
            facts = self._format.request_facts(request.headers)
        except ValueError as error:
            failure = Failure(ResultCode.BAD_HEADER, f"a header cannot be read: {error}")
            await self._refuse(request, answer, None, failure)
            return
        try:
            progress = self._admission.accept(request, answer, facts)
        except RequestRefusedError as error:
            await self._refuse(request, answer, facts, error.failure)
            return
        await self._serve_in_time(progress)

    async def _serve_in_time(self, progress: RequestProgress) -> None:
        request, answer, facts = progress.request, progress.answer, progress.facts
        try:
            with trio.move_on_at(progress.give_up_at + LATE_ANSWER_TIME):
                await self._serve(progress)
        except RequestRefusedError as error:
            if answer.started:
                self._reports.broken_off(progress)
            else:
                await self._refuse(request, answer, facts, error.failure, progress)
            return
        except trio.Cancelled:
            self._reports.caller_left(progress)
            raise
        if answer.ended:
            self._reports.answered(progress)
        elif answer.started:
            self._reports.broken_off(progress)
        else:
            await self._refuse(request, answer, facts, out_of_time(progress), progress)

    async def _serve(self, progress: RequestProgress) -> None:
        sink = CallerSink(progress) if progress.route.streams else None
        while True:
            if not self._routing_state.is_still_authorized(progress.facts.key, progress.account):
                raise RequestRefusedError(no_longer_allowed(progress))
            if progress.service.engine_costs is not None:
                result = await self._sender.try_engine(progress, sink)
            else:
                result = await self._sender.try_plain_server(progress, sink)
            progress.last_result = result
            if await self._settle(progress, result):
                return

    async def _settle(self, progress: RequestProgress, result: AttemptResult) -> bool:
        """Ends the request after an attempt; returns ``False`` if another one is due."""
        match result:
            case Streamed():
                await progress.answer.end()
                return True
            case Answered(status, headers, body):
                if status >= 500 and self._may_repeat(progress):
                    return False
                if not progress.answer.started:
                    await progress.answer.whole(status, headers, body)
                return True
            case NotSent() | Withheld():
                if self._may_try_elsewhere(progress):
                    return False
            case Rejected():
                if self._may_repeat(progress):
                    return False
            case Broken():
                progress.may_have_run = True
                if progress.route.may_repeat and self._may_repeat(progress):
                    return False
        if progress.answer.started:
            return True
        raise RequestRefusedError(failure_after(progress, result))

    def _may_try_elsewhere(self, progress: RequestProgress) -> bool:
        return progress.time_left > 0 and len(progress.excluded) < MAX_UNREACHABLE_SERVERS

    def _may_repeat(self, progress: RequestProgress) -> bool:
        route = progress.route
        if progress.time_left <= 0:
            return False
        if progress.preferred is None and progress.engines_tried >= route.max_attempts:
            return False
        if len(progress.tried) >= route.max_attempts + MAX_HELPER_CHANGES:
            return False
        if not route.may_repeat:
            return False
        budget = self._routing_state.budget(progress.service.name)
        if budget.try_repeat(trio.current_time()):
            return True
        log_event("retry_budget_spent", level=LogLevel.WARNING, service=progress.service.name)
        return False

    async def _refuse(
        self,
        request: CallerRequest,
        answer: Answer,
        facts: Optional[RequestFacts],
        failure: Failure,
        progress: Optional[RequestProgress] = None,
    ) -> None:
        headers = [(b"content-type", b"application/json")]
        if failure.retry_after_seconds is not None:
            headers.append((b"retry-after", b"%.2f" % failure.retry_after_seconds))
        self._reports.refused(request, facts, failure, progress)
        body = json.dumps({"error": describe_failure(failure)}).encode()
        await answer.whole(failure.http_status, headers, body)
