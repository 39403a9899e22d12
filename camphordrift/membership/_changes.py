"""Changed records of VMs and backend servers, which have to be sent to other VMs."""

from dataclasses import dataclass
from typing import Union

from camphordrift.membership._records import MemberRecord, ServerRecord

#: A record that VMs exchange by gossip.
GossipRecord = Union[MemberRecord, ServerRecord]


@dataclass(frozen=True)
class MembershipChange:
    """A record that was changed by a local decision or by a received record."""

    #: The record after the change.
    record: GossipRecord

    #: Whether the record is sent at once; if not, it is sent with the next probes.
    urgent: bool
