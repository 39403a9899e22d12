"""KV memory holds on engines: owners claim and renew them, and any VM releases orphaned ones.

A hold is a reservation of KV memory on one engine for one request. Its owner is the VM that placed
it. The owner claims a hold while it needs it, that is, reports it when other VMs ask. A hold is
orphaned when no live owner claims it, for example after the owner's VM has failed. Every VM
periodically reconciles some engines: it compares their holds with the owners' claims and releases
the orphaned ones. Owners renew their holds; a hold's lease is the time without renewal after which
no process can be using the hold any more.
"""

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
    OwnerMissing,
    OwnerResponded,
    OwnerStatus,
    OwnerUnreachable,
)
from camphordrift.engine_memory._reconciliation import (
    QueryOwner,
    ReconcileReport,
    reconcile_engine_memory,
)
from camphordrift.engine_memory._registry import ClaimedHold, HoldRegistry
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.engine_memory._state import ClaimedHoldState, EngineMemoryState, dump_state

__all__ = [
    "ROUNDS_BETWEEN_CHECKS",
    "QueryOwner",
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
    "OwnerStatus",
    "OwnerMissing",
    "OwnerUnreachable",
    "ReconcileReport",
    "ReleaseReason",
    "dump_state",
    "engines_due",
    "find_orphaned_holds",
    "reconcile_engine_memory",
]
