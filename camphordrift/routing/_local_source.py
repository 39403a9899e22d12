"""The grant source around a scheduler in the same process."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Optional

import trio
from returns import result

from camphordrift.backend_servers import CacheEventBatch, LoadReport
from camphordrift.identifiers import BackendServerId, RequestId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._home_messages import RunningGrant
from camphordrift.routing._scheduler import (
    AttemptKey,
    Decision,
    EngineSpec,
    Granted,
    Refused,
    Scheduler,
)


@dataclass
class _PendingDecision:
    decided: trio.Event = field(default_factory=trio.Event)
    answer: Optional[result.Result[Grant, Failure]] = None


class LocalGrantSource:
    """Waits for the decisions of a scheduler on trio's clock.

    ``run`` must run in a nursery for as long as the source is used: it wakes the scheduler when a
    queued ask's time is up. All news for the scheduler goes through this class, so that every event
    is followed by the decisions that it makes possible.
    """

    def __init__(self, scheduler: Scheduler, clock: Callable[[], float]) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._pending: dict[AttemptKey, _PendingDecision] = {}
        self._wake = trio.Event()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler, for state dumps."""
        return self._scheduler

    @property
    def waiting_count(self) -> int:
        """Asks that wait for their decision."""
        return len(self._pending)

    async def run(self) -> None:
        """Wakes the scheduler in time; runs until cancelled."""
        while True:
            self._wake = trio.Event()
            wakeup = self._scheduler.next_wakeup(self._clock())
            with trio.move_on_after(max(0.0, wakeup - self._clock())):
                await self._wake.wait()
            self._decide()

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Waits until an engine may take the attempt; refuses what cannot finish in time."""
        key = AttemptKey(ask.request_id, ask.attempt)
        if key in self._pending:
            detail = f"attempt {ask.attempt} of {ask.request_id} is already waiting"
            return result.Failure(Failure(ResultCode.MALFORMED_REQUEST, detail))
        pending = _PendingDecision()
        self._pending[key] = pending
        self._scheduler.submit(ask, self._clock())
        self._decide()
        try:
            await pending.decided.wait()
        except trio.Cancelled:
            self._withdraw(key, pending)
            raise
        assert pending.answer is not None
        return pending.answer

    def report_first_token(self, grant: Grant) -> None:
        """Tells that the prompt has been prefilled."""
        self.record_first_token(grant.request_id, grant.attempt)

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Tells how the attempt ended. Does not wait."""
        self.record_outcome(outcome)

    def record_first_token(self, request_id: RequestId, attempt: int) -> None:
        """Notes that an attempt's prompt has been prefilled, whoever runs it."""
        self._scheduler.record_first_token(AttemptKey(request_id, attempt), self._clock())
        self._decide()

    def record_outcome(self, outcome: GrantOutcome) -> None:
        """Notes how an attempt ended, whoever ran it, or that its ask is withdrawn."""
        self._scheduler.finish(outcome, self._clock())
        self._decide()

    def adopt(self, running: Iterable[RunningGrant]) -> None:
        """Counts attempts that another scheduler has granted."""
        for each in running:
            self._scheduler.adopt(each, self._clock())
        self._decide()

    def remove_vm(self, vm_id: VmId) -> None:
        """Drops what a dead VM asked for."""
        self._scheduler.remove_vm(vm_id, self._clock())
        self._decide()

    def set_engines(self, engines: Iterable[EngineSpec]) -> None:
        """Replaces the set of engines."""
        self._scheduler.set_engines(engines, self._clock())
        self._decide()

    def observe_load(self, report: LoadReport) -> None:
        """Takes a load report."""
        self._scheduler.observe_load(report, self._clock())
        self._decide()

    def observe_cache_events(self, engine_id: BackendServerId, batch: CacheEventBatch) -> None:
        """Takes cache events."""
        self._scheduler.observe_cache_events(engine_id, batch, self._clock())

    def mark_leaving(self, engine_id: BackendServerId) -> None:
        """Gives the engine no new work."""
        self._scheduler.mark_leaving(engine_id, self._clock())
        self._decide()

    def mark_failed(self, engine_id: BackendServerId) -> None:
        """Gives the engine no new work until it has reported again."""
        self._scheduler.mark_failed(engine_id, self._clock())
        self._decide()

    def _decide(self) -> None:
        for decision in self._scheduler.decide(self._clock()):
            self._deliver(decision)
        self._wake.set()

    def _deliver(self, decision: Decision) -> None:
        match decision:
            case Granted(grant):
                self._answer(AttemptKey(grant.request_id, grant.attempt), result.Success(grant))
            case Refused(key, failure):
                self._answer(key, result.Failure(failure))

    def _answer(self, key: AttemptKey, answer: result.Result[Grant, Failure]) -> None:
        pending = self._pending.pop(key, None)
        if pending is not None:
            pending.answer = answer
            pending.decided.set()

    def _withdraw(self, key: AttemptKey, pending: _PendingDecision) -> None:
        """Takes an ask back whose caller no longer waits, granted in the meantime or not."""
        self._pending.pop(key, None)
        match pending.answer:
            case result.Success(grant):
                self.finish(grant, unused_outcome(grant))
            case None:
                self._scheduler.withdraw(key, self._clock())
                self._decide()


def unused_outcome(grant: Grant) -> GrantOutcome:
    """Returns the outcome of a grant that was never used."""
    return GrantOutcome(
        grant.request_id,
        grant.attempt,
        grant.engine_id,
        completed=False,
        engine_failed=False,
        output_tokens=0,
    )


def local_grant_source(
    scheduler: Scheduler, clock: Callable[[], float] = trio.current_time
) -> LocalGrantSource:
    """Returns a grant source around ``scheduler``; start its ``run`` in a nursery.

    Example::

        source = local_grant_source(pool_scheduler(policy))
        nursery.start_soon(source.run)
        source.set_engines([EngineSpec(engine_id, frozenset({model}))])
        answer = await source.acquire(ask)
    """
    return LocalGrantSource(scheduler, clock)
