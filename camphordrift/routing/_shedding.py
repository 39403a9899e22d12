"""Refuses, before anything runs, what cannot end in time."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.results import Failure, ResultCode
from camphordrift.routing._demand import DemandMeter
from camphordrift.routing._fair_queue import FairQueue, Waiting

#: Least share of the engines that a band is counted on to get.
LEAST_SHARE = 0.15

#: Bounds of the time after which a caller is told to ask again, in seconds.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0


@dataclass(frozen=True)
class PoolLoad:
    """What the wait of a new ask depends on."""

    #: Engines that may run it.
    engine_count: int

    #: Prefill that engines have been granted and not finished, in seconds.
    granted_seconds: float


def predicted_wait(
    waiting: Waiting, queue: FairQueue, demand: DemandMeter, load: PoolLoad, now: float
) -> float:
    """Returns the estimated time in the queue, in seconds.

    Counts the queued work that goes first: shorter bands, which also take their share of the
    engines in the meantime, and in the same band the fair share of each account.
    """
    shorter = sum(sum(queue.work_in(band).values()) for band in range(waiting.band))
    same = _fair_work_ahead(waiting, queue)
    taken = demand.rate_below(waiting.band, now)
    speed = max(load.engine_count - taken, LEAST_SHARE * load.engine_count, 0.1)
    queued = shorter + same
    return queued / speed if queued > 0.0 else 0.0


def _fair_work_ahead(waiting: Waiting, queue: FairQueue) -> float:
    """Returns the work in the band that is served before the ask under fair queueing."""
    account = waiting.ask.account_id
    own = queue.work_of(account, waiting.band)
    pace = (own + waiting.prefill_seconds) / queue.weight(account)
    ahead = own
    for other, work in queue.work_in(waiting.band).items():
        if other != account:
            ahead += min(work, pace * queue.weight(other))
    return ahead


def refusal_on_arrival(waiting: Waiting, wait_seconds: float, now: float) -> Optional[Failure]:
    """Returns why an ask is refused at once, or ``None`` if it may wait."""
    late = now + wait_seconds - waiting.latest_start
    if late <= 0.0:
        return None
    detail = f"the estimate ends {late:.1f} s after the deadline"
    return Failure(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after(late))


def refusal_in_queue(waiting: Waiting, now: float) -> Optional[Failure]:
    """Returns why a queued ask is given up, or ``None`` if it can still end in time."""
    if now <= waiting.latest_start:
        return None
    detail = f"no engine came free in the {now - waiting.since:.1f} s that could be waited"
    return Failure(ResultCode.DEADLINE_PASSED_IN_QUEUE, detail, retry_after(1.0))


def retry_after(seconds: float) -> float:
    """Returns the time after which to ask again, within bounds."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
