"""Message transport between entry VMs: authenticated frames with msgpack bodies over TCP.

Each VM opens its own connection to every peer to which it sends requests or notices. Responses
return on the same connection. A notice is a one-way message, which may be dropped. The entry point
is :class:`PeerNetwork`.
"""

from camphordrift.peers._dispatch import NoticeHandler, RequestHandler
from camphordrift.peers._identity import FleetKeys, PeerIdentity
from camphordrift.peers._keepalive import KEEPALIVE_TIMEOUT_SECONDS, PING_AFTER_SECONDS
from camphordrift.peers._network import PeerNetwork, peer_network
from camphordrift.peers._refusals import PeerCounters, Refusal, RefusalReason
from camphordrift.peers._registry import MessageRegistry, UnknownMessageError, WireMessage
from camphordrift.peers._tcp import Dialer, open_listeners, tcp_dialer

__all__ = [
    "KEEPALIVE_TIMEOUT_SECONDS",
    "PING_AFTER_SECONDS",
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
