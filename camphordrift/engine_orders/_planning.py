"""Plans the orders that bring an engine from its reported to its desired state."""

from dataclasses import dataclass

from returns import result

from camphordrift.backend_servers import EngineOrder, OrderKind
from camphordrift.clocks import ClockReading
from camphordrift.engine_orders._desired import (
    UNSAFE_WHEN_LATE,
    WEIGHT_ORDERS,
    DesiredEngine,
    ReportedEngine,
)
from camphordrift.engine_orders._order_tracker import OrderTracker
from camphordrift.engine_orders._weight_budget import WeightStoreBudget
from camphordrift.leases import FencingNumber, LeaseTerm
from camphordrift.results import Failure, ResultCode

#: Seconds after which an accepted role change or unload is sent again if the engine has not
#: reported its effect.
REPORT_TIMEOUT_SECONDS = 30.0

#: Seconds after which an accepted load is sent again if the engine has not reported the model.
LOAD_TIMEOUT_SECONDS = 600.0

#: Seconds after which an engine that does not check fencing numbers is sent an accepted order
#: again. An order of an earlier lease holder may have taken effect late, without any sign of it.
REISSUE_INTERVAL_SECONDS = 300.0


@dataclass(frozen=True)
class HeldBackOrder:
    """An order that is needed but must not be sent now."""

    #: The order that is held back.
    order: EngineOrder

    #: Why the order is held back; its ``retry_after_seconds`` is the delay until it may be sent, if
    #: known.
    failure: Failure


@dataclass(frozen=True)
class OrderPlan:
    """The orders for one engine in one round."""

    #: Orders to send, in the order of this tuple.
    orders: tuple[EngineOrder, ...] = ()

    #: Orders that are needed but must not be sent now.
    held_back: tuple[HeldBackOrder, ...] = ()

    @property
    def is_converged(self) -> bool:
        """Whether no order is to be sent or held back; orders in backoff do not count."""
        return not self.orders and not self.held_back


def plan_orders(
    desired: DesiredEngine,
    reported: ReportedEngine,
    term: LeaseTerm,
    tracker: OrderTracker,
    budget: WeightStoreBudget,
    now: ClockReading,
) -> OrderPlan:
    """Returns the orders that bring one engine to its desired state.

    Spends one load of ``budget`` for every planned order that loads weights. The caller must check
    immediately before it sends each order that it still holds the lease.
    """
    tracker.begin_term(term.fencing_number)
    if reported.leaving:
        return OrderPlan()
    needed = [
        order
        for order in _required_orders(desired, reported, term.fencing_number)
        if order.kind in desired.allowed_orders
        and not _is_satisfied(order, desired, reported, tracker, now)
    ]
    permitted: list[EngineOrder] = []
    held_back: list[HeldBackOrder] = []
    for order in needed:
        if not tracker.is_backoff_elapsed(order, now.monotonic):
            continue
        match _check_permission(order, desired, term, budget, now):
            case result.Failure(failure):
                held_back.append(HeldBackOrder(order, failure))
            case _:
                permitted.append(order)
    return OrderPlan(tuple(permitted), tuple(held_back))


def _required_orders(
    desired: DesiredEngine, reported: ReportedEngine, fencing_number: FencingNumber
) -> list[EngineOrder]:
    orders = [_build_order(desired, OrderKind.CHANGE_ROLE, desired.role.value, "", fencing_number)]
    for weights in desired.weights:
        orders.append(
            _build_order(desired, weights.kind, weights.name, weights.version, fencing_number)
        )
    desired_model_names = {w.name for w in desired.weights if w.kind is OrderKind.LOAD_MODEL}
    for model in sorted(reported.models - desired_model_names):
        orders.append(_build_order(desired, OrderKind.UNLOAD_MODEL, model, "", fencing_number))
    return orders


def _build_order(
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
    now: ClockReading,
) -> bool:
    """Returns whether the order need not be sent, judging by reports and earlier responses."""
    seconds_since = tracker.seconds_since_accepted(order, reported.incarnation, now.monotonic)
    if seconds_since is None:
        return not desired.checks_fencing and _is_reported_role(order, reported)
    if not desired.checks_fencing and seconds_since >= REISSUE_INTERVAL_SECONDS:
        return False
    match order.kind:
        case OrderKind.CHANGE_ROLE:
            return _is_reported_role(order, reported) or seconds_since < REPORT_TIMEOUT_SECONDS
        case OrderKind.UNLOAD_MODEL:
            return seconds_since < REPORT_TIMEOUT_SECONDS
        case OrderKind.LOAD_MODEL:
            return order.subject in reported.models or seconds_since < LOAD_TIMEOUT_SECONDS
        case OrderKind.LOAD_ADAPTER:
            return True


def _is_reported_role(order: EngineOrder, reported: ReportedEngine) -> bool:
    """Returns whether the order sets the role that the engine already reports.

    An engine that does not check fencing numbers needs no such order. One that checks them is sent
    its role anyway at the start of a lease term, so that it learns the new fencing number and
    rejects orders of earlier holders.
    """
    return order.kind is OrderKind.CHANGE_ROLE and reported.role.value == order.subject


def _check_permission(
    order: EngineOrder,
    desired: DesiredEngine,
    term: LeaseTerm,
    budget: WeightStoreBudget,
    now: ClockReading,
) -> result.Result[None, Failure]:
    if not desired.checks_fencing and order.kind in UNSAFE_WHEN_LATE:
        detail = (
            f"{desired.engine_id} does not check fencing numbers, so a late {order.kind.value} "
            "order could not be rejected"
        )
        return result.Failure(Failure(ResultCode.ORDER_UNSAFE_WITHOUT_FENCING, detail))
    if not desired.checks_fencing and not now.is_past(term.settled_at):
        wait_seconds = term.settled_at.monotonic - now.monotonic
        detail = "orders of an earlier lease holder may still be in flight"
        return result.Failure(
            Failure(ResultCode.LEASE_HELD_BY_OTHER, detail, retry_after_seconds=wait_seconds)
        )
    if order.kind in WEIGHT_ORDERS:
        return budget.try_spend(now.monotonic)
    return result.Success(None)
