"""Tracks the orders sent to one engine in the current lease term, and their outcomes."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.backend_servers import EngineOrder, OrderKind
from camphordrift.identifiers import Incarnation
from camphordrift.leases import FencingNumber

#: Seconds of backoff after an order was rejected or got no response for the first time. The
#: backoff doubles with each further failure.
INITIAL_BACKOFF_SECONDS = 1.0

#: Maximum seconds of backoff.
MAXIMUM_BACKOFF_SECONDS = 30.0

#: The part of an engine's state that an order sets, as order kind and subject. A newer order with
#: the same target replaces an older one.
OrderTarget = tuple[OrderKind, str]


def target_of(order: EngineOrder) -> OrderTarget:
    """Returns the target of an order; all role changes share one target."""
    subject = "" if order.kind is OrderKind.CHANGE_ROLE else order.subject
    return (order.kind, subject)


@dataclass(frozen=True)
class AcceptedOrder:
    """An order that the engine accepted."""

    #: The accepted order.
    order: EngineOrder

    #: Incarnation of the engine's process that accepted the order.
    incarnation: Incarnation

    #: When the response arrived, in monotonic seconds.
    accepted_at: float


@dataclass(frozen=True)
class _Backoff:
    #: Number of consecutive failures.
    failures: int

    #: Earliest time of the next attempt, in monotonic seconds.
    retry_at: float

    #: Reason of the latest failure.
    reason: str


class OrderTracker:
    """Tracks one engine's accepted orders and the retry backoff of its failed ones.

    All state is dropped when the fencing number changes, so that a new lease holder sends every
    order again: an earlier holder's orders may have been lost, or may have taken effect late.
    """

    def __init__(self) -> None:
        self._fencing_number: Optional[FencingNumber] = None
        self._accepted: dict[OrderTarget, AcceptedOrder] = {}
        self._backoffs: dict[OrderTarget, _Backoff] = {}

    @property
    def accepted(self) -> tuple[AcceptedOrder, ...]:
        """Orders that the engine accepted in the current lease term."""
        return tuple(self._accepted.values())

    @property
    def last_failures(self) -> tuple[str, ...]:
        """Reasons of the latest failures of the orders that are waiting for a retry."""
        return tuple(backoff.reason for backoff in self._backoffs.values())

    def begin_term(self, fencing_number: FencingNumber) -> None:
        """Drops all state if ``fencing_number`` begins a new lease term."""
        if fencing_number != self._fencing_number:
            self._fencing_number = fencing_number
            self._accepted.clear()
            self._backoffs.clear()

    def seconds_since_accepted(
        self, order: EngineOrder, incarnation: Incarnation, now: float
    ) -> Optional[float]:
        """Returns the seconds since this incarnation of the engine accepted exactly this order.

        Returns ``None`` if it has not accepted the order.
        """
        accepted = self._accepted.get(target_of(order))
        if accepted is None or accepted.incarnation != incarnation:
            return None
        if accepted.order.order_id != order.order_id:
            return None
        return now - accepted.accepted_at

    def is_backoff_elapsed(self, order: EngineOrder, now: float) -> bool:
        """Returns whether the order may be sent, that is, no backoff is pending for its target."""
        backoff = self._backoffs.get(target_of(order))
        return backoff is None or now >= backoff.retry_at

    def record_accepted(self, order: EngineOrder, incarnation: Incarnation, now: float) -> None:
        """Records that the engine accepted an order; ignored if the lease term has changed."""
        if order.fencing_number != self._fencing_number:
            return
        target = target_of(order)
        self._accepted[target] = AcceptedOrder(order, incarnation, now)
        self._backoffs.pop(target, None)
        self._discard_opposite(order)

    def record_failed(self, order: EngineOrder, reason: str, now: float) -> None:
        """Records that an order was rejected or got no response, and schedules its retry."""
        target = target_of(order)
        previous = self._backoffs.get(target)
        failures = 1 if previous is None else previous.failures + 1
        delay_seconds = min(
            MAXIMUM_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2.0 ** (failures - 1)
        )
        self._backoffs[target] = _Backoff(failures, now + delay_seconds, reason)
        self._accepted.pop(target, None)

    def _discard_opposite(self, order: EngineOrder) -> None:
        opposite = {
            OrderKind.LOAD_MODEL: OrderKind.UNLOAD_MODEL,
            OrderKind.UNLOAD_MODEL: OrderKind.LOAD_MODEL,
        }.get(order.kind)
        if opposite is not None:
            self._accepted.pop((opposite, order.subject), None)
