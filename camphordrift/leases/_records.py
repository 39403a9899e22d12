"""The records of the leases' stream, and how they are packed."""

import uuid
from dataclasses import dataclass
from enum import Enum
from typing import NewType, Optional

import msgpack

from camphordrift.identifiers import Incarnation, VmId

#: Names what is leased, such as the giving of orders to one group of engines.
LeaseName = NewType("LeaseName", str)

#: Offset of the record by which a lease was acquired; a later holder's is always higher.
FencingNumber = NewType("FencingNumber", int)

#: The stream that carries all leases.
LEASE_STREAM = "leases"

#: Version of the format.
LEASE_RECORD_VERSION = 1

#: No lease is longer. Part of the format: a fold that knows this much of the past knows all leases.
MAX_LEASE_SECONDS = 120.0


class LeaseAction(Enum):
    """What a record asks for."""

    #: The lease, if nobody holds it.
    ACQUIRE = "acquire"

    #: More time under the same fencing number.
    RENEW = "renew"

    #: An end before its time. The holder has seen all its orders answered and sends no more.
    RELEASE = "release"


@dataclass(frozen=True)
class LeaseHolder:
    """The process that holds a lease or wants it."""

    #: The VM.
    vm_id: VmId

    #: The process on it.
    incarnation: Incarnation


@dataclass(frozen=True)
class LeaseRecord:
    """Asks for a lease, renews it or ends it."""

    #: What it asks for.
    action: LeaseAction

    #: The lease.
    name: LeaseName

    #: Who asks.
    holder: LeaseHolder

    #: For how long, by the log's clock, from when the log takes the record. Seconds.
    duration_seconds: float

    #: Names this record; the holder recognizes its verdict by it.
    record_id: str

    #: The fencing number of the lease renewed or released; ``None`` when acquiring.
    fencing_number: Optional[FencingNumber] = None

    def __post_init__(self) -> None:
        if not 0 < self.duration_seconds <= MAX_LEASE_SECONDS:
            raise ValueError(f"duration_seconds must be above 0 and up to {MAX_LEASE_SECONDS}")
        if (self.fencing_number is None) != (self.action is LeaseAction.ACQUIRE):
            raise ValueError("every record but the one that acquires names a fencing number")


def new_lease_record_id() -> str:
    """Returns a name that no other record has."""
    return uuid.uuid4().hex


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Packs a record for the log."""
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
    """Unpacks a record; returns ``None`` for bytes that are none of this version."""
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
