"""Composes the relay of one VM from the adapter's parts."""

import socket
from typing import Optional

from camphordrift.platform._documents import PlatformDocuments
from camphordrift.platform._headers import PlatformHeaders
from camphordrift.platform._orders import PlatformOrders
from camphordrift.platform._reports import PlatformReports
from camphordrift.platform._settings import load_settings
from camphordrift.platform._store import PlatformStore
from camphordrift.relay import Adapters, LogTopics, run_relay

#: Only operators and engines write to the first two topics. The platform retains the newest record
#: of each key in topics whose names begin with "keyed.".
_TOPICS = LogTopics(
    configuration="keyed.op",
    configuration_key="config",
    servers="keyed.servers",
    members="keyed.members",
    evacuation_key_prefix="evacuate/",
)


def run_program(caller_socket: Optional[socket.socket] = None) -> None:
    """Runs the relay of one VM until the platform stops the process.

    Args:
        caller_socket: Listens for callers already; without it, the relay opens a socket.

    """
    settings = load_settings()
    run_relay(
        settings,
        Adapters(
            headers=PlatformHeaders(),
            documents=PlatformDocuments(),
            orders=PlatformOrders(),
            reports=PlatformReports(),
            log=PlatformStore(settings.store),
            topics=_TOPICS,
        ),
        caller_socket,
    )
