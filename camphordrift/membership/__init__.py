"""Membership and failure detection of entry VMs and backend servers.

The protocol follows SWIM: periodic direct and indirect probes, suspicion with refutation, and
records spread by gossip. :class:`MembershipView` and :class:`BackendServerView` hold the state and
make the decisions without input or output; :class:`MembershipService` runs them over the
connections between VMs.

Each start of a VM's process has its own incarnation number. A VM that is suspected wrongly refutes
this: it sends its own record with a higher refutation number.
"""

from camphordrift.membership._changes import GossipRecord, MembershipChange
from camphordrift.membership._gossip import GossipQueue
from camphordrift.membership._interfaces import ListReader, PeerMessenger
from camphordrift.membership._messages import Gossip, IndirectAck, IndirectProbe, Probe, ProbeAck
from camphordrift.membership._platform_list import (
    ListedServer,
    ListedVm,
    PlatformList,
    platform_list,
)
from camphordrift.membership._prober import Prober
from camphordrift.membership._records import (
    Health,
    MemberRecord,
    ServerRecord,
    merge_records,
    merge_server_records,
)
from camphordrift.membership._rendezvous import (
    first_by_rendezvous,
    probe_targets,
    rendezvous_order,
)
from camphordrift.membership._servers import BackendServerView
from camphordrift.membership._service import (
    MembershipParts,
    MembershipService,
    membership_service,
)
from camphordrift.membership._settings import MembershipSettings
from camphordrift.membership._view import MembershipView

__all__ = [
    "BackendServerView",
    "Gossip",
    "GossipQueue",
    "GossipRecord",
    "Health",
    "IndirectAck",
    "IndirectProbe",
    "ListReader",
    "ListedServer",
    "ListedVm",
    "MemberRecord",
    "MembershipChange",
    "MembershipParts",
    "MembershipService",
    "MembershipSettings",
    "MembershipView",
    "PeerMessenger",
    "PlatformList",
    "Probe",
    "ProbeAck",
    "Prober",
    "ServerRecord",
    "first_by_rendezvous",
    "membership_service",
    "merge_records",
    "merge_server_records",
    "platform_list",
    "probe_targets",
    "rendezvous_order",
]
