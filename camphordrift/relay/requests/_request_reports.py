"""Log events and metrics for requests."""

from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import CallerRequest
from camphordrift.relay.model import BackendServer, RequestMetadata
from camphordrift.relay.requests._attempt import AttemptResult, SilenceTimeouts
from camphordrift.relay.requests._caller_sink import CallerEventSink
from camphordrift.relay.requests._relay_metrics import RelayMetrics, length_band
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.requests._routing_state import RoutingState
from camphordrift.relay.scheduling import PlacementDecision, PlacementRefusal, PlacementRequest
from camphordrift.results import Failure


class RequestReports:
    """Logs and counts the outcomes of requests and attempts."""

    def __init__(self, routing_state: RoutingState, metrics: RelayMetrics) -> None:
        self._routing_state = routing_state
        self._metrics = metrics

    def record_completed(self, progress: RequestProgress) -> None:
        """Records a complete response."""
        route, elapsed = progress.route.name, trio.current_time() - progress.request.received_at
        self._metrics.requests.add(route=route, status=str(progress.response.status))
        self._metrics.request_seconds.record(elapsed, route=route)

    def record_truncated(self, progress: RequestProgress) -> None:
        """Records a response that ended before it was complete."""
        self._metrics.truncated_responses.add(route=progress.route.name)
        log_event(
            "answer_broken_off",
            level=LogLevel.WARNING,
            request=progress.metadata.attempt_id,
            route=progress.route.name,
            tried=",".join(progress.attempted_servers),
            reason=getattr(progress.last_result, "reason", "the deadline passed"),
            time_left=progress.remaining_time,
            elapsed=trio.current_time() - progress.request.received_at,
        )

    def record_caller_disconnected(self, progress: RequestProgress) -> None:
        """Records that the caller disconnected before the response was complete."""
        self._metrics.caller_disconnects.add(route=progress.route.name)
        log_event(
            "caller_left",
            request=progress.metadata.attempt_id,
            route=progress.route.name,
            tried=",".join(progress.attempted_servers),
            started=progress.response.started,
            elapsed=trio.current_time() - progress.request.received_at,
        )

    def record_cut(self, progress: RequestProgress, signalled_at: float) -> None:
        """Records that this VM exited before the response was complete.

        Args:
            progress: State of the request.
            signalled_at: When the VM got the signal to stop, by trio's clock.

        """
        self._metrics.truncated_responses.add(route=progress.route.name)
        log_event(
            "request_cut",
            level=LogLevel.WARNING,
            request=progress.metadata.attempt_id,
            route=progress.route.name,
            tried=",".join(progress.attempted_servers),
            started=progress.response.started,
            received_after_signal=progress.request.received_at - signalled_at,
            time_left=progress.remaining_time,
            elapsed=trio.current_time() - progress.request.received_at,
        )

    def record_attempt(
        self,
        progress: RequestProgress,
        server: BackendServer,
        helpers: int,
        timeouts: SilenceTimeouts,
        result: AttemptResult,
        sink: Optional[CallerEventSink],
        started_at: float,
    ) -> None:
        """Records the result of an attempt that began at ``started_at``, by trio's clock."""
        first_event = _seconds_between(started_at, None if sink is None else sink.first_event_at)
        longest_gap = None if sink is None else sink.longest_gap
        outcome = type(result).__name__
        log_event(
            "attempt",
            request=progress.metadata.attempt_id,
            route=progress.route.name,
            server=server.id,
            address=server.address,
            account=None if progress.account is None else progress.account.name,
            configuration=self._routing_state.version,
            configuration_age=self._routing_state.configuration_age(),
            helpers=helpers,
            tokens=progress.metadata.prompt_tokens,
            traits=",".join(progress.traits),
            result=outcome,
            status=getattr(result, "status", None),
            reason=getattr(result, "reason", None),
            at_fault=getattr(result, "server_at_fault", None),
            silent_after=timeouts.first_event,
            first_event=first_event,
            longest_pause=longest_gap,
            elapsed=trio.current_time() - progress.request.received_at,
        )
        self._metrics.attempts.add(service=progress.service.name, result=outcome)
        band = length_band(progress.metadata.prompt_tokens)
        if first_event is not None:
            since_request = first_event + started_at - progress.request.received_at
            self._metrics.first_event_seconds.record(since_request, band=band)
        if longest_gap is not None:
            self._metrics.longest_gap_seconds.record(longest_gap, band=band)

    def record_placed(
        self, placement_request: PlacementRequest, decision: PlacementDecision, seconds: float
    ) -> None:
        """Records the seconds until an engine was assigned or refused."""
        band = length_band(placement_request.prompt_tokens)
        self._metrics.placement_seconds.record(seconds, band=band)
        if not placement_request.account:
            return
        account = self._metrics.account_labels.label(placement_request.account)
        outcome = "placed"
        if isinstance(decision, PlacementRefusal):
            outcome = decision.reason.name.lower()
        else:
            self._metrics.account_placement_seconds.record(seconds, account=account)
        self._metrics.account_placements.add(account=account, band=band, outcome=outcome)

    def record_refused(
        self,
        request: CallerRequest,
        metadata: Optional[RequestMetadata],
        failure: Failure,
        progress: Optional[RequestProgress],
    ) -> None:
        """Records a request that the relay refused or gave up.

        Args:
            request: The request.
            metadata: Metadata from its headers; ``None`` if they are malformed.
            failure: The failure reported to the caller.
            progress: State of the request; ``None`` if it was not admitted.

        """
        self._metrics.refusals.add(code=str(int(failure.code)))
        log_event(
            "request_refused",
            level=LogLevel.WARNING,
            request="" if metadata is None else metadata.attempt_id,
            code=int(failure.code),
            status=failure.http_status,
            run_state=failure.run_state,
            reason=failure.detail,
            retry_after=failure.retry_after_seconds,
            configuration=self._routing_state.version,
            configuration_age=self._routing_state.configuration_age(),
            route=None if progress is None else progress.route.name,
            tried=None if progress is None else ",".join(progress.attempted_servers),
            elapsed=trio.current_time() - request.received_at,
        )


def _seconds_between(started_at: float, ended_at: Optional[float]) -> Optional[float]:
    return None if ended_at is None or ended_at < started_at else ended_at - started_at
