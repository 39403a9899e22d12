"""KV memory holds on engines: owners claim and renew them, and any VM releases orphaned ones."""

from camphordrift.engine_memory._engine_assignment import ROUNDS_BETWEEN_CHECKS, engines_due
from camphordrift.engine_memory._orphaned_holds import (
    EngineListing,
    HoldRelease,
    ReleaseReason,
    find_orphaned_holds,
)
from camphordrift.engine_memory._owner_inquiry import (
    HoldClaims,
    HoldClaimsQuery,
    OwnerInquiry,
)
from camphordrift.engine_memory._owners import (
    OwnerKnowledge,
    OwnerMissing,
    OwnerResponded,
    OwnerUnreachable,
)
from camphordrift.engine_memory._reconciliation import (
    AskOwner,
    ReconcileReport,
    reconcile_engine_memory,
)
from camphordrift.engine_memory._registry import ClaimedHold, HoldRegistry
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.engine_memory._state import ClaimedHoldState, EngineMemoryState, dump_state

__all__ = [
    "ROUNDS_BETWEEN_CHECKS",
    "AskOwner",
    "ClaimedHold",
    "ClaimedHoldState",
    "EngineListing",
    "EngineMemoryState",
    "HoldClaims",
    "HoldClaimsQuery",
    "HoldRegistry",
    "HoldRelease",
    "HoldSettings",
    "OwnerResponded",
    "OwnerInquiry",
    "OwnerKnowledge",
    "OwnerMissing",
    "OwnerUnreachable",
    "ReconcileReport",
    "ReleaseReason",
    "dump_state",
    "engines_due",
    "find_orphaned_holds",
    "reconcile_engine_memory",
]
