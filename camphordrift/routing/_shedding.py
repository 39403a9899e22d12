"""Refuses, before anything runs, what cannot end in time."""

from typing import Optional

from camphordrift.results import Failure, ResultCode
from camphordrift.routing._demand import DemandMeter
from camphordrift.routing._fair_queue import FairQueue, Waiting

#: A band is counted on to get at least this share of the engines.
LEAST_SHARE = 0.05

#: Work that waits is taken to need this much more time than its prefill on idle engines.
CAUTION = 1.1

#: Bounds of the time after which a caller is told to ask again, in seconds.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0


def predicted_wait(
    waiting: Waiting, queue: FairQueue, granted: DemandMeter, engine_count: int, now: float
) -> float:
    """Returns the estimated time in the queue, in seconds.

    The queued work of the band that goes first is served at the pace at which the band has been
    served lately; ``granted`` meters that.
    """
    ahead = _fair_work_ahead(waiting, queue)
    if ahead <= 0.0:
        return 0.0
    pace = max(granted.rate(waiting.band, now), LEAST_SHARE * engine_count)
    return CAUTION * ahead / pace


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
