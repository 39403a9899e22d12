"""Gets engines for this VM's requests, from the leader or from the local scheduler."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.peers import (
    EventGapReport,
    Finished,
    Granted,
    LimitedRequestSent,
    Message,
    MessageLink,
    PermitRequest,
    PermitResponse,
    PrefillFinished,
    Refused,
    Register,
    ServerPaused,
    Submit,
    Waiting,
    Withdraw,
)
from camphordrift.relay.scheduling import (
    UNKNOWN_WAIT,
    AttemptOutcome,
    EngineScheduler,
    Grant,
    Permit,
    PlacementDecision,
    PlacementRequest,
)
from camphordrift.relay.servers import ServerPause

#: Seconds within which the leader must send a decision or acknowledge that the request waits. After
#: them the request is submitted to the local scheduler.
LEADER_RESPONSE_TIMEOUT = 0.15

#: Seconds for which a request on a VM that has just started waits until the VM has found its leader
#: or learned that it has none. VMs that start together would otherwise place their first requests
#: without knowing of each other's, often several on one engine. Finding the leader takes less than
#: half of this time; the whole is a fraction of the shortest target times of today's deployments.
FIRST_LEADER_WAIT = 0.1


@dataclass
class _PendingRequest:
    request: PlacementRequest
    #: Time of submission, in seconds of the dispatcher's clock.
    submitted_at: float
    #: Set once there is a decision, or the leader has acknowledged that the request waits.
    acknowledged: trio.Event
    decided: trio.Event
    decision: Optional[PlacementDecision] = None
    #: Whether the request was submitted to this VM's own scheduler.
    submitted_locally: bool = False


@dataclass
class _ActiveRequest:
    request: PlacementRequest
    grant: Grant
    is_prefilling: bool = True


@dataclass
class _PendingPermit:
    decided: trio.Event
    permit: Optional[Permit] = None


class Dispatcher:
    """Sends placement requests to the leader, or to the local scheduler while there is no leader.

    The local scheduler always tracks this VM's own requests, so that it can take over at any time.

    Args:
        vm: Id of this VM.
        local_scheduler: Schedules while there is no leader.
        clock: Returns the seconds of a monotonic clock.
        pauses: Returns the present pauses of a service's engines.

    """

    def __init__(
        self,
        vm: str,
        local_scheduler: EngineScheduler,
        clock: Callable[[], float],
        pauses: Callable[[str], tuple[ServerPause, ...]],
    ) -> None:
        self._vm = vm
        self._local_scheduler = local_scheduler
        self._clock = clock
        self._pauses = pauses
        self._link: Optional[MessageLink] = None
        self._pending: dict[str, _PendingRequest] = {}
        self._active: dict[str, _ActiveRequest] = {}
        self._pending_permits: dict[int, _PendingPermit] = {}
        self._permit_numbers = itertools.count()
        #: Set when the search for this VM's first leader has ended; ``None`` if none is expected.
        self._first_search_ended: Optional[trio.Event] = None

    @property
    def schedules_locally(self) -> bool:
        """Whether this VM's own scheduler decides, because there is no link to a leader."""
        return self._link is None

    @property
    def leader_search_ended(self) -> bool:
        """Whether the search for this VM's first leader was started and has ended."""
        return self._first_search_ended is not None and self._first_search_ended.is_set()

    def expect_leader(self) -> None:
        """Lets requests wait for the leader for a short time, as this VM has just started."""
        self._first_search_ended = trio.Event()

    def record_search_ended(self) -> None:
        """Records that this VM found a leader, or that it knows of none to follow."""
        if self._first_search_ended is not None:
            self._first_search_ended.set()

    def attach_leader(self, link: MessageLink) -> None:
        """Starts to use the leader at the other end of ``link``, and registers active requests."""
        self._link = link
        self.record_search_ended()
        for active in self._active.values():
            link.send(Register(active.request, active.grant, active.is_prefilling))

    def detach_leader(self) -> None:
        """Falls back to the local scheduler, also for the requests that are still pending."""
        self._link = None
        for pending in list(self._pending.values()):
            if pending.decision is None:
                self._submit_locally(pending)

    def handle_message(self, message: Message) -> None:
        """Handles a message of the leader; messages of other kinds are ignored."""
        match message:
            case Waiting(ask_id):
                if pending := self._pending.get(ask_id):
                    pending.acknowledged.set()
            case Granted(grant):
                self._handle_grant(grant)
            case Refused(refusal):
                self._apply_decision(refusal)
            case PermitResponse(number, permit):
                if pending_permit := self._pending_permits.get(number):
                    pending_permit.permit = permit
                    pending_permit.decided.set()
            case _:
                pass

    async def request_placement(self, request: PlacementRequest) -> PlacementDecision:
        """Returns the decision on a placement request; waits for it without a timeout.

        If the caller is cancelled while it waits, the placement request is withdrawn.
        """
        pending = _PendingRequest(request, self._clock(), trio.Event(), trio.Event())
        self._pending[request.id] = pending
        try:
            await self._submit_to_leader(pending)
            await pending.decided.wait()
        finally:
            del self._pending[request.id]
            if pending.decision is None:
                self._withdraw(request.id)
        decision = pending.decision
        assert decision is not None
        if isinstance(decision, Grant):
            self._active[request.id] = _ActiveRequest(request, decision)
            if pending.submitted_locally and self._link is not None:
                self._link.send(Register(request, decision, reading=True))
        return decision

    def report_first_event(self, ask_id: str) -> None:
        """Reports the first event of a response, which shows that prefill has finished."""
        if active := self._active.get(ask_id):
            active.is_prefilling = False
        self._local_scheduler.record_first_event(ask_id)
        if self._link is not None:
            self._link.send(PrefillFinished(ask_id))

    def report_event_gap(self, ask_id: str, gap: float) -> None:
        """Reports the shortest of several gaps, in seconds, between events of a request."""
        self._local_scheduler.record_event_gap(ask_id, gap)
        if self._link is not None:
            self._link.send(EventGapReport(ask_id, gap))

    def report_finished(
        self, ask_id: str, outcome: AttemptOutcome, at_fault: Optional[str] = None
    ) -> None:
        """Reports the end of a request that was placed.

        Args:
            ask_id: Id of the placement request.
            outcome: How the request ended.
            at_fault: Id or address of the engine that the response names as the cause of a failure.

        """
        self._active.pop(ask_id, None)
        self._local_scheduler.record_finished(ask_id, outcome, at_fault)
        if self._link is not None:
            self._link.send(Finished(ask_id, outcome, at_fault))

    def report_pause(self, service: str, pause: ServerPause) -> None:
        """Reports that an engine wants no requests from this VM for some time."""
        self._local_scheduler.record_pause(self._vm, service, pause)
        if self._link is not None:
            self._link.send(ServerPaused(service, pause))

    def report_limited_request(self, server_id: str) -> None:
        """Reports a request to a limited server that was sent without a grant."""
        self._local_scheduler.record_limited_request(server_id)
        if self._link is not None:
            self._link.send(LimitedRequestSent(server_id))

    async def request_permit(
        self, service: str, server_ids: tuple[str, ...], max_delay: float
    ) -> Permit:
        """Returns whether and when a request may be sent to one of several limited servers.

        Args:
            service: The service of the servers.
            server_ids: Ids of the servers.
            max_delay: Maximum number of seconds until the request may be sent.

        """
        link = self._link
        if link is None:
            return self._local_scheduler.reserve(service, server_ids, max_delay)
        number = next(self._permit_numbers)
        pending = self._pending_permits[number] = _PendingPermit(trio.Event())
        link.send(PermitRequest(number, service, server_ids, max_delay))
        try:
            with trio.move_on_after(LEADER_RESPONSE_TIMEOUT):
                await pending.decided.wait()
        finally:
            del self._pending_permits[number]
        return pending.permit or Permit(None, UNKNOWN_WAIT)

    async def _submit_to_leader(self, pending: _PendingRequest) -> None:
        if self._first_search_ended is not None and not self._first_search_ended.is_set():
            with trio.move_on_after(FIRST_LEADER_WAIT):
                await self._first_search_ended.wait()
        link = self._link
        if link is None:
            self._submit_locally(pending)
            return
        link.send(Submit(self._present_request(pending)))
        with trio.move_on_after(LEADER_RESPONSE_TIMEOUT):
            await pending.acknowledged.wait()
            return
        if not pending.acknowledged.is_set():
            log_event("home_slow", level=LogLevel.WARNING, ask=pending.request.id)
            link.send(Withdraw(pending.request.id))
            self._submit_locally(pending)

    def _submit_locally(self, pending: _PendingRequest) -> None:
        pending.submitted_locally = True
        request = self._present_request(pending)
        self._local_scheduler.submit(self._vm, request, self._apply_decision)

    def _present_request(self, pending: _PendingRequest) -> PlacementRequest:
        """Returns a pending request with the times that are left now, and the present pauses."""
        elapsed = self._clock() - pending.submitted_at
        return replace(
            pending.request,
            objective=pending.request.objective - elapsed,
            time_left=pending.request.time_left - elapsed,
            patience=pending.request.patience - elapsed,
            server_pauses=self._pauses(pending.request.service),
        )

    def _handle_grant(self, grant: Grant) -> None:
        pending = self._pending.get(grant.ask_id)
        if pending is None or pending.decision is not None:
            # The request was decided or withdrawn in the meantime, so the leader must not count it
            # as running.
            if grant.ask_id not in self._active and self._link is not None:
                self._link.send(Finished(grant.ask_id, AttemptOutcome.SERVED))
            return
        self._local_scheduler.register(self._vm, pending.request, grant, is_prefilling=True)
        self._apply_decision(grant)

    def _apply_decision(self, decision: PlacementDecision) -> None:
        pending = self._pending.get(decision.ask_id)
        if pending is None or pending.decision is not None:
            return
        pending.decision = decision
        pending.acknowledged.set()
        pending.decided.set()

    def _withdraw(self, ask_id: str) -> None:
        self._local_scheduler.withdraw(ask_id)
        if self._link is not None:
            self._link.send(Withdraw(ask_id))
