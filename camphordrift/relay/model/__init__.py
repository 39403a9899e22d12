"""The data types, settings and interfaces that all parts of the relay share.

May hold data classes and protocols, but no I/O and no decisions. Imports no other part of the
relay.
"""

from camphordrift.relay.model._interfaces import (
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
from camphordrift.relay.model._numbers import Rate, Seconds
from camphordrift.relay.model._settings import Address, RelaySettings, RetryBudgetSettings
from camphordrift.relay.model._tolerant_enum import TolerantEnum
from camphordrift.relay.model._values import (
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
    UnreadableHeader,
)

__all__ = [
    "Account",
    "Address",
    "BackendServer",
    "Batch",
    "CallerLimits",
    "Configuration",
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
    "RelaySettings",
    "Rate",
    "ReportFormat",
    "RequestMetadata",
    "Reservation",
    "ResponseMetadata",
    "RetryBudgetSettings",
    "Route",
    "RunRule",
    "Seconds",
    "ServerState",
    "Service",
    "ServiceShare",
    "StoreError",
    "TolerantEnum",
    "UnreadableHeader",
]
