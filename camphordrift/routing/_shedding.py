"""Refuses, before anything runs, what cannot end in time."""

from typing import Optional

from camphordrift.results import Failure, ResultCode
from camphordrift.routing._demand import DemandMeter
from camphordrift.routing._fair_queue import FairQueue, QueuedAsk

#: A band is counted on to get at least this share of the engines.
MIN_BAND_SHARE = 0.05

#: Work that waits is taken to need this much more time than its prefill on idle engines.
WAIT_SAFETY_FACTOR = 1.1

#: Bounds of the time after which a caller is told to ask again, in seconds.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0


def predicted_wait(
    queued: QueuedAsk, queue: FairQueue, granted_demand: DemandMeter, engine_count: int, now: float
) -> float:
    """Returns the estimated time in the queue, in seconds.

    The queued work of the band that goes first is served at the pace at which the band has been
    served lately; ``granted`` meters that.
    """
    work_ahead = _work_ahead(queued, queue)
    if work_ahead <= 0.0:
        return 0.0
    pace = max(granted_demand.rate(queued.band, now), MIN_BAND_SHARE * engine_count)
    return WAIT_SAFETY_FACTOR * work_ahead / pace


def _work_ahead(queued: QueuedAsk, queue: FairQueue) -> float:
    """Returns the work in the band that is served before the ask under fair queueing."""
    account = queued.ask.account_id
    own_work = queue.work_of(account, queued.band)
    pace = (own_work + queued.prefill_seconds) / queue.weight(account)
    work_ahead = own_work
    for other, work in queue.work_in(queued.band).items():
        if other != account:
            work_ahead += min(work, pace * queue.weight(other))
    return work_ahead


def refusal_on_arrival(queued: QueuedAsk, wait_seconds: float, now: float) -> Optional[Failure]:
    """Returns why an ask is refused at once, or ``None`` if it may wait."""
    lateness = now + wait_seconds - queued.latest_start
    if lateness <= 0.0:
        return None
    detail = f"the estimate ends {lateness:.1f} s after the deadline"
    return Failure(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after(lateness))


def refusal_in_queue(queued: QueuedAsk, now: float) -> Optional[Failure]:
    """Returns why a queued ask is given up, or ``None`` if it can still end in time."""
    if now <= queued.latest_start:
        return None
    detail = f"no engine came free in the {now - queued.queued_at:.1f} s that could be waited"
    return Failure(ResultCode.DEADLINE_PASSED_IN_QUEUE, detail, retry_after(1.0))


def retry_after(seconds: float) -> float:
    """Returns the time after which to ask again, within bounds."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
