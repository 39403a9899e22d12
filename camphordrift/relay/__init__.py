"""Relays opaque requests to backend servers, by host and path.

Unlike the entry process, which speaks an interface for language models, the relay passes requests
and streams of events on as they are. Adapters for a deployment's formats are handed in.
"""

from camphordrift.relay._http_client import BrokenAnswerError, ConnectionPool
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
    Reservation,
    StoreError,
)
from camphordrift.relay._process import Adapters, RelayProcess, run_relay
from camphordrift.relay._retry_budget import BudgetTerms
from camphordrift.relay._settings import Address, RelaySettings
from camphordrift.relay._values import (
    Account,
    AnswerFacts,
    BackendServer,
    CallerLimits,
    Configuration,
    EngineCosts,
    Helper,
    RequestFacts,
    Route,
    RunRule,
    SendFacts,
    ServerState,
    Service,
    ServiceShare,
)

__all__ = [
    "Account",
    "Adapters",
    "Address",
    "AnswerFacts",
    "BackendServer",
    "Batch",
    "BrokenAnswerError",
    "BudgetTerms",
    "CallerLimits",
    "Configuration",
    "ConnectionPool",
    "DocumentFormat",
    "EngineCosts",
    "HeaderFormat",
    "Headers",
    "Helper",
    "HistoryLostError",
    "KeyedLog",
    "KeyedRecord",
    "LogTopics",
    "OrderFormat",
    "RelayProcess",
    "RelaySettings",
    "RequestFacts",
    "Reservation",
    "Route",
    "RunRule",
    "SendFacts",
    "ServerState",
    "Service",
    "ServiceShare",
    "StoreError",
    "run_relay",
]
