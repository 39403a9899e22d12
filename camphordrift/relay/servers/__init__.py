"""What is known of backend servers, and which VMs reach them.

May hold state and its rules; the time is passed in, and there is no I/O. Imports only
:mod:`camphordrift.relay.model`.
"""

from camphordrift.relay.servers._cut_off_vms import STATEMENT_INTERVAL, CutOffVms, PathStatement
from camphordrift.relay.servers._server_directory import DirectoryChange, ServerDirectory
from camphordrift.relay.servers._server_notices import (
    ServerNotices,
    ServerPause,
    ServerStart,
    is_obsolete,
    start_of,
    unlisted_since,
)
from camphordrift.relay.servers._server_paths import ServerPaths
from camphordrift.relay.servers._zone_evacuations import ZoneEvacuations, ZoneStatement

__all__ = [
    "CutOffVms",
    "DirectoryChange",
    "PathStatement",
    "STATEMENT_INTERVAL",
    "ServerDirectory",
    "ServerNotices",
    "ServerPaths",
    "ServerPause",
    "ServerStart",
    "ZoneEvacuations",
    "ZoneStatement",
    "is_obsolete",
    "start_of",
    "unlisted_since",
]
