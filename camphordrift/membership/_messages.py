"""Messages of the membership protocol."""

from dataclasses import dataclass

from camphordrift.identifiers import VmId
from camphordrift.membership._changes import NewsRecord
from camphordrift.membership._records import MemberRecord, ServerRecord


@dataclass(frozen=True)
class Probe:
    """Asks a VM whether it is alive, and passes records on."""

    #: Records of VMs; among them the sender's own, and the receiver's if it is in doubt.
    members: tuple[MemberRecord, ...] = ()

    #: Records of backend servers.
    servers: tuple[ServerRecord, ...] = ()


@dataclass(frozen=True)
class ProbeAck:
    """The answer to a probe, with the answering VM's own record."""

    #: Records of VMs.
    members: tuple[MemberRecord, ...] = ()

    #: Records of backend servers.
    servers: tuple[ServerRecord, ...] = ()


@dataclass(frozen=True)
class IndirectProbe:
    """Asks a VM to probe another one in place of the sender."""

    #: The VM to probe.
    target: VmId


@dataclass(frozen=True)
class IndirectAck:
    """The answer to an indirect probe."""

    #: True if the VM answered.
    reached: bool


@dataclass(frozen=True)
class Gossip:
    """Tells urgent news at once."""

    #: Records of VMs.
    members: tuple[MemberRecord, ...] = ()

    #: Records of backend servers.
    servers: tuple[ServerRecord, ...] = ()


def split_records(
    records: tuple[NewsRecord, ...],
) -> tuple[tuple[MemberRecord, ...], tuple[ServerRecord, ...]]:
    """Returns the records of VMs and those of backend servers apart."""
    members = tuple(record for record in records if isinstance(record, MemberRecord))
    servers = tuple(record for record in records if isinstance(record, ServerRecord))
    return members, servers
