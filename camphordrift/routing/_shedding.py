"""Load shedding: refuses requests that cannot finish before their deadline."""

from typing import Optional

from camphordrift.results import Failure, ResultCode
from camphordrift.routing._demand import DemandMeter
from camphordrift.routing._request_queue import QueuedAsk, RequestQueue

#: The wait estimate assumes that a length band gets at least this share of the engines.
MIN_BAND_SHARE = 0.05

#: The wait estimate multiplies the prefill time of queued work by this factor. That time is an
#: estimate for idle engines.
WAIT_SAFETY_FACTOR = 1.1

#: Minimum and maximum number of seconds that a refusal suggests as the delay before a retry.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 120.0


def predicted_wait(
    queued: QueuedAsk,
    queue: RequestQueue,
    granted_demand: DemandMeter,
    engine_count: int,
    now: float,
) -> float:
    """Returns the estimated number of seconds that a request will be queued.

    It assumes that the band's queued work ahead of the request is served at the recent service rate
    of the band, which ``granted_demand`` measures.
    """
    work_ahead = _work_ahead(queued, queue)
    if work_ahead <= 0.0:
        return 0.0
    service_rate = max(granted_demand.rate(queued.band, now), MIN_BAND_SHARE * engine_count)
    return WAIT_SAFETY_FACTOR * work_ahead / service_rate


def _work_ahead(queued: QueuedAsk, queue: RequestQueue) -> float:
    """Returns the seconds of prefill that fair queueing serves before the request in its band."""
    account = queued.ask.account_id
    own_work = queue.work_of(account, queued.band)
    normalized_work = (own_work + queued.prefill_seconds) / queue.weight(account)
    work_ahead = own_work
    for other, work in queue.work_in(queued.band).items():
        if other != account:
            work_ahead += min(work, normalized_work * queue.weight(other))
    return work_ahead


def refusal_on_arrival(queued: QueuedAsk, wait_seconds: float, now: float) -> Optional[Failure]:
    """Returns the failure of a request to refuse on arrival, or ``None`` to queue it."""
    lateness = now + wait_seconds - queued.latest_start
    if lateness <= 0.0:
        return None
    detail = f"the estimated completion is {lateness:.1f} s after the deadline"
    return Failure(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after(lateness))


def refusal_in_queue(queued: QueuedAsk, now: float) -> Optional[Failure]:
    """Returns the failure of a queued request, or ``None`` if it can still meet its deadline."""
    if now <= queued.latest_start:
        return None
    detail = f"no engine became available within the {now - queued.queued_at:.1f} s it could wait"
    return Failure(ResultCode.DEADLINE_PASSED_IN_QUEUE, detail, retry_after(1.0))


def retry_after(seconds: float) -> float:
    """Returns the retry delay to suggest to the caller, within its bounds."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
