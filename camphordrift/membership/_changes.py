"""Changes of membership that have to be sent to other VMs."""

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

    #: True if the record is sent at once instead of with the next probe.
    urgent: bool
