"""What is known of the VMs that own holds."""

from dataclasses import dataclass
from typing import Union

from camphordrift.identifiers import HoldId, Incarnation


@dataclass(frozen=True)
class OwnerResponded:
    """The owner itself said which holds it claims."""

    #: The process that answered.
    incarnation: Incarnation

    #: Every hold that it wants to keep, also those that it is just about to place.
    claimed: frozenset[HoldId]

    #: When it was asked, in monotonic seconds of whoever asked.
    asked_at: float


@dataclass(frozen=True)
class OwnerUnreachable:
    """The VM is on the platform's list, or was heard of, and did not answer.

    It may be alive and cut off from here only, so nothing of it is taken.
    """


@dataclass(frozen=True)
class OwnerMissing:
    """The VM is not on the platform's list, and none of the live VMs hears from it."""

    #: For how long that has been so, in seconds.
    missing_seconds: float


#: What is known of one owner.
OwnerKnowledge = Union[OwnerResponded, OwnerUnreachable, OwnerMissing]
