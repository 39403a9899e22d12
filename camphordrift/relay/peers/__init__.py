"""What VMs tell each other: messages, links, tunnels, and knowledge that all VMs share.

May hold the messages and the I/O of the connections between VMs, but no placement of requests.
Imports all parts above it: model, connections, servers, crashes and scheduling.
"""

from camphordrift.relay.peers._configuration_sharing import (
    FETCH_TIMEOUT,
    choose_zone_sources,
    fetch_configuration,
)
from camphordrift.relay.peers._crash_monitor import CrashMonitor
from camphordrift.relay.peers._evacuation_sharing import EvacuationSharing
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._notice_distribution import NoticeDistributor
from camphordrift.relay.peers._path_sharing import PathSharing
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import (
    NEWER_KINDS,
    ConfigurationDocument,
    ConfigurationRequest,
    ConfigurationUpdate,
    CrashEvidenceUpdate,
    EventGapReport,
    Finished,
    Granted,
    LimitedRequestSent,
    Member,
    Message,
    OpenTunnel,
    PermitRequest,
    PermitResponse,
    Ping,
    Pong,
    PrefillFinished,
    Refused,
    Register,
    ServerPaused,
    ServersCold,
    ServersLeaving,
    ServersLimited,
    ServerUpdate,
    StoreReachable,
    StoreUnreachable,
    Submit,
    Waiting,
    Withdraw,
    ZonesStated,
    decode_member,
    encode_member,
)
from camphordrift.relay.peers._tunnels import TunnelRefusedError, TunnelServer, open_tunnel

__all__ = [
    "ConfigurationDocument",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "CrashEvidenceUpdate",
    "CrashMonitor",
    "EvacuationSharing",
    "EventGapReport",
    "FETCH_TIMEOUT",
    "Finished",
    "Granted",
    "LimitedRequestSent",
    "LinkBrokenError",
    "Member",
    "Message",
    "MessageLink",
    "NEWER_KINDS",
    "NoticeDistributor",
    "OpenTunnel",
    "PathSharing",
    "PeerLinks",
    "PermitRequest",
    "PermitResponse",
    "Ping",
    "Pong",
    "PrefillFinished",
    "Refused",
    "Register",
    "ServerPaused",
    "ServerUpdate",
    "ServersCold",
    "ServersLeaving",
    "ServersLimited",
    "StoreReachable",
    "StoreUnreachable",
    "Submit",
    "TunnelRefusedError",
    "TunnelServer",
    "Waiting",
    "Withdraw",
    "ZonesStated",
    "choose_zone_sources",
    "decode_member",
    "encode_member",
    "fetch_configuration",
    "open_tunnel",
]
