"""One VM's view of which backend servers accept new work."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Optional

from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.membership._changes import MembershipChange
from camphordrift.membership._platform_list import ListedServer, PlatformList
from camphordrift.membership._records import ServerRecord, merge_server_records

#: A server that is no longer listed stays usable for this number of seconds after each response.
RESPONSIVE_WITHIN_SECONDS = 10.0

#: Maximum fraction of the known servers that a list may omit. A list that omits more is taken as
#: faulty and removes no server.
MAXIMUM_DROPPED_SHARE = 0.5

#: Seconds without a response after which a server that is not listed is removed.
REMOVE_SERVER_AFTER_SECONDS = 600.0


@dataclass
class _ServerEntry:
    """What this VM knows about one backend server."""

    #: The server's own report, merged from its responses and the records of other VMs; ``None`` if
    #: there was none.
    record: Optional[ServerRecord]

    #: The server's latest entry in the platform's list; ``None`` if it has none, or if it was
    #: dropped from the list and stopped responding.
    listed: Optional[ListedServer]

    #: When the server last responded to this VM; before its first response, when it became known.
    last_response_at: float


class BackendServerView:
    """Combines the platform's list, the servers' own responses and records from other VMs.

    A server that reports to this VM or another that it is draining gets no new work until it
    restarts. A server that the list marks as draining gets none while the list does so. A server
    missing from the list stays usable as long as it responds, and a list that omits more than
    ``MAXIMUM_DROPPED_SHARE`` of the known servers removes none.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(self) -> None:
        self._servers: dict[BackendServerId, _ServerEntry] = {}

    def on_platform_list(self, listing: PlatformList, now: float) -> None:
        """Updates the view from the platform's list."""
        for server_id, entry in listing.servers.items():
            server = self._servers.setdefault(server_id, _ServerEntry(None, entry, now))
            server.listed = entry
        dropped = set(self._servers) - set(listing.servers)
        if len(dropped) <= MAXIMUM_DROPPED_SHARE * len(self._servers):
            for server_id in dropped:
                self._remove_if_unresponsive(server_id, now)

    def on_response(
        self, server_id: BackendServerId, incarnation: Incarnation, leaving: bool, now: float
    ) -> tuple[MembershipChange, ...]:
        """Records a response of the server; returns a change for other VMs if it is draining."""
        server = self._servers.setdefault(server_id, _ServerEntry(None, None, now))
        server.last_response_at = now
        return self._merge(server, ServerRecord(server_id, incarnation, leaving))

    def on_record(self, record: ServerRecord, now: float) -> tuple[MembershipChange, ...]:
        """Merges a record from another VM; returns a change if the record was new to this VM."""
        server = self._servers.setdefault(record.server_id, _ServerEntry(None, None, now))
        return self._merge(server, record)

    def takes_new_work(self, server_id: BackendServerId, now: float) -> bool:
        """Returns whether the server may get new work; ``False`` if the server is unknown."""
        server = self._servers.get(server_id)
        if server is None or (server.record is not None and server.record.leaving):
            return False
        if server.listed is not None:
            return not server.listed.leaving
        return (
            server.record is not None and now - server.last_response_at < RESPONSIVE_WITHIN_SECONDS
        )

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Returns whether the server's reports or the platform's list mark it as draining."""
        server = self._servers.get(server_id)
        if server is None:
            return False
        reported_leaving = server.record is not None and server.record.leaving
        return reported_leaving or (server.listed is not None and server.listed.leaving)

    def usable_servers(self, now: float) -> tuple[BackendServerId, ...]:
        """Returns the ids of all servers that may get new work, sorted."""
        return tuple(s for s in sorted(self._servers) if self.takes_new_work(s, now))

    def urls(self) -> Mapping[BackendServerId, str]:
        """Returns the base URLs of all servers with a list entry, including draining ones."""
        listed = ((server_id, server.listed) for server_id, server in self._servers.items())
        return {server_id: entry.url for server_id, entry in listed if entry is not None}

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the state of all servers for the operators' state dump."""
        return {
            server_id: {
                "listed": server.listed is not None,
                "listed_leaving": server.listed is not None and server.listed.leaving,
                "says_leaving": server.record is not None and server.record.leaving,
                "incarnation": 0 if server.record is None else server.record.incarnation,
                "heard_seconds_ago": round(now - server.last_response_at, 1),
                "takes_new_work": self.takes_new_work(server_id, now),
            }
            for server_id, server in sorted(self._servers.items())
        }

    def _merge(self, server: _ServerEntry, record: ServerRecord) -> tuple[MembershipChange, ...]:
        previous = server.record
        server.record = record if previous is None else merge_server_records(previous, record)
        was_leaving = previous is not None and previous.leaving
        if server.record == previous or not (server.record.leaving or was_leaving):
            return ()
        return (MembershipChange(server.record, urgent=True),)

    def _remove_if_unresponsive(self, server_id: BackendServerId, now: float) -> None:
        """Drops the list entry of an unresponsive server, and later the server itself.

        A server that still responds keeps its last list entry, which holds its address.
        """
        server = self._servers[server_id]
        if now - server.last_response_at >= RESPONSIVE_WITHIN_SECONDS:
            server.listed = None
        if now - server.last_response_at >= REMOVE_SERVER_AFTER_SECONDS:
            del self._servers[server_id]
