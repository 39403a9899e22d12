"""Decides which requests are sent to which backend servers, in which order, and when.

May hold decisions only: plain synchronous code without I/O, to which the time is passed. Imports
:mod:`camphordrift.relay.model`, :mod:`camphordrift.relay.servers` and
:mod:`camphordrift.fair_queue`.
"""

from camphordrift.relay.scheduling._engine_scheduler import EngineScheduler
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
)
from camphordrift.relay.scheduling._plain_servers import PlainServerBalancer
from camphordrift.relay.scheduling._request_limits import (
    LIMITED_WAIT_SHARE,
    UNKNOWN_WAIT,
    Permit,
    RequestLimits,
    ServerLimit,
)
from camphordrift.relay.scheduling._retry_budget import RetryBudget

__all__ = [
    "AttemptOutcome",
    "EngineScheduler",
    "Grant",
    "LIMITED_WAIT_SHARE",
    "Permit",
    "PlacementDecision",
    "PlacementRefusal",
    "PlacementRequest",
    "PlainServerBalancer",
    "RefusalReason",
    "RequestLimits",
    "RetryBudget",
    "ServerLimit",
    "UNKNOWN_WAIT",
]
