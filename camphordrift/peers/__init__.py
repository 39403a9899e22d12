"""Messages between entry VMs: authenticated msgpack streams over TCP.

Each VM opens a connection to each peer that it talks to and sends its requests and notices there;
answers come back on the same connection. See :class:`PeerNetwork`.
"""

from camphordrift.peers._dispatch import NoticeHandler, RequestHandler
from camphordrift.peers._identity import FleetKeys, PeerIdentity
from camphordrift.peers._network import PeerNetwork, peer_network
from camphordrift.peers._refusals import PeerCounters, Refusal, RefusalReason
from camphordrift.peers._registry import MessageRegistry, UnknownMessageError, WireMessage
from camphordrift.peers._silence import PING_AFTER_SECONDS, SILENT_AFTER_SECONDS
from camphordrift.peers._tcp import Dialer, open_listeners, tcp_dialer

__all__ = [
    "PING_AFTER_SECONDS",
    "SILENT_AFTER_SECONDS",
    "Dialer",
    "FleetKeys",
    "MessageRegistry",
    "NoticeHandler",
    "PeerCounters",
    "PeerIdentity",
    "PeerNetwork",
    "Refusal",
    "RefusalReason",
    "RequestHandler",
    "UnknownMessageError",
    "WireMessage",
    "open_listeners",
    "peer_network",
    "tcp_dialer",
]
