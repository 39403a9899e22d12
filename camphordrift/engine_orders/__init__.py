"""Orders to engines: load models and adapters, change roles, under a lease with fencing."""

from camphordrift.engine_orders._desired import (
    UNSAFE_WHEN_LATE,
    WEIGHT_ORDERS,
    DesiredEngine,
    DesiredWeights,
    ReportedEngine,
    reported_engine,
)
from camphordrift.engine_orders._giver import (
    ORDER_TIMEOUT_SECONDS,
    EngineOrderGiver,
    EngineOrdersState,
    OrderAuthority,
)
from camphordrift.engine_orders._order_book import AcceptedOrder, OrderTracker
from camphordrift.engine_orders._planning import (
    LOAD_PATIENCE_SECONDS,
    REASSERT_SECONDS,
    REPORT_PATIENCE_SECONDS,
    HeldBackOrder,
    OrderPlan,
    plan_orders,
)
from camphordrift.engine_orders._weight_budget import WeightStoreBudget

__all__ = [
    "LOAD_PATIENCE_SECONDS",
    "ORDER_TIMEOUT_SECONDS",
    "REASSERT_SECONDS",
    "REPORT_PATIENCE_SECONDS",
    "UNSAFE_WHEN_LATE",
    "WEIGHT_ORDERS",
    "AcceptedOrder",
    "DesiredEngine",
    "DesiredWeights",
    "EngineOrderGiver",
    "EngineOrdersState",
    "HeldBackOrder",
    "OrderAuthority",
    "OrderTracker",
    "OrderPlan",
    "ReportedEngine",
    "WeightStoreBudget",
    "plan_orders",
    "reported_engine",
]
