"""What VMs tell each other of one VM, and how two accounts of it are joined."""

from dataclasses import dataclass, replace
from enum import IntEnum

from camphordrift.identifiers import BackendServerId, Incarnation, VmId, ZoneName


class Health(IntEnum):
    """What is believed of a VM's process. At equal refutation, the higher one prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True)
class MemberRecord:
    """One VM, as some VM knows it.

    Records of one VM form a semilattice under :func:`join_records`: whatever order they arrive in,
    all VMs end with the same one.
    """

    #: The VM.
    vm_id: VmId

    #: The incarnation of its process; 0 if only the platform has named it.
    incarnation: Incarnation

    #: Raised by the VM itself to refute that it is suspect or dead.
    refutation: int = 0

    #: What is believed of it.
    health: Health = Health.ALIVE

    #: True once the process said that it is stopping; never taken back in one incarnation.
    leaving: bool = False

    #: Where it listens, as ``ip:port``; empty if unknown.
    address: str = ""

    #: Its availability zone; empty if unknown.
    zone: ZoneName = ZoneName("")

    #: The highest schema version of configuration records that it reads.
    reads_schema: int = 1


@dataclass(frozen=True)
class ServerRecord:
    """A backend server's own word on whether it leaves."""

    #: The backend server.
    server_id: BackendServerId

    #: The incarnation of its process.
    incarnation: Incarnation

    #: True once it said that it leaves; never taken back in one incarnation.
    leaving: bool = False


def join_records(first: MemberRecord, second: MemberRecord) -> MemberRecord:
    """Returns what follows from both records of one VM; order and repetition do not matter."""
    if first.vm_id != second.vm_id:
        raise ValueError("records of different VMs cannot be joined")
    if first == second:
        return first
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda record: record.incarnation)
    refutation, health = max(_belief(first), _belief(second))
    return replace(
        first,
        refutation=refutation,
        health=health,
        leaving=first.leaving or second.leaving,
        address=max(first.address, second.address),
        zone=max(first.zone, second.zone),
        reads_schema=max(first.reads_schema, second.reads_schema),
    )


def join_server_records(first: ServerRecord, second: ServerRecord) -> ServerRecord:
    """Returns what follows from both records of one backend server."""
    if first == second:
        return first
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda record: record.incarnation)
    return replace(first, leaving=first.leaving or second.leaving)


def _belief(record: MemberRecord) -> tuple[int, Health]:
    return record.refutation, record.health
