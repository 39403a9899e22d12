"""The status of the VMs that own holds, as seen by the VM that releases orphaned holds."""

from dataclasses import dataclass
from typing import Union

from camphordrift.identifiers import HoldId, Incarnation


@dataclass(frozen=True)
class OwnerResponded:
    """The owner responded with the holds that it claims."""

    #: The incarnation of the responding process.
    incarnation: Incarnation

    #: Ids of all holds that the owner claims, including those that it is about to place.
    claimed: frozenset[HoldId]

    #: When the query was sent, in monotonic seconds of the querying VM.
    asked_at: float


@dataclass(frozen=True)
class OwnerUnreachable:
    """The VM did not respond, but it is on the platform's list or live VMs get messages from it.

    It may be alive and unreachable only from this VM, so none of its holds are released.
    """


@dataclass(frozen=True)
class OwnerMissing:
    """The VM is not on the platform's list, and no live VM receives messages from it."""

    #: Number of seconds for which the VM has been missing.
    missing_seconds: float


#: What a VM found out about one owner of holds.
OwnerStatus = Union[OwnerResponded, OwnerUnreachable, OwnerMissing]
