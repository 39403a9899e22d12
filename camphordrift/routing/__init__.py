"""Schedules generation requests: engine choice, queueing, fairness and load shedding."""

from camphordrift.routing._grant_home import GrantHome, GrantMessenger
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome, GrantSource
from camphordrift.routing._hold_placing_source import (
    HoldClaims,
    HoldPlacingGrantSource,
    holding_grant_source,
)
from camphordrift.routing._home_messages import (
    FirstTokenNote,
    PoolAsk,
    RunningGrant,
    RunningGrants,
)
from camphordrift.routing._local_source import LocalGrantSource, local_grant_source, unused_outcome
from camphordrift.routing._policy import RoutingPolicy
from camphordrift.routing._pool_scheduler import PoolScheduler, pool_scheduler
from camphordrift.routing._remote_source import RemoteGrantSource, remote_grant_source
from camphordrift.routing._scheduler import (
    AttemptKey,
    Decision,
    EngineSpec,
    Granted,
    Refused,
    Scheduler,
)

__all__ = [
    "AttemptKey",
    "Decision",
    "EngineSpec",
    "FirstTokenNote",
    "Grant",
    "GrantAsk",
    "GrantHome",
    "GrantMessenger",
    "GrantOutcome",
    "GrantSource",
    "Granted",
    "HoldClaims",
    "HoldPlacingGrantSource",
    "LocalGrantSource",
    "PoolAsk",
    "PoolScheduler",
    "RemoteGrantSource",
    "Refused",
    "RoutingPolicy",
    "RunningGrant",
    "RunningGrants",
    "Scheduler",
    "holding_grant_source",
    "local_grant_source",
    "pool_scheduler",
    "remote_grant_source",
    "unused_outcome",
]
