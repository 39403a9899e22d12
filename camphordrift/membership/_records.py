"""Records that VMs exchange about VMs and backend servers, and how they are merged."""

from dataclasses import dataclass, replace
from enum import IntEnum

from camphordrift.identifiers import BackendServerId, Incarnation, VmId, ZoneName


class Health(IntEnum):
    """Believed health of a VM's process.

    If two records have the same refutation number, the higher value wins.
    """

    #: The process responds, or nothing else is known.
    ALIVE = 0

    #: A probe failed; the VM is declared dead unless it refutes this in time.
    SUSPECT = 1

    #: The VM was suspect and did not refute in time.
    DEAD = 2


@dataclass(frozen=True)
class MemberRecord:
    """What some VM knows about one VM.

    Records of one VM form a semilattice under :func:`merge_records`, so all VMs converge to the
    same record, whatever the order in which records arrive.
    """

    #: Id of the VM.
    vm_id: VmId

    #: Incarnation of its process; 0 if the VM is known only from the platform's list.
    incarnation: Incarnation

    #: Refutation number; the VM itself increments it to refute a record that says it is suspect or
    #: dead. No other VM changes it.
    refutation: int = 0

    #: Believed health of the process.
    health: Health = Health.ALIVE

    #: True once the process announced that it is draining; never reset within one incarnation.
    leaving: bool = False

    #: Address on which it accepts connections of other VMs, as ``ip:port``; empty if unknown.
    address: str = ""

    #: Its availability zone; empty if unknown.
    zone: ZoneName = ZoneName("")

    #: The highest schema version of configuration records that it can read.
    reads_schema: int = 1


@dataclass(frozen=True)
class ServerRecord:
    """Whether a backend server reported that it is draining."""

    #: Id of the backend server.
    server_id: BackendServerId

    #: Incarnation of its process.
    incarnation: Incarnation

    #: True once it reported that it is draining; never reset within one incarnation.
    leaving: bool = False


def merge_records(first: MemberRecord, second: MemberRecord) -> MemberRecord:
    """Merges two records of one VM.

    The operation is associative, commutative and idempotent. The higher incarnation wins; within
    one incarnation the higher refutation number decides on the health. Raises ``ValueError`` if the
    records are of different VMs.
    """
    if first.vm_id != second.vm_id:
        raise ValueError("cannot merge records of different VMs")
    if first == second:
        return first
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda record: record.incarnation)
    refutation, health = max(_health_rank(first), _health_rank(second))
    return replace(
        first,
        refutation=refutation,
        health=health,
        leaving=first.leaving or second.leaving,
        address=max(first.address, second.address),
        zone=max(first.zone, second.zone),
        reads_schema=max(first.reads_schema, second.reads_schema),
    )


def merge_server_records(first: ServerRecord, second: ServerRecord) -> ServerRecord:
    """Merges two records of one backend server; the higher incarnation wins."""
    if first == second:
        return first
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda record: record.incarnation)
    return replace(first, leaving=first.leaving or second.leaving)


def _health_rank(record: MemberRecord) -> tuple[int, Health]:
    return record.refutation, record.health
