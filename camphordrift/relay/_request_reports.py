"""Log lines and metrics about requests."""

from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._attempt import AttemptResult, AttemptTerms
from camphordrift.relay._caller_sink import CallerSink
from camphordrift.relay._http_server import CallerRequest
from camphordrift.relay._placement_values import PlacementRequest
from camphordrift.relay._relay_metrics import RelayMetrics, length_band
from camphordrift.relay._request_progress import RequestProgress
from camphordrift.relay._routing_state import RoutingState
from camphordrift.relay._values import BackendServer, RequestFacts
from camphordrift.results import Failure


class RequestReports:
    """Reports what happened to requests, with what decided it."""

    def __init__(self, routing_state: RoutingState, metrics: RelayMetrics) -> None:
        self._routing_state = routing_state
        self._metrics = metrics

    def answered(self, progress: RequestProgress) -> None:
        """Notes a whole answer."""
        route, elapsed = progress.route.name, trio.current_time() - progress.request.received
        self._metrics.requests.add(route=route, status=str(progress.answer.status))
        self._metrics.request_seconds.record(elapsed, route=route)

    def broken_off(self, progress: RequestProgress) -> None:
        """Notes an answer that could not be finished."""
        self._metrics.broken_answers.add(route=progress.route.name)
        log_event(
            "answer_broken_off",
            level=LogLevel.WARNING,
            request=progress.facts.attempt_id,
            route=progress.route.name,
            tried=",".join(progress.tried),
            reason=getattr(progress.last_result, "reason", "the time ran out"),
            time_left=progress.time_left,
            elapsed=trio.current_time() - progress.request.received,
        )

    def caller_left(self, progress: RequestProgress) -> None:
        """Notes that the caller left before the end."""
        self._metrics.callers_left.add(route=progress.route.name)
        log_event(
            "caller_left",
            request=progress.facts.attempt_id,
            route=progress.route.name,
            tried=",".join(progress.tried),
            started=progress.answer.started,
            elapsed=trio.current_time() - progress.request.received,
        )

    def attempt(
        self,
        progress: RequestProgress,
        server: BackendServer,
        helpers: int,
        terms: AttemptTerms,
        result: AttemptResult,
        sink: Optional[CallerSink],
        begun: float,
    ) -> None:
        """Notes one sending to a server; ``begun`` is its moment."""
        first_event = _seconds_between(begun, None if sink is None else sink.first_event_at)
        pause = None if sink is None else sink.longest_pause
        outcome = type(result).__name__
        log_event(
            "attempt",
            request=progress.facts.attempt_id,
            route=progress.route.name,
            server=server.id,
            address=server.address,
            account=None if progress.account is None else progress.account.name,
            configuration=self._routing_state.version,
            configuration_age=self._routing_state.configuration_age(),
            helpers=helpers,
            tokens=progress.facts.prompt_tokens,
            result=outcome,
            status=getattr(result, "status", None),
            reason=getattr(result, "reason", None),
            at_fault=getattr(result, "server_at_fault", None),
            waited_at_most=terms.first_byte,
            first_event=first_event,
            longest_pause=pause,
            elapsed=trio.current_time() - progress.request.received,
        )
        self._metrics.attempts.add(service=progress.service.name, result=outcome)
        band = length_band(progress.facts.prompt_tokens)
        if first_event is not None:
            since_request = first_event + begun - progress.request.received
            self._metrics.first_event_seconds.record(since_request, band=band)
        if pause is not None:
            self._metrics.pause_seconds.record(pause, band=band)

    def placed(self, ask: PlacementRequest, seconds: float) -> None:
        """Notes how long the decision on an engine took."""
        band = length_band(ask.prompt_tokens)
        self._metrics.placement_seconds.record(seconds, band=band)

    def refused(
        self,
        request: CallerRequest,
        facts: Optional[RequestFacts],
        failure: Failure,
        progress: Optional[RequestProgress],
    ) -> None:
        """Notes a request that the VM answered with a failure of its own.

        Args:
            request: The request.
            facts: What its headers say, if they could be read.
            failure: The failure.
            progress: How far it got, if it was accepted.

        """
        self._metrics.refusals.add(code=str(int(failure.code)))
        log_event(
            "request_refused",
            level=LogLevel.WARNING,
            request="" if facts is None else facts.attempt_id,
            code=int(failure.code),
            status=failure.http_status,
            run_state=failure.run_state,
            reason=failure.detail,
            retry_after=failure.retry_after_seconds,
            configuration=self._routing_state.version,
            configuration_age=self._routing_state.configuration_age(),
            route=None if progress is None else progress.route.name,
            tried=None if progress is None else ",".join(progress.tried),
            elapsed=trio.current_time() - request.received,
        )


def _seconds_between(begun: float, ended: Optional[float]) -> Optional[float]:
    return None if ended is None or ended < begun else ended - begun
