"""Selects a backend server for a request and forwards the request to it."""

import itertools
import math
from collections.abc import Callable
from typing import Optional

import trio

from camphordrift.relay.connections import BodyBudget, ConnectionPool
from camphordrift.relay.fleet import Dispatcher
from camphordrift.relay.model import (
    BackendServer,
    ForwardingMetadata,
    HeaderFormat,
    PrefillHelper,
    Reservation,
)
from camphordrift.relay.requests._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    Broken,
    NotSent,
    Rejected,
    SilenceTimeouts,
    Withheld,
)
from camphordrift.relay.requests._attempt_evidence import AttemptEvidence
from camphordrift.relay.requests._crash_checks import CrashChecks
from camphordrift.relay.requests._refusals import (
    RequestRefusedError,
    failure_of_limits,
    failure_of_placement,
    failure_without_server,
)
from camphordrift.relay.requests._request_attempts import RunningAttempt
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.requests._request_reports import RequestReports
from camphordrift.relay.requests._reservations import (
    RESERVATION_LIFETIME,
    ReservationManager,
    ReservationRefusedError,
    ReservedPart,
)
from camphordrift.relay.requests._routing_state import RoutingState
from camphordrift.relay.requests._server_calls import ResponseObserver
from camphordrift.relay.scheduling import (
    LIMITED_WAIT_SHARE,
    AttemptOutcome,
    Grant,
    PlacementRefusal,
    PlacementRequest,
    PlainServerBalancer,
    StreamPace,
)

#: Factor on the expected time to the first event of an engine. The engine counts as silent after
#: the product plus the route's latency objective, or plus :data:`FIRST_EVENT_SLACK` if that is
#: longer. The time is generous because prompts that arrive later may delay a long prompt, and a
#: retry would waste the prefill done so far.
FIRST_EVENT_FACTOR = 3.0

#: Minimum seconds added to the time after which an engine counts as silent before its first event.
FIRST_EVENT_SLACK = 0.6

#: Factor on the route's target gap between events; a server counts as silent after the product.
EVENT_GAP_FACTOR = 4.0

#: Factor on the route's latency objective; a plain server (not a model engine) counts as silent
#: after the product.
PLAIN_RESPONSE_FACTOR = 3.0

#: Status with which an engine ends a request at its deadline. Unlike other statuses from 500, it
#: does not suggest that the engine is faulty.
ENGINE_TIMEOUT_STATUS = 504

#: Prompt length in tokens that is assumed for engine requests that do not state it.
UNKNOWN_PROMPT_TOKENS = 1000


