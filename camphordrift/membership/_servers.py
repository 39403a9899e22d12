"""One VM's view of which backend servers may get new work."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Optional

from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.membership._changes import News
from camphordrift.membership._platform_list import ListedServer, PlatformList
from camphordrift.membership._records import ServerRecord, join_server_records

#: A server that the list no longer names stays usable if it answered within this time, in seconds.
ANSWERED_WITHIN_SECONDS = 10.0

#: A reading that drops a larger share of the servers is not believed: it removes none.
MAXIMUM_DROPPED_SHARE = 0.5

#: A server that neither answers nor is listed is forgotten after this long, in seconds.
FORGET_SERVER_AFTER_SECONDS = 600.0


@dataclass
class _Server:
    """What is known of a backend server."""

    #: Its own word, directly or through peers; ``None`` if nothing was heard.
    record: Optional[ServerRecord]

    #: The newest entry of the list.
    listed: Optional[ListedServer]

    #: When this VM last had an answer from it, or first heard of it.
    heard_at: float


class BackendServerView:
    """Joins the platform's list with the servers' own answers and with peers' news.

    A server's own "leaving", whoever heard it, counts at once and until the server starts anew.
    The list's "leaving" counts while the list says so. A server that the list has dropped stays
    usable as long as it answers, and a reading that drops most servers, or all, removes none.
    """

    def __init__(self) -> None:
        self._servers: dict[BackendServerId, _Server] = {}

    def on_platform_list(self, listing: PlatformList, now: float) -> None:
        """Takes a reading of the list."""
        for server_id, entry in listing.servers.items():
            server = self._servers.setdefault(server_id, _Server(None, entry, now))
            server.listed = entry
        dropped = set(self._servers) - set(listing.servers)
        if len(dropped) <= MAXIMUM_DROPPED_SHARE * len(self._servers):
            for server_id in dropped:
                self._on_unlisted(server_id, now)

    def on_answer(
        self, server_id: BackendServerId, incarnation: Incarnation, leaving: bool, now: float
    ) -> tuple[News, ...]:
        """Takes an answer of the server itself; returns news for the peers if it is leaving."""
        server = self._servers.setdefault(server_id, _Server(None, None, now))
        server.heard_at = now
        return self._join(server, ServerRecord(server_id, incarnation, leaving))

    def on_record(self, record: ServerRecord, now: float) -> tuple[News, ...]:
        """Takes a peer's news; returns it if it was new here too."""
        server = self._servers.setdefault(record.server_id, _Server(None, None, now))
        return self._join(server, record)

    def takes_new_work(self, server_id: BackendServerId, now: float) -> bool:
        """Tells whether new work may go to the server; ``False`` if it is unknown."""
        server = self._servers.get(server_id)
        if server is None or (server.record is not None and server.record.leaving):
            return False
        if server.listed is not None:
            return not server.listed.leaving
        return server.record is not None and now - server.heard_at < ANSWERED_WITHIN_SECONDS

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Tells whether the server itself, a peer or the list says that it leaves."""
        server = self._servers.get(server_id)
        if server is None:
            return False
        says_leaving = server.record is not None and server.record.leaving
        return says_leaving or (server.listed is not None and server.listed.leaving)

    def usable_servers(self, now: float) -> tuple[BackendServerId, ...]:
        """Returns all servers that may get new work."""
        return tuple(s for s in sorted(self._servers) if self.takes_new_work(s, now))

    def urls(self) -> Mapping[BackendServerId, str]:
        """Returns where the servers that the list has named are, leaving ones included."""
        listed = ((server_id, server.listed) for server_id, server in self._servers.items())
        return {server_id: entry.url for server_id, entry in listed if entry is not None}

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        return {
            server_id: {
                "listed": server.listed is not None,
                "listed_leaving": server.listed is not None and server.listed.leaving,
                "says_leaving": server.record is not None and server.record.leaving,
                "incarnation": 0 if server.record is None else server.record.incarnation,
                "heard_seconds_ago": round(now - server.heard_at, 1),
                "takes_new_work": self.takes_new_work(server_id, now),
            }
            for server_id, server in sorted(self._servers.items())
        }

    def _join(self, server: _Server, record: ServerRecord) -> tuple[News, ...]:
        old = server.record
        server.record = record if old is None else join_server_records(old, record)
        was_leaving = old is not None and old.leaving
        if server.record == old or not (server.record.leaving or was_leaving):
            return ()
        return (News(server.record, urgent=True),)

    def _on_unlisted(self, server_id: BackendServerId, now: float) -> None:
        """Keeps the last entry of a server that answers, for its address."""
        server = self._servers[server_id]
        if now - server.heard_at >= ANSWERED_WITHIN_SECONDS:
            server.listed = None
        if now - server.heard_at >= FORGET_SERVER_AFTER_SECONDS:
            del self._servers[server_id]
