"""Takes a caller's request to an answer."""

import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    AttemptTerms,
    Broken,
    EventSink,
    NotSent,
    Rejected,
    Streamed,
    Withheld,
)
from camphordrift.relay._dispatcher import Dispatcher
from camphordrift.relay._events import StreamEvent
from camphordrift.relay._http_client import ConnectionPool
from camphordrift.relay._http_server import Answer, CallerRequest
from camphordrift.relay._interfaces import HeaderFormat, Headers, Reservation
from camphordrift.relay._knowledge import Knowledge
from camphordrift.relay._placement_values import Ask, Grant, Outcome, Refusal, RefusalReason
from camphordrift.relay._plain_servers import PlainServerChooser
from camphordrift.relay._relay_metrics import RelayMetrics, length_band
from camphordrift.relay._reservations import (
    LIFETIME,
    ReservationKeeper,
    ReservationRefusedError,
    ReservedPart,
)
from camphordrift.relay._routing_table import RoutingTable, choose_service
from camphordrift.relay._values import (
    Account,
    BackendServer,
    Helper,
    RequestFacts,
    Route,
    SendFacts,
    Service,
)
from camphordrift.results import Failure, ResultCode, RunState, describe_failure

#: Seconds after which a caller may ask a VM again that does not know the configuration.
NOT_READY_RETRY_AFTER = 1.0

#: Seconds for which a request waits on a VM that has just started for what it needs to know;
#: reading the store takes less than a tenth of that.
START_TIME = 0.4

#: Seconds after which a caller may ask again when a server had no room.
REJECTED_RETRY_AFTER = 0.1

#: Seconds before a request's time is over at which it gets its final answer.
FINAL_ANSWER_MARGIN = 0.05

#: Seconds that a server's own answer at its time limit takes to arrive.
LATE_ANSWER_TIME = 0.03

#: Times that an engine is asked again with other helpers, where only a helper was at fault.
MAX_HELPER_CHANGES = 4

#: Servers that could not be reached after which a request is refused.
MAX_UNREACHABLE_SERVERS = 4

#: Seconds that a caller is taken to wait if it does not say.
DEFAULT_PATIENCE = 30.0

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

#: Pauses between events after which the shortest of them is reported.
PAUSES_SEEN = 4

#: Prompt tokens taken for granted where a request for an engine does not say.
UNKNOWN_PROMPT_TOKENS = 1000


