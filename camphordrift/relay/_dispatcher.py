"""Gets engines for this VM's requests, from the pools' home or by deciding alone."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._engine_scheduler import EngineScheduler
from camphordrift.relay._peer_messages import (
    EventGapReport,
    Finished,
    Granted,
    Message,
    MessageLink,
    PrefillFinished,
    Refused,
    Register,
    Submit,
    Waiting,
    Withdraw,
)
from camphordrift.relay._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRequest,
)

#: Seconds in which the home answers or says that the request waits.
HOME_ANSWER_TIMEOUT = 0.15


@dataclass
class _Pending:
    ask: PlacementRequest
    submitted: float
    #: Set when the home has answered or said that the request waits.
    heard: trio.Event
    decided: trio.Event
    decision: Optional[PlacementDecision] = None
    #: Whether this VM's own pools were asked.
    asked_own: bool = False


@dataclass
class _Active:
    ask: PlacementRequest
    grant: Grant
    reading: bool = True


class Dispatcher:
    """Asks the home while there is a link to it; otherwise this VM's own pools decide.

    The own pools always know this VM's own requests, so that they can take over at any moment.
    """

    def __init__(self, vm: str, own_home: EngineScheduler, clock: Callable[[], float]) -> None:
        self._vm = vm
        self._own = own_home
        self._clock = clock
        self._link: Optional[MessageLink] = None
        self._pending: dict[str, _Pending] = {}
        self._active: dict[str, _Active] = {}

    @property
    def schedules_locally(self) -> bool:
        """Whether this VM's own pools decide."""
        return self._link is None

    def attach(self, link: MessageLink) -> None:
        """Starts to ask the home at the other end of ``link``."""
        self._link = link
        for active in self._active.values():
            link.send(Register(active.ask, active.grant, active.reading))

    def detach(self) -> None:
        """Goes on with this VM's own pools."""
        self._link = None
        for pending in list(self._pending.values()):
            if pending.decision is None:
                self._submit_to_own(pending)

    def handle(self, message: Message) -> None:
        """Takes a message of the home."""
        match message:
            case Waiting(ask_id):
                if pending := self._pending.get(ask_id):
                    pending.heard.set()
            case Granted(grant):
                self._take_remote(grant)
            case Refused(refusal):
                self._take(refusal)
            case _:
                pass

    async def place(self, ask: PlacementRequest) -> PlacementDecision:
        """Returns an engine for a request, or why there is none; waits as long as it takes."""
        pending = _Pending(ask, self._clock(), trio.Event(), trio.Event())
        self._pending[ask.id] = pending
        try:
            await self._ask_home(pending)
            await pending.decided.wait()
        finally:
            del self._pending[ask.id]
            if pending.decision is None:
                self._withdraw(ask.id)
        decision = pending.decision
        assert decision is not None
        if isinstance(decision, Grant):
            self._active[ask.id] = _Active(ask, decision)
            if pending.asked_own and self._link is not None:
                self._link.send(Register(ask, decision, reading=True))
        return decision

    def report_first_event(self, ask_id: str) -> None:
        """Reports the first event of an answer."""
        if active := self._active.get(ask_id):
            active.reading = False
        self._own.record_first_event(ask_id)
        if self._link is not None:
            self._link.send(PrefillFinished(ask_id))

    def report_event_gap(self, ask_id: str, pause: float) -> None:
        """Reports the shortest of some pauses between a request's events."""
        self._own.record_event_gap(ask_id, pause)
        if self._link is not None:
            self._link.send(EventGapReport(ask_id, pause))

    def report_finished(
        self, ask_id: str, outcome: AttemptOutcome, at_fault: Optional[str] = None
    ) -> None:
        """Reports the end of a request's work."""
        self._active.pop(ask_id, None)
        self._own.record_finished(ask_id, outcome, at_fault)
        if self._link is not None:
            self._link.send(Finished(ask_id, outcome, at_fault))

    async def _ask_home(self, pending: _Pending) -> None:
        link = self._link
        if link is None:
            self._submit_to_own(pending)
            return
        link.send(Submit(pending.ask))
        with trio.move_on_after(HOME_ANSWER_TIMEOUT):
            await pending.heard.wait()
            return
        if not pending.heard.is_set():
            log_event("home_slow", level=LogLevel.WARNING, ask=pending.ask.id)
            link.send(Withdraw(pending.ask.id))
            self._submit_to_own(pending)

    def _submit_to_own(self, pending: _Pending) -> None:
        pending.asked_own = True
        spent = self._clock() - pending.submitted
        ask = replace(
            pending.ask,
            objective=pending.ask.objective - spent,
            time_left=pending.ask.time_left - spent,
        )
        self._own.submit(self._vm, ask, self._take)

    def _take_remote(self, grant: Grant) -> None:
        pending = self._pending.get(grant.ask_id)
        if pending is None or pending.decision is not None:
            # The request was answered or given up meanwhile; the home must not count it.
            if grant.ask_id not in self._active and self._link is not None:
                self._link.send(Finished(grant.ask_id, AttemptOutcome.SERVED))
            return
        self._own.register(self._vm, pending.ask, grant, is_prefilling=True)
        self._take(grant)

    def _take(self, decision: PlacementDecision) -> None:
        pending = self._pending.get(decision.ask_id)
        if pending is None or pending.decision is not None:
            return
        pending.decision = decision
        pending.heard.set()
        pending.decided.set()

    def _withdraw(self, ask_id: str) -> None:
        self._own.withdraw(ask_id)
        if self._link is not None:
            self._link.send(Withdraw(ask_id))
