"""Finds a backend server for a request and sends it there."""

import itertools
from typing import Optional

import trio

from camphordrift.relay._attempt import (
    Attempt,
    AttemptResult,
    AttemptTerms,
    Broken,
    NotSent,
    Rejected,
    Withheld,
)
from camphordrift.relay._caller_sink import CallerSink
from camphordrift.relay._dispatcher import Dispatcher
from camphordrift.relay._http_client import ConnectionPool
from camphordrift.relay._interfaces import HeaderFormat, Reservation
from camphordrift.relay._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementRefusal,
    PlacementRequest,
)
from camphordrift.relay._plain_servers import PlainServerBalancer
from camphordrift.relay._refusals import RequestRefusedError, failure_of_refusal
from camphordrift.relay._request_progress import RequestProgress
from camphordrift.relay._request_reports import RequestReports
from camphordrift.relay._reservations import (
    RESERVATION_LIFETIME,
    ReservationManager,
    ReservationRefusedError,
    ReservedPart,
)
from camphordrift.relay._routing_state import RoutingState
from camphordrift.relay._values import BackendServer, Helper, SendFacts

#: Seconds that a server's own answer at its time limit takes to arrive.
LATE_ANSWER_TIME = 0.03

#: How many times the expected time to the first event an engine may take, besides the objective and
#: at least :data:`FIRST_EVENT_SLACK`, before it counts as silent. Prompts that come later delay a
#: long one, and sending it anew wastes what was read.
FIRST_EVENT_FACTOR = 3.0

#: Seconds that an engine may take beyond that.
FIRST_EVENT_SLACK = 0.6

#: How many allowed pauses may pass between events before an engine counts as silent.
SILENCE_PAUSES = 4.0

#: How many times its objective a repeatable plain request waits for an answer before it is sent
#: again.
PLAIN_ANSWER_FACTOR = 3.0

#: Prompt tokens taken for granted where a request for an engine does not say.
UNKNOWN_PROMPT_TOKENS = 1000


