"""Decides which orders an engine gets next: what is desired against what it reports."""

from dataclasses import dataclass

from returns import result

from camphordrift.backend_servers import EngineOrder, OrderKind
from camphordrift.clocks import TwoClocks
from camphordrift.engine_orders._desired import (
    UNSAFE_WHEN_LATE,
    WEIGHT_ORDERS,
    DesiredEngine,
    ReportedEngine,
)
from camphordrift.engine_orders._order_book import OrderTracker
from camphordrift.engine_orders._weight_budget import WeightStoreBudget
from camphordrift.leases import FencingNumber, LeaseTerm
from camphordrift.results import Failure, ResultCode

#: A change of role or an unload that was taken is given again if the engine does not report it
#: after this, in seconds.
REPORT_PATIENCE_SECONDS = 30.0

#: A load that was taken is given again if the model is not reported after this, in seconds.
LOAD_PATIENCE_SECONDS = 600.0

#: An engine that ignores fencing is given its orders again after this long, in seconds, since one
#: of an earlier holder may have come late without being seen.
REASSERT_SECONDS = 300.0


@dataclass(frozen=True)
class HeldBackOrder:
    """An order that is not sent now."""

    #: The order.
    order: EngineOrder

    #: Why, and when it may be sent.
    failure: Failure


@dataclass(frozen=True)
class OrderPlan:
    """What to send to one engine now."""

    #: Orders to send, in this order.
    orders: tuple[EngineOrder, ...] = ()

    #: Orders that are needed and not sent now.
    held_back: tuple[HeldBackOrder, ...] = ()

    @property
    def is_converged(self) -> bool:
        """True if the engine is what it shall be."""
        return not self.orders and not self.held_back


def plan_orders(
    desired: DesiredEngine,
    reported: ReportedEngine,
    term: LeaseTerm,
    tracker: OrderTracker,
    budget: WeightStoreBudget,
    now: TwoClocks,
) -> OrderPlan:
    """Returns the orders that bring one engine to its desired state.

    Takes a load from ``budget`` for every order that needs weights. The sender still has to ask
    its lease right before each order.
    """
    tracker.begin_term(term.fencing_number)
    if reported.leaving:
        return OrderPlan()
    needed = [
        order
        for order in _wanted_orders(desired, reported, term.fencing_number)
        if order.kind in desired.allowed_orders
        and not _is_satisfied(order, desired, reported, tracker, now)
    ]
    ready: list[EngineOrder] = []
    held_back: list[HeldBackOrder] = []
    for order in needed:
        if not tracker.may_send(order, now.monotonic):
            continue
        match _permission(order, desired, term, budget, now):
            case result.Failure(failure):
                held_back.append(HeldBackOrder(order, failure))
            case _:
                ready.append(order)
    return OrderPlan(tuple(ready), tuple(held_back))


def _wanted_orders(
    desired: DesiredEngine, reported: ReportedEngine, fencing_number: FencingNumber
) -> list[EngineOrder]:
    orders = [_order(desired, OrderKind.CHANGE_ROLE, desired.role.value, "", fencing_number)]
    for weights in desired.weights:
        orders.append(_order(desired, weights.kind, weights.name, weights.version, fencing_number))
    wanted = {w.name for w in desired.weights if w.kind is OrderKind.LOAD_MODEL}
    for model in sorted(reported.models - wanted):
        orders.append(_order(desired, OrderKind.UNLOAD_MODEL, model, "", fencing_number))
    return orders


def _order(
    desired: DesiredEngine, kind: OrderKind, subject: str, version: str, fencing: FencingNumber
) -> EngineOrder:
    parts = (
        str(fencing),
        str(desired.configuration_version),
        desired.engine_id,
        kind.value,
        subject,
        version,
    )
    return EngineOrder(
        kind=kind,
        subject=subject,
        version=version,
        fencing_number=fencing,
        order_id="/".join(parts),
    )


def _is_satisfied(
    order: EngineOrder,
    desired: DesiredEngine,
    reported: ReportedEngine,
    tracker: OrderTracker,
    now: TwoClocks,
) -> bool:
    """Whether the engine already is what the order says, as far as it can be known."""
    seconds_since = tracker.seconds_since_accepted(order, reported.incarnation, now.monotonic)
    if seconds_since is None:
        return not desired.checks_fencing and _is_reported_role(order, reported)
    if not desired.checks_fencing and seconds_since >= REASSERT_SECONDS:
        return False
    match order.kind:
        case OrderKind.CHANGE_ROLE:
            return _is_reported_role(order, reported) or seconds_since < REPORT_PATIENCE_SECONDS
        case OrderKind.UNLOAD_MODEL:
            return seconds_since < REPORT_PATIENCE_SECONDS
        case OrderKind.LOAD_MODEL:
            return order.subject in reported.models or seconds_since < LOAD_PATIENCE_SECONDS
        case OrderKind.LOAD_ADAPTER:
            return True


def _is_reported_role(order: EngineOrder, reported: ReportedEngine) -> bool:
    """Whether the order sets the role that the engine has.

    An engine that checks fencing is told all the same, so that it learns the fencing number and
    refuses what an earlier holder sent.
    """
    return order.kind is OrderKind.CHANGE_ROLE and reported.role.value == order.subject


def _permission(
    order: EngineOrder,
    desired: DesiredEngine,
    term: LeaseTerm,
    budget: WeightStoreBudget,
    now: TwoClocks,
) -> result.Result[None, Failure]:
    if not desired.checks_fencing and order.kind in UNSAFE_WHEN_LATE:
        detail = f"{desired.engine_id} does not check fencing, and {order.kind.value} may come late"
        return result.Failure(Failure(ResultCode.ORDER_UNSAFE_WITHOUT_FENCING, detail))
    if not desired.checks_fencing and not now.is_past(term.settled):
        wait_seconds = term.settled.monotonic - now.monotonic
        detail = "an earlier holder's orders may still be on their way"
        return result.Failure(
            Failure(ResultCode.LEASE_HELD_BY_OTHER, detail, retry_after_seconds=wait_seconds)
        )
    if order.kind in WEIGHT_ORDERS:
        return budget.try_spend(now.monotonic)
    return result.Success(None)
