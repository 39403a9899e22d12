"""Decides which holds of an engine are orphaned, that is, no live owner uses them."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from camphordrift.backend_servers import MemoryHold
from camphordrift.engine_memory._owners import (
    OwnerMissing,
    OwnerResponded,
    OwnerStatus,
    OwnerUnreachable,
)
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import BackendServerId, VmId


class ReleaseReason(Enum):
    """Why a hold is released."""

    #: The owner's VM is missing, and the hold's lease has expired without renewal.
    OWNER_GONE = "owner_gone"

    #: The owner's process was replaced by a later one on the same VM, and the lease has expired.
    OWNER_RESTARTED = "owner_restarted"

    #: The owner is alive and does not claim the hold, for example because its release was lost, its
    #: placement failed, or a placement request took effect late.
    NOT_CLAIMED = "not_claimed"


@dataclass(frozen=True)
class EngineListing:
    """The holds of one engine at the time when the engine listed them."""

    #: Id of the engine.
    engine_id: BackendServerId

    #: All holds on the engine, of all owners.
    holds: tuple[MemoryHold, ...]

    #: When the engine's response arrived, in monotonic seconds of the VM that requested it.
    listed_at: float


@dataclass(frozen=True)
class HoldRelease:
    """An orphaned hold that is to be released, or was released."""

    #: Id of the engine that has the hold.
    engine_id: BackendServerId

    #: The hold, as the engine listed it.
    hold: MemoryHold

    #: Why it is orphaned.
    reason: ReleaseReason


def find_orphaned_holds(
    listing: EngineListing, owners: Mapping[VmId, OwnerStatus], settings: HoldSettings
) -> tuple[HoldRelease, ...]:
    """Returns the holds that can be released without affecting a live owner.

    The decision depends only on the arguments, so any VM can make it at any time, several of them
    concurrently. Holds of a VM that is not in ``owners`` are kept.
    """
    releases = []
    for hold in listing.holds:
        reason = _reason_to_release(hold, listing, owners.get(hold.owner), settings)
        if reason is not None:
            releases.append(HoldRelease(listing.engine_id, hold, reason))
    return tuple(releases)


def _reason_to_release(
    hold: MemoryHold,
    listing: EngineListing,
    owner: Optional[OwnerStatus],
    settings: HoldSettings,
) -> Optional[ReleaseReason]:
    match owner:
        case OwnerResponded():
            return _reason_from_claims(hold, listing, owner, settings)
        case OwnerMissing(missing_seconds=missing_seconds):
            is_removed = missing_seconds >= settings.missing_timeout_seconds
            if is_removed and _is_lease_expired(hold, settings):
                return ReleaseReason.OWNER_GONE
            return None
        case OwnerUnreachable() | None:
            return None


def _reason_from_claims(
    hold: MemoryHold, listing: EngineListing, claims: OwnerResponded, settings: HoldSettings
) -> Optional[ReleaseReason]:
    if claims.incarnation > hold.owner_incarnation:
        return ReleaseReason.OWNER_RESTARTED if _is_lease_expired(hold, settings) else None
    if claims.incarnation < hold.owner_incarnation:
        return None
    # An owner claims a hold before it places it. If the owner was queried after the engine listed
    # its holds, the response therefore contains every listed hold that the owner still claims. An
    # older response is inconclusive.
    if claims.asked_at < listing.listed_at or hold.hold_id in claims.claimed:
        return None
    return ReleaseReason.NOT_CLAIMED


def _is_lease_expired(hold: MemoryHold, settings: HoldSettings) -> bool:
    """Returns whether no process can renew the hold any more, not even an unreachable one."""
    return hold.age_seconds >= settings.lease_seconds
