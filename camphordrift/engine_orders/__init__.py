"""Orders to engines (load and unload models and adapters, change roles), fenced by a lease.

Only the VM that holds the lease sends orders. A lease term is one uninterrupted tenure of the
lease; every order carries the term's fencing number, which is higher than that of earlier terms.
An engine that checks fencing numbers rejects orders of earlier terms. To engines that do not,
orders that would do damage when late are never sent.
"""

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
from camphordrift.engine_orders._order_tracker import AcceptedOrder, OrderTracker
from camphordrift.engine_orders._planning import (
    LOAD_TIMEOUT_SECONDS,
    REISSUE_INTERVAL_SECONDS,
    REPORT_TIMEOUT_SECONDS,
    HeldBackOrder,
    OrderPlan,
    plan_orders,
)
from camphordrift.engine_orders._weight_budget import WeightStoreBudget

__all__ = [
    "LOAD_TIMEOUT_SECONDS",
    "ORDER_TIMEOUT_SECONDS",
    "REISSUE_INTERVAL_SECONDS",
    "REPORT_TIMEOUT_SECONDS",
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
