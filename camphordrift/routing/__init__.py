"""Which engine runs a request, in which order, when, and when to refuse."""

from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome, GrantSource
from camphordrift.routing._local_source import LocalGrantSource, local_grant_source, unused_outcome
from camphordrift.routing._policy import RoutingPolicy
from camphordrift.routing._pool_scheduler import PoolScheduler, pool_scheduler
from camphordrift.routing._scheduler import (
    AttemptKey,
    Decision,
    EngineFacts,
    Granted,
    Refused,
    Scheduler,
)

__all__ = [
    "AttemptKey",
    "Decision",
    "EngineFacts",
    "Grant",
    "GrantAsk",
    "GrantOutcome",
    "GrantSource",
    "Granted",
    "LocalGrantSource",
    "PoolScheduler",
    "Refused",
    "RoutingPolicy",
    "Scheduler",
    "local_grant_source",
    "pool_scheduler",
    "unused_outcome",
]
