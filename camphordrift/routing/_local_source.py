"""A grant source that uses a scheduler in the same process."""

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
    response: Optional[result.Result[Grant, Failure]] = None


class LocalGrantSource:
    """Connects a synchronous scheduler to trio tasks that wait for its decisions.

    ``run`` must run in a nursery for as long as the source is used: it runs the scheduler when a
    queued request expires. All events for the scheduler must go through this class, so that every
    event is followed by the decisions that it makes possible.
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
        """Number of grant requests that wait for a decision."""
        return len(self._pending)

    async def run(self) -> None:
        """Runs the scheduler at its wakeup times until cancelled."""
        while True:
            self._wake = trio.Event()
            wakeup = self._scheduler.next_wakeup(self._clock())
            with trio.move_on_after(max(0.0, wakeup - self._clock())):
                await self._wake.wait()
            self._decide()

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Waits for a grant; fails if the attempt cannot finish before its deadline."""
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
        assert pending.response is not None
        return pending.response

    def report_first_token(self, grant: Grant) -> None:
        """Reports that the prefill of the attempt is complete."""
        self.record_first_token(grant.request_id, grant.attempt)

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Reports how the attempt ended. Does not block."""
        self.record_outcome(outcome)

    def record_first_token(self, request_id: RequestId, attempt: int) -> None:
        """Records that the prefill of an attempt, of this or another VM, is complete."""
        self._scheduler.record_first_token(AttemptKey(request_id, attempt), self._clock())
        self._decide()

    def record_outcome(self, outcome: GrantOutcome) -> None:
        """Records how an attempt of any VM ended, or that its grant request is withdrawn."""
        self._scheduler.finish(outcome, self._clock())
        self._decide()

    def adopt(self, running: Iterable[RunningGrant]) -> None:
        """Adds running attempts that another scheduler has granted."""
        for each in running:
            self._scheduler.adopt(each, self._clock())
        self._decide()

    def remove_vm(self, vm_id: VmId) -> None:
        """Removes the queued requests and the granted attempts of a dead VM."""
        self._scheduler.remove_vm(vm_id, self._clock())
        self._decide()

    def set_engines(self, engines: Iterable[EngineSpec]) -> None:
        """Replaces the set of engines; engines that remain keep their state."""
        self._scheduler.set_engines(engines, self._clock())
        self._decide()

    def observe_load(self, report: LoadReport) -> None:
        """Applies a load report of an engine."""
        self._scheduler.observe_load(report, self._clock())
        self._decide()

    def observe_cache_events(self, engine_id: BackendServerId, batch: CacheEventBatch) -> None:
        """Applies prefix cache events of an engine."""
        self._scheduler.observe_cache_events(engine_id, batch, self._clock())

    def mark_leaving(self, engine_id: BackendServerId) -> None:
        """Marks an engine as draining: no new work until ``set_engines`` lists it again."""
        self._scheduler.mark_leaving(engine_id, self._clock())
        self._decide()

    def mark_failed(self, engine_id: BackendServerId) -> None:
        """Gives the engine no new work until its next report or a timeout."""
        self._scheduler.mark_failed(engine_id, self._clock())
        self._decide()

    def _decide(self) -> None:
        for decision in self._scheduler.decide(self._clock()):
            self._deliver(decision)
        self._wake.set()

    def _deliver(self, decision: Decision) -> None:
        match decision:
            case Granted(grant):
                self._resolve(AttemptKey(grant.request_id, grant.attempt), result.Success(grant))
            case Refused(key, failure):
                self._resolve(key, result.Failure(failure))

    def _resolve(self, key: AttemptKey, response: result.Result[Grant, Failure]) -> None:
        pending = self._pending.pop(key, None)
        if pending is not None:
            pending.response = response
            pending.decided.set()

    def _withdraw(self, key: AttemptKey, pending: _PendingDecision) -> None:
        """Withdraws the request of a cancelled caller, or finishes its grant if it has one."""
        self._pending.pop(key, None)
        match pending.response:
            case result.Success(grant):
                self.finish(grant, unused_outcome(grant))
            case None:
                self._scheduler.withdraw(key, self._clock())
                self._decide()


def unused_outcome(grant: Grant) -> GrantOutcome:
    """Returns the outcome to report for a grant that was never used."""
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
    """Returns a grant source for ``scheduler``; start its ``run`` in a nursery.

    Example::

        source = local_grant_source(pool_scheduler(policy))
        nursery.start_soon(source.run)
        source.set_engines([EngineSpec(engine_id, frozenset({model}))])
        response = await source.acquire(ask)
    """
    return LocalGrantSource(scheduler, clock)