class RequestRefusedError(Exception):
    """Ends a request with a failure of the relay's own."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@dataclass
class _Progress:
    """One request on its way."""

    request: CallerRequest
    answer: Answer
    facts: RequestFacts
    route: Route
    account: Optional[Account]
    service: Service
    #: Moment at which the request needs its final answer.
    give_up_at: float
    #: Servers that were sent the request.
    tried: list[str]
    #: Servers that did not take the request.
    excluded: list[str]
    #: Engine to ask again, as only one of its helpers was at fault.
    preferred: Optional[str] = None
    #: Whether a server may have run the request.
    may_have_run: bool = False
    last_result: Optional[AttemptResult] = None

    @property
    def time_left(self) -> float:
        return self.give_up_at - trio.current_time()

    @property
    def engines_tried(self) -> int:
        """Different servers that were sent the request."""
        return len(set(self.tried))


class RequestHandler:
    """Handles requests with what one VM knows."""

    def __init__(
        self,
        vm: str,
        zone: str,
        knowledge: Knowledge,
        dispatcher: Dispatcher,
        connections: ConnectionPool,
        reservations: ReservationKeeper,
        header_format: HeaderFormat,
        metrics: RelayMetrics,
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._knowledge = knowledge
        self._dispatcher = dispatcher
        self._connections = connections
        self._reservations = reservations
        self._format = header_format
        self._ask_numbers = itertools.count()
        self._metrics = metrics
        self._plain = PlainServerChooser()
        self._random = random.Random()

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers a request."""
        await self._knowledge.wait_until_known(START_TIME)
        try:
            progress = self._accept(request, answer)
        except RequestRefusedError as error:
            await self._refuse(request, answer, error.failure, None)
            return
        try:
            with trio.move_on_at(progress.give_up_at + LATE_ANSWER_TIME):
                await self._serve(progress)
        except RequestRefusedError as error:
            await self._refuse(request, answer, error.failure, progress)
            return
        except trio.Cancelled:
            self._note_caller_left(progress)
            raise
        if not answer.ended and not answer.started:
            await self._refuse(request, answer, _out_of_time(progress), progress)
        elif not answer.ended:
            self._note_broken_answer(progress)
        else:
            self._note_answer(progress)

    def _note_answer(self, progress: _Progress) -> None:
        route, elapsed = progress.route.name, trio.current_time() - progress.request.received
        self._metrics.requests.add(route=route, status=str(progress.answer.status))
        self._metrics.request_seconds.record(elapsed, route=route)

    def _note_broken_answer(self, progress: _Progress) -> None:
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

    def _note_caller_left(self, progress: _Progress) -> None:
        self._metrics.callers_left.add(route=progress.route.name)
        log_event(
            "caller_left",
            request=progress.facts.attempt_id,
            route=progress.route.name,
            tried=",".join(progress.tried),
            started=progress.answer.started,
            elapsed=trio.current_time() - progress.request.received,
        )

    def _accept(self, request: CallerRequest, answer: Answer) -> _Progress:
        table = self._knowledge.table()
        if table is None:
            raise _refused(ResultCode.VM_NOT_READY, "no configuration yet", NOT_READY_RETRY_AFTER)
        try:
            facts = self._format.request_facts(request.headers)
        except ValueError as error:
            raise _refused(ResultCode.BAD_HEADER, f"a header cannot be read: {error}") from error
        route = self._find_route(table, request)
        account = self._find_account(table, route, facts)
        service = self._find_service(table, route)
        self._knowledge.budget(service.name).count_request(request.received)
        patience = DEFAULT_PATIENCE if facts.patience is None else facts.patience
        return _Progress(
            request=request,
            answer=answer,
            facts=facts,
            route=route,
            account=account,
            service=service,
            give_up_at=request.received + min(patience, route.timeout) - FINAL_ANSWER_MARGIN,
            tried=[],
            excluded=[],
        )

    def _find_route(self, table: RoutingTable, request: CallerRequest) -> Route:
        host = (request.header(b"host") or b"").decode("latin-1")
        route = table.find_route(host, request.target.decode("latin-1"))
        if route is not None:
            return route
        if not self._knowledge.is_fresh():
            raise _refused(
                ResultCode.CONFIGURATION_UNKNOWN, "the route may be new", NOT_READY_RETRY_AFTER
            )
        raise _refused(ResultCode.UNKNOWN_PATH, "no route has this host and path")

    def _find_account(
        self, table: RoutingTable, route: Route, facts: RequestFacts
    ) -> Optional[Account]:
        if table.configuration.accounts is None or route.open:
            return None
        if not self._knowledge.is_fresh():
            raise _refused(
                ResultCode.CONFIGURATION_UNKNOWN,
                "the keys were not confirmed recently",
                NOT_READY_RETRY_AFTER,
            )
        account = table.find_account(facts.key)
        if account is None:
            raise _refused(ResultCode.UNAUTHENTICATED, "the key belongs to no client account")
        return account

    def _find_service(self, table: RoutingTable, route: Route) -> Service:
        name = choose_service(route.shares, self._random.random())
        service = None if name is None else table.configuration.services.get(name)
        if service is None:
            raise _refused(
                ResultCode.NO_ENGINE_AVAILABLE, "the route has no service", NOT_READY_RETRY_AFTER
            )
        return service

    async def _serve(self, progress: _Progress) -> None:
        sink = _CallerSink(progress) if progress.route.streams else None
        while True:
            if not self._knowledge.may_send(progress.facts.key, progress.account):
                raise RequestRefusedError(_no_longer_allowed(progress))
            if progress.service.engine_costs is not None:
                result = await self._try_engine(progress, sink)
            else:
                result = await self._try_plain_server(progress, sink)
            progress.last_result = result
            if await self._settle(progress, result):
                return

    async def _settle(self, progress: _Progress, result: AttemptResult) -> bool:
        """Ends the request after an attempt; returns ``False`` if another one is due."""
        match result:
            case Streamed():
                await progress.answer.end()
                return True
            case Answered(status, headers, body):
                if status >= 500 and self._may_repeat(progress):
                    return False
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
        raise RequestRefusedError(_failure_after(progress, result))

    def _may_try_elsewhere(self, progress: _Progress) -> bool:
        return progress.time_left > 0 and len(progress.excluded) < MAX_UNREACHABLE_SERVERS

    def _may_repeat(self, progress: _Progress) -> bool:
        route = progress.route
        if progress.time_left <= 0:
            return False
        if progress.preferred is None and progress.engines_tried >= route.max_attempts:
            return False
        if len(progress.tried) >= route.max_attempts + MAX_HELPER_CHANGES:
            return False
        if not route.may_repeat:
            return False
        budget = self._knowledge.budget(progress.service.name)
        if budget.try_repeat(trio.current_time()):
            return True
        log_event("retry_budget_spent", level=LogLevel.WARNING, service=progress.service.name)
        return False

    async def _try_plain_server(
        self, progress: _Progress, sink: Optional["_CallerSink"]
    ) -> AttemptResult:
        server = self._plain.choose(
            self._knowledge.directory.ready(progress.service.name),
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
            self._plain.finished(server.id, failed, trio.current_time())
        return result

    def _plain_terms(self, progress: _Progress) -> AttemptTerms:
        route = progress.route
        wait = progress.time_left + LATE_ANSWER_TIME
        if route.may_repeat and len(progress.tried) + 1 < route.max_attempts:
            wait = min(wait, route.objective * PLAIN_ANSWER_FACTOR)
        return AttemptTerms(wait, route.pause_objective * SILENCE_PAUSES)

    async def _try_engine(
        self, progress: _Progress, sink: Optional["_CallerSink"]
    ) -> AttemptResult:
        ask = self._ask(progress)
        asked = trio.current_time()
        decision = await self._dispatcher.place(ask)
        band = length_band(ask.prompt_tokens)
        self._metrics.placement_seconds.record(trio.current_time() - asked, band=band)
        if isinstance(decision, Refusal):
            raise RequestRefusedError(_failure_of_refusal(decision, progress))
        outcome, at_fault = Outcome.SERVED, None
        try:
            if sink is not None:
                sink.on_first_event = lambda: self._dispatcher.first_event(ask.id)
                sink.on_pauses = lambda pause: self._dispatcher.pause_seen(ask.id, pause)
            result = await self._try_granted(progress, decision, sink)
            outcome, at_fault = _outcome_of(result), getattr(result, "server_at_fault", None)
            _note_helper_at_fault(progress, decision, at_fault)
        finally:
            self._dispatcher.finished(ask.id, outcome, at_fault)
        return result

    async def _try_granted(
        self, progress: _Progress, grant: Grant, sink: Optional["_CallerSink"]
    ) -> AttemptResult:
        parts = tuple(
            ReservedPart(helper, Reservation(f"{grant.ask_id}-{index}", tokens, LIFETIME))
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

    def _ask(self, progress: _Progress) -> Ask:
        facts = progress.facts
        elapsed = trio.current_time() - progress.request.received
        answer_tokens = facts.answer_estimate or facts.answer_tokens
        account = progress.account
        priority = progress.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return Ask(
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
        )

    async def _attempt(
        self,
        progress: _Progress,
        server: BackendServer,
        helpers: tuple[Helper, ...],
        terms: AttemptTerms,
        sink: Optional["_CallerSink"],
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
        self._note_attempt(progress, server, len(helpers), terms, result, sink, begun)
        return result

    def _note_attempt(
        self,
        progress: _Progress,
        server: BackendServer,
        helpers: int,
        terms: AttemptTerms,
        result: AttemptResult,
        sink: Optional["_CallerSink"],
        begun: float,
    ) -> None:
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
            configuration=self._knowledge.version,
            configuration_age=self._knowledge.age(),
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

    def _facts_to_send(
        self,
        progress: _Progress,
        server: BackendServer,
        helpers: tuple[Helper, ...],
        sink: Optional["_CallerSink"],
    ) -> Optional[SendFacts]:
        """Checks once more whether the request may be sent, as time may have passed."""
        if progress.time_left <= 0:
            return None
        if not self._knowledge.may_send(progress.facts.key, progress.account):
            return None
        if not self._knowledge.directory.takes_work(server.id):
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

    async def _refuse(
        self,
        request: CallerRequest,
        answer: Answer,
        failure: Failure,
        progress: Optional[_Progress],
    ) -> None:
        headers = [(b"content-type", b"application/json")]
        if failure.retry_after_seconds is not None:
            headers.append((b"retry-after", b"%.2f" % failure.retry_after_seconds))
        self._metrics.refusals.add(code=str(int(failure.code)))
        log_event(
            "request_refused",
            level=LogLevel.WARNING,
            request=_attempt_id(request, self._format),
            code=int(failure.code),
            status=failure.http_status,
            run_state=failure.run_state,
            reason=failure.detail,
            retry_after=failure.retry_after_seconds,
            configuration=self._knowledge.version,
            configuration_age=self._knowledge.age(),
            route=None if progress is None else progress.route.name,
            tried=None if progress is None else ",".join(progress.tried),
            elapsed=trio.current_time() - request.received,
        )
        body = json.dumps({"error": describe_failure(failure)}).encode()
        await answer.whole(failure.http_status, headers, body)


class _CallerSink(EventSink):
    """Passes events on to the caller, each once and in order."""

    def __init__(self, progress: _Progress) -> None:
        self._answer = progress.answer
        self._last_id: Optional[int] = None
        given = progress.facts.last_event_id
        if given is not None and given.isdigit():
            self._last_id = int(given)
        self._passed = False
        #: Moment of the first event of the newest attempt.
        self.first_event_at: Optional[float] = None
        #: Longest pause between events in seconds; ``None`` before the second one.
        self.longest_pause: Optional[float] = None
        self._pauses: list[float] = []
        self._last_event_at = 0.0
        #: Called when the first event of an attempt arrives.
        self.on_first_event: Callable[[], None] = lambda: None
        #: Called with the shortest of an attempt's first pauses between events, in seconds.
        self.on_pauses: Callable[[float], None] = lambda pause: None

    @property
    def last_id(self) -> Optional[int]:
        """The last event that the caller has, if this relay or the caller knows."""
        return self._last_id if self._passed else None

    async def begin(self, status: int, headers: Headers) -> None:
        self.first_event_at = self._last_event_at = trio.current_time()
        self._pauses = []
        self.on_first_event()
        if not self._answer.started:
            await self._answer.start(status, headers)

    async def take(self, events: list[StreamEvent]) -> None:
        self._note_pause()
        new = [event for event in events if self._is_new(event)]
        if not new:
            return
        ids = [event.id for event in new if event.id is not None]
        # Noted first: what may have reached the caller must not be sent again.
        self._last_id = ids[-1] if ids else self._last_id
        self._passed = True
        await self._answer.write(b"".join(event.data for event in new))

    def _note_pause(self) -> None:
        now = trio.current_time()
        if now > self._last_event_at:
            self.longest_pause = max(self.longest_pause or 0.0, now - self._last_event_at)
        if now > self._last_event_at and len(self._pauses) < PAUSES_SEEN:
            self._pauses.append(now - self._last_event_at)
            if len(self._pauses) == PAUSES_SEEN:
                self.on_pauses(min(self._pauses))
        self._last_event_at = now

    def _is_new(self, event: StreamEvent) -> bool:
        return event.id is None or self._last_id is None or event.id > self._last_id


def _note_helper_at_fault(progress: _Progress, grant: Grant, at_fault: Optional[str]) -> None:
    """Has the engine asked again without a helper that the answer blames."""
    progress.preferred = None
    for helper in grant.helpers:
        if at_fault in (helper.id, helper.address):
            progress.excluded.remove(grant.server.id)
            progress.excluded.append(helper.id)
            progress.preferred = grant.server.id


def _seconds_between(begun: float, ended: Optional[float]) -> Optional[float]:
    return None if ended is None or ended < begun else ended - begun


def _refused(
    code: ResultCode, detail: str, retry_after: Optional[float] = None
) -> RequestRefusedError:
    return RequestRefusedError(Failure(code, detail, retry_after))


def _attempt_id(request: CallerRequest, header_format: HeaderFormat) -> str:
    try:
        return header_format.request_facts(request.headers).attempt_id
    except ValueError:
        return ""


def _outcome_of(result: AttemptResult) -> Outcome:
    match result:
        case Rejected():
            return Outcome.REJECTED
        case Broken(_, silent):
            return Outcome.SILENT if silent else Outcome.FAILED
        case NotSent():
            return Outcome.FAILED
        case Withheld():
            return Outcome.WITHHELD
        case _:
            return Outcome.SERVED


def _no_longer_allowed(progress: _Progress) -> Failure:
    if progress.may_have_run:
        return Failure(ResultCode.BACKEND_STREAM_BROKEN, "the request may not be sent again")
    return Failure(
        ResultCode.CONFIGURATION_UNKNOWN,
        "the key was withdrawn, or was not confirmed recently",
        NOT_READY_RETRY_AFTER,
    )


def _out_of_time(progress: _Progress) -> Failure:
    if progress.tried:
        return Failure(ResultCode.BACKEND_DEADLINE_PASSED, "the time ran out on a server")
    return Failure(
        ResultCode.DEADLINE_UNREACHABLE, "the time ran out before a server was free", None
    )


def _failure_after(progress: _Progress, result: AttemptResult) -> Failure:
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN,
            f"no whole answer: {getattr(result, 'reason', result)}",
            run_state_override=RunState.OUTCOME_UNKNOWN,
        )
    return Failure(
        ResultCode.NO_ENGINE_AVAILABLE,
        f"no server took the request: {getattr(result, 'reason', result)}",
        REJECTED_RETRY_AFTER,
    )


def _failure_of_refusal(refusal: Refusal, progress: _Progress) -> Failure:
    if progress.may_have_run:
        return Failure(ResultCode.BACKEND_STREAM_BROKEN, "no other engine could go on")
    code = {
        RefusalReason.NO_ENGINE: ResultCode.NO_ENGINE_AVAILABLE,
        RefusalReason.TOO_LATE: ResultCode.DEADLINE_UNREACHABLE,
        RefusalReason.NEVER_FITS: ResultCode.PROMPT_NEVER_FITS,
    }[refusal.reason]
    return Failure(code, refusal.reason.value, refusal.retry_after)
