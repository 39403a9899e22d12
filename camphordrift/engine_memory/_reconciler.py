"""Decides which holds an engine keeps for nobody."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from camphordrift.backend_servers import MemoryHold
from camphordrift.engine_memory._owners import (
    OwnerKnowledge,
    OwnerMissing,
    OwnerResponded,
    OwnerUnreachable,
)
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import BackendServerId, VmId


class ReleaseReason(Enum):
    """Why a hold is released."""

    #: Its owner is gone and stopped renewing it.
    OWNER_GONE = "owner_gone"

    #: Its owner's process was replaced by a later one on the same VM, and stopped renewing it.
    OWNER_RESTARTED = "owner_restarted"

    #: Its owner lives and does not want it: a lost release, a failed placement, a late request.
    NOT_CLAIMED = "not_claimed"


@dataclass(frozen=True)
class EngineListing:
    """The holds of one engine, as the engine listed them."""

    #: The engine.
    engine_id: BackendServerId

    #: Its holds, whoever owns them.
    holds: tuple[MemoryHold, ...]

    #: When the answer had come, in monotonic seconds of whoever asked.
    listed_at: float


@dataclass(frozen=True)
class HoldRelease:
    """A hold to release, and why."""

    #: The engine that keeps it.
    engine_id: BackendServerId

    #: The hold.
    hold: MemoryHold

    #: Why nobody needs it.
    reason: ReleaseReason


def find_orphaned_holds(
    listing: EngineListing, owners: Mapping[VmId, OwnerKnowledge], settings: HoldSettings
) -> tuple[HoldRelease, ...]:
    """Returns the holds that can be released without taking anything from a live owner.

    Decides from the engine's listing and the owners' own answers alone and keeps no state, so any
    VM may do it, at any time, and several at once. A VM that is not in ``owners`` is left alone.
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
    owner: Optional[OwnerKnowledge],
    settings: HoldSettings,
) -> Optional[ReleaseReason]:
    match owner:
        case OwnerResponded():
            return _reason_of_answer(hold, listing, owner, settings)
        case OwnerMissing(missing_seconds=missing_seconds):
            is_gone = missing_seconds >= settings.gone_after_seconds
            if is_gone and _is_abandoned(hold, settings):
                return ReleaseReason.OWNER_GONE
            return None
        case OwnerUnreachable() | None:
            return None


def _reason_of_answer(
    hold: MemoryHold, listing: EngineListing, answer: OwnerResponded, settings: HoldSettings
) -> Optional[ReleaseReason]:
    if answer.incarnation > hold.owner_incarnation:
        return ReleaseReason.OWNER_RESTARTED if _is_abandoned(hold, settings) else None
    if answer.incarnation < hold.owner_incarnation:
        return None
    # An owner claims a hold before it places it, so an answer that is newer than the listing
    # names every listed hold that the owner wants. An older answer says nothing of them.
    if answer.asked_at < listing.listed_at or hold.hold_id in answer.claimed:
        return None
    return ReleaseReason.NOT_CLAIMED


def _is_abandoned(hold: MemoryHold, settings: HoldSettings) -> bool:
    """Whether no process renews the hold any more, also one that is cut off from here."""
    return hold.age_seconds >= settings.lease_seconds
