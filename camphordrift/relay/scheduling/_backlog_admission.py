"""Refuses requests at their arrival if others are served first until their deadline.

Answers a load in which more requests come than engines can serve for so long that those which wait
take up all of the time that a new one has: it would wait until its deadline in vain.
"""

from dataclasses import dataclass, field
from typing import Optional

from camphordrift.relay.scheduling._account_order import AccountOrder
from camphordrift.relay.scheduling._placement_values import (
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
)
from camphordrift.relay.scheduling._service_rate import ServiceRate
from camphordrift.relay.scheduling._waiting_requests import RequestKind, WaitingRequest, kind_of

#: A request is refused only if the wait would be too long even if engines became faster by this
#: factor.
CERTAINTY_FACTOR = 1.5

#: Minimum number of seconds after which a refused caller may return.
MIN_RETURN_SECONDS = 1.0

#: Maximum number of seconds over which the returns of an account's refused callers are spread.
MAX_RETURN_SPREAD = 10.0


@dataclass
class _KindRecord:
    """What is known of one kind of request."""

    rate: ServiceRate
    #: Times until which refused callers were told to return, by account.
    promised_until: dict[str, float] = field(default_factory=dict)


class BacklogAdmission:
    """Decides whether a new request waits, from the work before it and the rate of service.

    Args:
        order: The order in which requests are served.

    """

    def __init__(self, order: AccountOrder) -> None:
        self._order = order
        self._kinds: dict[RequestKind, _KindRecord] = {}

    def record_placed(self, request: PlacementRequest, engine_seconds: float, now: float) -> None:
        """Records that a request was placed on engines."""
        kind = kind_of(request)
        if kind not in self._kinds:
            self._kinds[kind] = _KindRecord(ServiceRate(now))
        self._kinds[kind].rate.record_placed(engine_seconds)

    def record_ended(
        self, request: PlacementRequest, engine_seconds: float, duration: float, now: float
    ) -> None:
        """Records that a request ended that was placed ``duration`` seconds ago."""
        self._kinds[kind_of(request)].rate.record_ended(engine_seconds, duration, now)

    def restart_estimates(self, now: float) -> None:
        """Refuses no requests until it is known again how fast they are served."""
        for record in self._kinds.values():
            record.rate.restart(now)

    def refusal(self, waiting: WaitingRequest, now: float) -> Optional[PlacementRefusal]:
        """Returns a refusal of the newest request of its account; ``None`` if it may wait.

        The caller makes sure that no engine can take the request now.
        """
        request, record = waiting.request, self._kinds.get(kind_of(waiting.request))
        if not _may_be_refused(request) or record is None:
            return None
        rate = record.rate.estimate(now)
        if rate is None:
            return None
        wait = self._order.work_before(waiting) / rate
        longest_wait = waiting.deadline - now - waiting.minimum_time
        if wait <= longest_wait * CERTAINTY_FACTOR:
            return None
        spacing = waiting.engine_seconds / (rate * self._order.weight_share(waiting))
        retry_after = _promise(record, request.account, wait - longest_wait, spacing, now)
        return PlacementRefusal(
            request.id,
            RefusalReason.BACKLOG,
            retry_after,
            time_left=waiting.deadline - now,
            time_needed=wait + waiting.minimum_time,
        )


def _may_be_refused(request: PlacementRequest) -> bool:
    """Returns whether a request is one of a known account that no engine has worked on."""
    is_first_attempt = not request.excluded and request.preferred is None and not request.resumed
    return bool(request.account) and is_first_attempt


def _promise(
    record: _KindRecord, account: str, earliest: float, spacing: float, now: float
) -> float:
    """Returns the seconds after which a caller may return, another time for each.

    Args:
        record: What is known of the kind of request.
        account: The account of the caller.
        earliest: Seconds after which the account is expected to have room.
        spacing: Seconds in which the account is served one request.
        now: The current time.

    """
    promised = record.promised_until
    for name in [name for name, until in promised.items() if until < now]:
        del promised[name]
    first = now + max(earliest, MIN_RETURN_SECONDS)
    following = max(first, promised.get(account, 0.0) + spacing)
    # Those that would come after the maximum spread are distributed over it from its beginning.
    promised[account] = first + (following - first) % MAX_RETURN_SPREAD
    return promised[account] - now