class Sender:
    """Sends requests to servers, one attempt at a time."""

    def __init__(
        self,
        vm: str,
        zone: str,
        routing_state: RoutingState,
        dispatcher: Dispatcher,
        connections: ConnectionPool,
        reservations: ReservationManager,
        header_format: HeaderFormat,
        reports: RequestReports,
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._routing_state = routing_state
        self._dispatcher = dispatcher
        self._connections = connections
        self._reservations = reservations
        self._format = header_format
        self._reports = reports
        self._ask_numbers = itertools.count()
        self._plain = PlainServerBalancer()

    async def try_plain_server(
        self, progress: RequestProgress, sink: Optional[CallerSink]
    ) -> AttemptResult:
        """Sends a request to a plain server."""
        server = self._plain.choose(
            self._routing_state.directory.ready(progress.service.name),
            self._zone,
            progress.excluded,
            trio.current_time(),
        )
        if server is None:
            return NotSent("no server of the service takes new work")
        failed = False
        try:
            result = await self._attempt(progress, server, (), self._plain_terms(progress), sink)
            failed = isinstance(result, (NotSent, Broken))
        finally:
            self._plain.record_finished(server.id, failed, trio.current_time())
        return result

    def _plain_terms(self, progress: RequestProgress) -> AttemptTerms:
        route = progress.route
        wait = progress.time_left + LATE_ANSWER_TIME
        if route.may_repeat and len(progress.tried) + 1 < route.max_attempts:
            wait = min(wait, route.objective * PLAIN_ANSWER_FACTOR)
        return AttemptTerms(wait, route.pause_objective * SILENCE_PAUSES)

    async def try_engine(
        self, progress: RequestProgress, sink: Optional[CallerSink]
    ) -> AttemptResult:
        """Sends a request to an engine.

        Raises:
            RequestRefusedError: No engine can serve it.

        """
        ask = self._ask(progress, sink)
        asked = trio.current_time()
        decision = await self._dispatcher.place(ask)
        self._reports.placed(ask, trio.current_time() - asked)
        if isinstance(decision, PlacementRefusal):
            raise RequestRefusedError(failure_of_refusal(decision, progress))
        outcome, at_fault = AttemptOutcome.SERVED, None
        try:
            if sink is not None:
                sink.on_first_event = lambda: self._dispatcher.report_first_event(ask.id)
                sink.on_pauses = lambda pause: self._dispatcher.report_event_gap(ask.id, pause)
            result = await self._try_granted(progress, decision, sink)
            outcome, at_fault = _outcome_of(result), getattr(result, "server_at_fault", None)
            _note_helper_at_fault(progress, decision, at_fault)
        finally:
            self._dispatcher.report_finished(ask.id, outcome, at_fault)
        return result

    async def _try_granted(
        self, progress: RequestProgress, grant: Grant, sink: Optional[CallerSink]
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
            Helper(helper.host, helper.port, reservations.get(helper.id))
            for helper in grant.helpers
        )
        slack = max(FIRST_EVENT_SLACK, progress.route.objective)
        first = grant.first_event * FIRST_EVENT_FACTOR + slack
        terms = AttemptTerms(
            min(first, progress.time_left + LATE_ANSWER_TIME),
            progress.route.pause_objective * SILENCE_PAUSES,
        )
        if not parts:
            return await self._attempt(progress, grant.server, helpers, terms, sink)
        try:
            async with self._reservations.hold(parts, grant.server):
                return await self._attempt(progress, grant.server, helpers, terms, sink)
        except ReservationRefusedError as error:
            progress.excluded.extend(error.server_ids)
            return Withheld(str(error))
        return Broken("the engine is gone", silent=True)

    def _ask(self, progress: RequestProgress, sink: Optional[CallerSink]) -> PlacementRequest:
        facts = progress.facts
        elapsed = trio.current_time() - progress.request.received
        answer_tokens = facts.answer_estimate or facts.answer_tokens
        account = progress.account
        priority = progress.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return PlacementRequest(
            # A caller might use an id again, so the VM's own number makes it unique.
            id=f"{facts.attempt_id}.{self._vm}.{next(self._ask_numbers)}",
            service=progress.service.name,
            zone=self._zone,
            prompt_tokens=facts.prompt_tokens or UNKNOWN_PROMPT_TOKENS,
            answer_tokens=answer_tokens,
            objective=progress.route.objective - elapsed,
            pause=progress.route.pause_objective,
            time_left=progress.time_left,
            priority=priority,
            excluded=tuple(progress.excluded),
            preferred=progress.preferred,
            resumed=facts.last_event_id is not None
            or (sink is not None and sink.last_id is not None),
        )

    async def _attempt(
        self,
        progress: RequestProgress,
        server: BackendServer,
        helpers: tuple[Helper, ...],
        terms: AttemptTerms,
        sink: Optional[CallerSink],
    ) -> AttemptResult:
        attempt = Attempt(
            progress.request,
            progress.facts.attempt_id,
            server,
            self._connections,
            self._format,
        )
        progress.excluded.append(server.id)

        def send_facts() -> Optional[SendFacts]:
            return self._facts_to_send(progress, server, helpers, sink)

        fresh = not progress.route.may_repeat
        begun = trio.current_time()
        result = await attempt.run(send_facts, terms, fresh, sink)
        self._reports.attempt(progress, server, len(helpers), terms, result, sink, begun)
        return result

    def _facts_to_send(
        self,
        progress: RequestProgress,
        server: BackendServer,
        helpers: tuple[Helper, ...],
        sink: Optional[CallerSink],
    ) -> Optional[SendFacts]:
        """Checks once more whether the request may be sent, as time may have passed."""
        if progress.time_left <= 0:
            return None
        if not self._routing_state.is_still_authorized(progress.facts.key, progress.account):
            return None
        if not self._routing_state.directory.may_receive_requests(server.id):
            return None
        progress.tried.append(server.id)
        last_event = None if sink is None or sink.last_id is None else str(sink.last_id)
        return SendFacts(
            time_left=progress.time_left,
            server_id=server.id,
            account=None if progress.account is None else progress.account.name,
            last_event_id=last_event,
            helpers=helpers,
        )


def _note_helper_at_fault(progress: RequestProgress, grant: Grant, at_fault: Optional[str]) -> None:
    """Has the engine asked again without a helper that the answer blames."""
    progress.preferred = None
    for helper in grant.helpers:
        if at_fault in (helper.id, helper.address):
            progress.excluded.remove(grant.server.id)
            progress.excluded.append(helper.id)
            progress.preferred = grant.server.id


def _outcome_of(result: AttemptResult) -> AttemptOutcome:
    match result:
        case Rejected():
            return AttemptOutcome.REJECTED
        case Broken(_, silent):
            return AttemptOutcome.SILENT if silent else AttemptOutcome.FAILED
        case NotSent():
            return AttemptOutcome.FAILED
        case Withheld():
            return AttemptOutcome.WITHHELD
        case _:
            return AttemptOutcome.SERVED
