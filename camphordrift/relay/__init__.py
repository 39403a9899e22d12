"""HTTP reverse proxy that forwards opaque requests to backend servers by host and path.

Unlike the entry process, which implements a language model API, the relay forwards request bodies
and event streams unchanged. The caller of :func:`run_relay` supplies adapters for the formats of
its deployment: headers, documents, engine orders and the keyed log.
"""

from camphordrift.relay._http_client import (
    BrokenAnswerError,
    ConnectionPool,
    SmallRequest,
    SmallResponse,
)
from camphordrift.relay._interfaces import (
    Batch,
    DocumentFormat,
    HeaderFormat,
    Headers,
    HistoryLostError,
    KeyedLog,
    KeyedRecord,
    LogTopics,
    OrderFormat,
    ReportFormat,
    Reservation,
    StoreError,
)
from camphordrift.relay._process import Adapters, RelayProcess, run_relay
from camphordrift.relay._retry_budget import RetryBudgetSettings
from camphordrift.relay._settings import Address, RelaySettings
from camphordrift.relay._values import (
    Account,
    BackendServer,
    CallerLimits,
    Configuration,
    EngineCosts,
    EngineReport,
    ForwardingMetadata,
    PrefillHelper,
    RequestMetadata,
    ResponseMetadata,
    Route,
    RunRule,
    ServerState,
    Service,
    ServiceShare,
)

__all__ = [
    "Account",
    "Adapters",
    "Address",
    "BackendServer",
    "Batch",
    "BrokenAnswerError",
    "CallerLimits",
    "Configuration",
    "ConnectionPool",
    "DocumentFormat",
    "EngineCosts",
    "EngineReport",
    "ForwardingMetadata",
    "HeaderFormat",
    "Headers",
    "HistoryLostError",
    "KeyedLog",
    "KeyedRecord",
    "LogTopics",
    "OrderFormat",
    "PrefillHelper",
    "RelayProcess",
    "RelaySettings",
    "ReportFormat",
    "RequestMetadata",
    "Reservation",
    "ResponseMetadata",
    "RetryBudgetSettings",
    "Route",
    "RunRule",
    "ServerState",
    "Service",
    "ServiceShare",
    "SmallRequest",
    "SmallResponse",
    "StoreError",
    "run_relay",
]
