"""Records of the lease stream, and their encoding."""

import uuid
from dataclasses import dataclass
from enum import Enum
from typing import NewType, Optional

import msgpack

from camphordrift.identifiers import Incarnation, VmId

#: Name of a lease, and so of what only its holder may do, such as sending orders to a group of
#: engines.
LeaseName = NewType("LeaseName", str)

#: Offset of the record that acquired the lease; every later holder has a higher one.
FencingNumber = NewType("FencingNumber", int)

#: Stream with the records of all leases.
LEASE_STREAM = "leases"

#: Version of the record format.
LEASE_RECORD_VERSION = 1

#: Maximum duration of a lease in seconds. It is part of the record format, because processes rely
#: on it: after applying all records of such a period, a process knows all leases that may still be
#: held.
MAX_LEASE_SECONDS = 120.0


class LeaseAction(Enum):
    """What a lease record requests; takes effect only if the record is granted."""

    #: Acquire the lease, if it is free.
    ACQUIRE = "acquire"

    #: Extend the lease under the same fencing number.
    RENEW = "renew"

    #: End the lease before it expires. The holder has a response to each of its orders and sends no
    #: more.
    RELEASE = "release"


@dataclass(frozen=True)
class LeaseHolder:
    """A process that holds a lease or requests it."""

    #: The VM on which the process runs.
    vm_id: VmId

    #: Distinguishes the process from earlier ones on the same VM.
    incarnation: Incarnation


@dataclass(frozen=True)
class LeaseRecord:
    """A request to acquire, renew or release a lease.

    Raises ``ValueError`` if the duration is out of range, or if a fencing number is missing or was
    given to acquire a lease.
    """

    #: Whether to acquire, renew or release the lease.
    action: LeaseAction

    #: The lease that is requested.
    name: LeaseName

    #: The process that requests it.
    holder: LeaseHolder

    #: Seconds for which the lease lasts, from the time at which the log appends the record.
    duration_seconds: float

    #: Unique id of this record, by which the sender finds the decision on it.
    record_id: str

    #: Fencing number of the lease to renew or release; ``None`` when acquiring.
    fencing_number: Optional[FencingNumber] = None

    def __post_init__(self) -> None:
        if not 0 < self.duration_seconds <= MAX_LEASE_SECONDS:
            raise ValueError(f"duration_seconds must be above 0 and up to {MAX_LEASE_SECONDS}")
        if (self.fencing_number is None) != (self.action is LeaseAction.ACQUIRE):
            raise ValueError(
                "fencing_number is required to renew or release a lease and forbidden to acquire it"
            )


def new_lease_record_id() -> str:
    """Returns a random id for a record."""
    return uuid.uuid4().hex


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Encodes a record for the log."""
    packed: bytes = msgpack.packb(
        {
            "v": LEASE_RECORD_VERSION,
            "action": record.action.value,
            "lease": record.name,
            "vm": record.holder.vm_id,
            "incarnation": record.holder.incarnation,
            "duration": record.duration_seconds,
            "id": record.record_id,
            "fencing": record.fencing_number,
        }
    )
    return packed


def decode_lease_record(payload: bytes) -> Optional[LeaseRecord]:
    """Decodes a record; returns ``None`` if it is malformed or has another format version."""
    try:
        fields = msgpack.unpackb(payload)
        if fields["v"] != LEASE_RECORD_VERSION:
            return None
        fencing = fields["fencing"]
        return LeaseRecord(
            action=LeaseAction(fields["action"]),
            name=LeaseName(str(fields["lease"])),
            holder=LeaseHolder(
                vm_id=VmId(str(fields["vm"])), incarnation=Incarnation(int(fields["incarnation"]))
            ),
            duration_seconds=float(fields["duration"]),
            record_id=str(fields["id"]),
            fencing_number=None if fencing is None else FencingNumber(int(fencing)),
        )
    except (ValueError, KeyError, TypeError, IndexError, msgpack.UnpackException):
        return None
