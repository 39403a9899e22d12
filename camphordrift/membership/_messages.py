"""Messages that VMs exchange in the membership protocol."""

from dataclasses import dataclass

from camphordrift.identifiers import VmId
from camphordrift.membership._changes import GossipRecord
from camphordrift.membership._records import MemberRecord, ServerRecord


@dataclass(frozen=True)
class Probe:
    """Direct probe of a VM, with gossip records attached."""

    #: Records of VMs. The sender's own is among them. So is the receiver's if the sender believes
    #: the receiver suspect or dead, so that the receiver can refute this.
    members: tuple[MemberRecord, ...] = ()

    #: Records of backend servers.
    servers: tuple[ServerRecord, ...] = ()


@dataclass(frozen=True)
class ProbeAck:
    """Response to a probe; its records include the responding VM's own."""

    #: Records of VMs.
    members: tuple[MemberRecord, ...] = ()

    #: Records of backend servers.
    servers: tuple[ServerRecord, ...] = ()


@dataclass(frozen=True)
class IndirectProbe:
    """Asks a VM to probe another VM on behalf of the sender."""

    #: The VM to probe.
    target: VmId


@dataclass(frozen=True)
class IndirectAck:
    """Response to an indirect probe."""

    #: Whether the target responded to the probe of the VM that sends this response.
    reached: bool


@dataclass(frozen=True)
class Gossip:
    """Notice that carries urgent records, sent at once instead of with the next probe."""

    #: Records of VMs.
    members: tuple[MemberRecord, ...] = ()

    #: Records of backend servers.
    servers: tuple[ServerRecord, ...] = ()


def split_records(
    records: tuple[GossipRecord, ...],
) -> tuple[tuple[MemberRecord, ...], tuple[ServerRecord, ...]]:
    """Splits records into those of VMs and those of backend servers."""
    members = tuple(record for record in records if isinstance(record, MemberRecord))
    servers = tuple(record for record in records if isinstance(record, ServerRecord))
    return members, servers
