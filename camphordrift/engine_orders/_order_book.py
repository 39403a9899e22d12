"""What one engine was ordered under the lease in force, and what it answered."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.backend_servers import EngineOrder, OrderKind
from camphordrift.identifiers import Incarnation
from camphordrift.leases import FencingNumber

#: The first delay after an order that was refused or not answered, in seconds; it doubles.
FIRST_RETRY_SECONDS = 1.0
LARGEST_RETRY_SECONDS = 30.0

#: Names what an order is about: only the newest order about it counts.
OrderTopic = tuple[OrderKind, str]


def topic_of(order: EngineOrder) -> OrderTopic:
    """Returns what an order is about; all changes of the role are about one thing."""
    subject = "" if order.kind is OrderKind.CHANGE_ROLE else order.subject
    return (order.kind, subject)


@dataclass(frozen=True)
class AcceptedOrder:
    """An order that the engine took."""

    #: The order.
    order: EngineOrder

    #: The engine's incarnation that took it.
    incarnation: Incarnation

    #: When it answered, in monotonic seconds.
    accepted_at: float


@dataclass(frozen=True)
class _Delay:
    #: How often the order has failed.
    failures: int

    #: When it may be sent again, in monotonic seconds.
    until: float

    #: Why it failed last.
    reason: str


class OrderTracker:
    """Remembers accepted orders and delays those that failed, for one engine.

    Everything is forgotten when the fencing number changes, so that a new holder gives every order
    again: an earlier holder's orders may have been lost, or may have come late.
    """

    def __init__(self) -> None:
        self._fencing_number: Optional[FencingNumber] = None
        self._accepted: dict[OrderTopic, AcceptedOrder] = {}
        self._delays: dict[OrderTopic, _Delay] = {}

    @property
    def accepted(self) -> tuple[AcceptedOrder, ...]:
        """Orders taken under the lease in force."""
        return tuple(self._accepted.values())

    @property
    def last_failures(self) -> tuple[str, ...]:
        """Why orders failed that wait to be sent again."""
        return tuple(delay.reason for delay in self._delays.values())

    def begin_term(self, fencing_number: FencingNumber) -> None:
        """Forgets all orders if they were given under another fencing number."""
        if fencing_number != self._fencing_number:
            self._fencing_number = fencing_number
            self._accepted.clear()
            self._delays.clear()

    def seconds_since_accepted(
        self, order: EngineOrder, incarnation: Incarnation, now: float
    ) -> Optional[float]:
        """Returns how long ago this incarnation took just this order; ``None`` if it did not."""
        accepted = self._accepted.get(topic_of(order))
        if accepted is None or accepted.incarnation != incarnation:
            return None
        if accepted.order.order_id != order.order_id:
            return None
        return now - accepted.accepted_at

    def may_send(self, order: EngineOrder, now: float) -> bool:
        """Whether the delay after an earlier failure is over."""
        delay = self._delays.get(topic_of(order))
        return delay is None or now >= delay.until

    def record_accepted(self, order: EngineOrder, incarnation: Incarnation, now: float) -> None:
        """Notes that the engine took an order."""
        if order.fencing_number != self._fencing_number:
            return
        topic = topic_of(order)
        self._accepted[topic] = AcceptedOrder(order, incarnation, now)
        self._delays.pop(topic, None)
        self._forget_opposite(order)

    def record_failed(self, order: EngineOrder, reason: str, now: float) -> None:
        """Notes that an order was refused, or that its answer was lost; it is sent again later."""
        topic = topic_of(order)
        earlier = self._delays.get(topic)
        failures = 1 if earlier is None else earlier.failures + 1
        delay_seconds = min(LARGEST_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2.0 ** (failures - 1))
        self._delays[topic] = _Delay(failures, now + delay_seconds, reason)
        self._accepted.pop(topic, None)

    def _forget_opposite(self, order: EngineOrder) -> None:
        opposite = {
            OrderKind.LOAD_MODEL: OrderKind.UNLOAD_MODEL,
            OrderKind.UNLOAD_MODEL: OrderKind.LOAD_MODEL,
        }.get(order.kind)
        if opposite is not None:
            self._accepted.pop((opposite, order.subject), None)