class Sender:
    """Runs single attempts of requests on plain servers and engines."""

    def __init__(
        self,
        vm: str,
        zone: str,
        routing_state: RoutingState,
        dispatcher: Dispatcher,
        connections: ConnectionPool,
        reservations: ReservationManager,
        header_format: HeaderFormat,
        observe_response: ResponseObserver,
        reports: RequestReports,
        responses: BodyBudget,
        crash_checks: CrashChecks,
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._routing_state = routing_state
        self._dispatcher = dispatcher
        self._connections = connections
        self._reservations = reservations
        self._header_format = header_format
        self._observe_response = observe_response
        self._reports = reports
        self._responses = responses
        self._crash_checks = crash_checks
        self._placement_numbers = itertools.count()
        self._plain_balancer = PlainServerBalancer()

    async def try_plain_server(
        self, progress: RequestProgress, running: RunningAttempt
    ) -> AttemptResult:
        """Sends a request to a plain server and returns the result of the attempt.

        Raises:
            RequestRefusedError: No server is left for the request.

        """
        usable = self._routing_state.usable_servers(progress.service.name)
        isolated = self._is_suspect(progress)
        server = self._plain_balancer.choose(
            await self._permitted_servers(progress, usable),
            self._zone,
            progress.excluded_servers,
            trio.current_time(),
            isolated,
        )
        if server is None:
            pause = self._routing_state.shortest_pause(progress.service.name)
            evacuated = self._routing_state.evacuated_zones(progress.service.name)
            raise RequestRefusedError(failure_without_server(progress, pause, evacuated))
        route = progress.route
        timeouts = SilenceTimeouts(
            route.latency_objective * PLAIN_RESPONSE_FACTOR,
            route.event_gap_objective * EVENT_GAP_FACTOR,
        )
        result: Optional[AttemptResult] = None
        evidence = self._evidence(progress, server)
        try:
            if running.sink is not None:
                running.sink.on_events = evidence.record_events
            result = await self._attempt(progress, (server,), (), timeouts, running)
            evidence.record_result(result)
        finally:
            failed = running.is_silent if result is None else isinstance(result, (NotSent, Broken))
            self._plain_balancer.record_finished(server.id, failed, trio.current_time(), isolated)
        return result

    def _evidence(self, progress: RequestProgress, server: BackendServer) -> AttemptEvidence:
        return AttemptEvidence(self._routing_state.crashes, self._crash_checks, progress, server)

    def _is_suspect(self, progress: RequestProgress) -> bool:
        """Returns whether a server may have crashed on the request, which is not known to be sound.

        Such a request is kept apart from others, which its server's crash would break as well.
        """
        crashes = self._routing_state.crashes
        return not progress.is_established and crashes.is_suspect(progress.traits)

    async def _permitted_servers(
        self, progress: RequestProgress, usable: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers of a plain service whose limits permit the request now.

        Waits until a limited server takes the request if there are no other servers.

        Raises:
            RequestRefusedError: All servers are limited, and none takes the request in time.

        """
        limits = self._routing_state.limits
        candidates = [s for s in usable if s.id not in progress.excluded_servers]
        now = trio.current_time()
        limited = [server for server in candidates if limits.has_limit(server, now)]
        if not limited:
            return usable
        unlimited = [server for server in candidates if server not in limited]
        time_left = progress.remaining_time - progress.route.latency_objective
        permit = await self._dispatcher.request_permit(
            progress.service.name,
            tuple(server.id for server in limited),
            0.0 if unlimited else max(0.0, time_left * LIMITED_WAIT_SHARE),
        )
        if permit.server_id is not None:
            await trio.sleep(permit.delay)
            return [server for server in limited if server.id == permit.server_id]
        if not unlimited:
            raise RequestRefusedError(failure_of_limits(progress, permit.delay))
        return unlimited

    async def try_engine(self, progress: RequestProgress, running: RunningAttempt) -> AttemptResult:
        """Sends a request to an engine and returns the result of the attempt.

        Raises:
            RequestRefusedError: No engine can serve the request.

        """
        placement_request = self._build_placement_request(progress, running)
        requested_at = trio.current_time()
        decision = await self._dispatcher.request_placement(placement_request)
        elapsed = trio.current_time() - requested_at
        self._reports.record_placed(placement_request, decision, elapsed)
        if isinstance(decision, PlacementRefusal):
            evacuated = self._routing_state.evacuated_zones(progress.service.name)
            raise RequestRefusedError(failure_of_placement(decision, progress, evacuated))
        result: Optional[AttemptResult] = None
        evidence = self._evidence(progress, decision.server)
        # The further attempt may use the engines that this one occupies.
        running.on_replacement = lambda: self._dispatcher.report_finished(
            placement_request.id, AttemptOutcome.SILENT
        )
        try:
            if running.sink is not None:
                running.sink.on_events = evidence.record_events
                running.sink.on_first_event = lambda: self._dispatcher.report_first_event(
                    placement_request.id
                )
                running.sink.on_shortest_gap = lambda gap: self._dispatcher.report_event_gap(
                    placement_request.id, gap
                )
                running.sink.on_gap = self._pace_watcher(progress, running, placement_request)
            result = await self._attempt_on_granted_engines(progress, decision, running)
            evidence.record_result(result)
            _exclude_helper_at_fault(progress, decision, _server_at_fault(result))
            if not self._routing_state.accepts_requests(decision.server):
                progress.preferred_server = None
        finally:
            self._dispatcher.report_finished(
                placement_request.id, _outcome_of(result, running), _server_at_fault(result)
            )
        return result

    def _pace_watcher(
        self, progress: RequestProgress, running: RunningAttempt, request: PlacementRequest
    ) -> Callable[[float, int], None]:
        """Returns a function that records gaps between events, and reports a stream as too slow."""
        costs = progress.service.engine_costs
        steps = 1 if costs is None else costs.decode_steps_per_iteration
        pace = StreamPace(math.ceil(request.answer_tokens / steps))

        def record_gap(gap: float, event_count: int) -> None:
            pace.record_gap(gap, event_count)
            if not running.is_slow and pace.misses_deadline(progress.remaining_time):
                self._dispatcher.report_event_gap(request.id, pace.recent_gap)
                running.record_slowness()

        return record_gap

    async def _attempt_on_granted_engines(
        self, progress: RequestProgress, grant: Grant, running: RunningAttempt
    ) -> AttemptResult:
        parts = tuple(
            ReservedPart(
                helper, Reservation(f"{grant.ask_id}-{index}", tokens, RESERVATION_LIFETIME)
            )
            for index, (helper, tokens) in enumerate(
                zip(grant.helpers, grant.helper_memory, strict=True)
            )
            if tokens
        )
        reservations = {part.server.id: part.reservation.id for part in parts}
        helpers = tuple(
            PrefillHelper(helper.host, helper.port, reservations.get(helper.id))
            for helper in grant.helpers
        )
        slack = max(FIRST_EVENT_SLACK, progress.route.latency_objective)
        timeouts = SilenceTimeouts(
            grant.first_event * FIRST_EVENT_FACTOR + slack,
            progress.route.event_gap_objective * EVENT_GAP_FACTOR,
        )
        servers = (grant.server, *grant.helpers)
        if not parts:
            return await self._attempt(progress, servers, helpers, timeouts, running)
        try:
            async with self._reservations.hold_reservations(
                parts, grant.server, running.record_silence
            ) as release:
                if running.sink is not None:
                    running.sink.on_complete = release
                return await self._attempt(progress, servers, helpers, timeouts, running)
        except ReservationRefusedError as error:
            withheld = self._record_withheld(progress, grant.helpers)
            progress.excluded_servers.extend(set(error.server_ids).difference(withheld))
            return Withheld(str(error))
        # Reached only if hold_reservations() cancelled its body, because the primary engine refused
        # a connection.
        return Broken("the engine became unreachable")

    def _build_placement_request(
        self, progress: RequestProgress, running: RunningAttempt
    ) -> PlacementRequest:
        metadata, sink = progress.metadata, running.sink
        elapsed = trio.current_time() - progress.request.received_at
        output_tokens = metadata.estimated_output_tokens or metadata.max_output_tokens
        account = progress.account
        priority = progress.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return PlacementRequest(
            # Callers may reuse attempt ids; the VM name and the counter make the id unique.
            id=f"{metadata.attempt_id}.{self._vm}.{next(self._placement_numbers)}",
            service=progress.service.name,
            zone=self._zone,
            prompt_tokens=metadata.prompt_tokens or UNKNOWN_PROMPT_TOKENS,
            answer_tokens=output_tokens,
            objective=progress.route.latency_objective - elapsed,
            pause=progress.route.event_gap_objective,
            time_left=progress.remaining_time,
            priority=priority,
            excluded=(*progress.excluded_servers, *progress.withheld_servers),
            preferred=progress.preferred_server,
            resumed=metadata.last_event_id is not None
            or (sink is not None and sink.last_event_id is not None),
            isolated=self._is_suspect(progress),
            patience=_patience(progress, running),
            account="" if account is None else account.name,
        )

    async def _attempt(
        self,
        progress: RequestProgress,
        servers: tuple[BackendServer, ...],
        helpers: tuple[PrefillHelper, ...],
        timeouts: SilenceTimeouts,
        running: RunningAttempt,
    ) -> AttemptResult:
        """Runs an attempt on the first of ``servers``; the others are the helpers."""
        server, started_at = servers[0], trio.current_time()
        attempt = Attempt(
            progress.request,
            progress.metadata.attempt_id,
            server,
            self._connections,
            self._header_format,
            lambda status, metadata: self._observe_response(
                server, status, metadata, "request", started_at
            ),
            lambda give_way: progress.response.hold(self._responses.open(give_way)),
        )
        progress.excluded_servers.append(server.id)

        def prepare_send() -> Optional[ForwardingMetadata]:
            return self._prepare_send(progress, servers, helpers, running)

        def record_silence() -> None:
            progress.met_silence = True
            self._connections.record_silence(server.host, server.port)
            running.record_silence()

        result = await attempt.run(
            prepare_send,
            timeouts,
            record_silence,
            self._needs_new_connection(progress, server),
            running.sink,
        )
        self._reports.record_attempt(
            progress, server, len(helpers), timeouts, result, running.sink, started_at
        )
        if isinstance(result, Withheld) and self._record_withheld(progress, servers):
            # The server failed nothing, so it does not count towards the limit.
            progress.excluded_servers.remove(server.id)
        return result

    def _needs_new_connection(self, progress: RequestProgress, server: BackendServer) -> bool:
        """Returns whether a request must not be sent on a connection that was used before.

        On such a connection, the server may send a copy of an earlier response, which is told apart
        only by the id of the attempt. The server may also close it or, after it was silent, hang.
        """
        is_identified = bool(progress.metadata.attempt_id)
        was_sent_there = server.id in progress.attempted_servers
        return (
            progress.met_silence
            or not progress.route.retryable
            or not is_identified
            or was_sent_there
        )

    def _record_withheld(
        self, progress: RequestProgress, servers: tuple[BackendServer, ...]
    ) -> list[str]:
        """Excludes those of the servers that leave or pause; returns their ids."""
        withheld = [s.id for s in servers if not self._routing_state.accepts_requests(s)]
        progress.withheld_servers.update(withheld)
        return withheld

    def _prepare_send(
        self,
        progress: RequestProgress,
        servers: tuple[BackendServer, ...],
        helpers: tuple[PrefillHelper, ...],
        running: RunningAttempt,
    ) -> Optional[ForwardingMetadata]:
        """Returns the metadata to forward; ``None`` if the request must not be sent any more.

        Repeats the checks of the deadline, the API key, the traits and the servers, because
        connecting to the server may have taken long, and the leader may not know what the servers
        announced.
        """
        server = servers[0]
        if progress.remaining_time <= 0:
            return None
        if not self._routing_state.is_still_authorized(progress.metadata.key, progress.account):
            return None
        if not self._routing_state.directory.may_receive_requests(server.id):
            return None
        if self._routing_state.crashes.quarantine_seconds_left(progress.traits) > 0:
            return None
        if not all(map(self._routing_state.accepts_requests, servers)):
            return None
        if not running.may_send():
            return None
        progress.attempted_servers.append(server.id)
        sink = running.sink
        last_event = None if sink is None or sink.last_event_id is None else str(sink.last_event_id)
        return ForwardingMetadata(
            remaining_time=progress.remaining_time,
            server_id=server.id,
            account=None if progress.account is None else progress.account.name,
            last_event_id=last_event,
            helpers=helpers,
        )


def _patience(progress: RequestProgress, running: RunningAttempt) -> float:
    """Returns the seconds within which the caller has to get an event.

    For a stream that has begun, that depends on when its last event was sent; it is not known to
    leave before the deadline.
    """
    if running.sink is None or running.sink.last_event_id is not None:
        return float("inf")
    elapsed = trio.current_time() - progress.request.received_at
    return progress.route.caller_patience - elapsed


def _exclude_helper_at_fault(
    progress: RequestProgress, grant: Grant, at_fault: Optional[str]
) -> None:
    """Excludes a helper that the response names as the cause, and retries on the same engine.

    Without this, the next attempt would exclude the primary engine, which did not fail.
    """
    progress.preferred_server = None
    for helper in grant.helpers:
        if at_fault in (helper.id, helper.address):
            progress.excluded_servers.remove(grant.server.id)
            progress.excluded_servers.append(helper.id)
            progress.preferred_server = grant.server.id


def _server_at_fault(result: Optional[AttemptResult]) -> Optional[str]:
    return result.server_at_fault if isinstance(result, Rejected) else None


def _outcome_of(result: Optional[AttemptResult], running: RunningAttempt) -> AttemptOutcome:
    """Returns the outcome of an attempt; ``result`` is ``None`` if it was cancelled."""
    match result:
        case None if running.is_silent:
            return AttemptOutcome.SILENT
        case Rejected():
            return AttemptOutcome.REJECTED
        case NotSent(has_no_path=True):
            return AttemptOutcome.WITHHELD
        case Broken() | NotSent():
            return AttemptOutcome.FAILED
        case Answered(status) if status >= 500 and status != ENGINE_TIMEOUT_STATUS:
            return AttemptOutcome.FAILED
        case Withheld():
            return AttemptOutcome.WITHHELD
        case _:
            return AttemptOutcome.SERVED
