"""Which entry VMs and backend servers there are, and which of them may be chosen.

Decisions are in :class:`MembershipView` and :class:`BackendServerView`; :class:`MembershipService`
runs them over the streams between VMs.
"""

from camphordrift.membership._changes import News, NewsRecord
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
    join_records,
    join_server_records,
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
    "Health",
    "IndirectAck",
    "IndirectProbe",
    "ListReader",
    "ListedServer",
    "ListedVm",
    "MemberRecord",
    "MembershipParts",
    "MembershipService",
    "MembershipSettings",
    "MembershipView",
    "News",
    "NewsRecord",
    "PeerMessenger",
    "PlatformList",
    "Probe",
    "ProbeAck",
    "Prober",
    "ServerRecord",
    "first_by_rendezvous",
    "join_records",
    "join_server_records",
    "membership_service",
    "platform_list",
    "probe_targets",
    "rendezvous_order",
]
