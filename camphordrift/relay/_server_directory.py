"""Directory of the backend servers that the store lists."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._values import BackendServer, ServerState

#: Seconds after a failure of the store for which servers are kept although their entries expired.
#: Servers write their entries again about two seconds after the store is back (PROTOCOL.md); the
#: rest is a margin for reading them.
EXPIRY_GRACE = 3.0


@dataclass(frozen=True)
class DirectoryChange:
    """A server that was listed, changed or removed."""

    #: Id of the server.
    server_id: str
    #: The server's new entry; ``None`` if the server was removed.
    server: Optional[BackendServer]
    #: Offset of the record from which the change was read.
    offset: int


class ServerDirectory:
    """Keeps the newest entry of each listed backend server.

    Changes come from the store and from the leader, so each carries its offset, and a change that
    is older than the known one is ignored. While servers cannot reach the store, their entries
    expire although the servers run. A server whose entry disappears within :data:`EXPIRY_GRACE`
    after a failure of the store is therefore kept until that time has passed.
    """

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._offsets: dict[str, int] = {}
        self._missing_until: dict[str, float] = {}
        self._grace_ends_at = float("-inf")

    @property
    def servers(self) -> dict[str, BackendServer]:
        """All listed servers, by id."""
        return self._servers

    def may_receive_requests(self, server_id: str) -> bool:
        """Returns whether a request may be sent to the server that was chosen for it.

        This includes a server that this VM has never read, as the leader may have read it earlier.
        """
        server = self._servers.get(server_id)
        if server is None:
            return server_id not in self._offsets
        return server.state is ServerState.READY

    def ready_servers(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that accept new requests."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and server.state is ServerState.READY
        ]

    def record_store_failure(self, now: float) -> None:
        """Records that the store could not be read."""
        self._grace_ends_at = now + EXPIRY_GRACE

    def put(self, server: BackendServer, offset: int) -> Optional[DirectoryChange]:
        """Adds or updates an entry; returns the change if there is one."""
        if offset <= self._offsets.get(server.id, -1):
            return None
        self._offsets[server.id] = offset
        self._missing_until.pop(server.id, None)
        if self._servers.get(server.id) == server:
            return None
        self._servers[server.id] = server
        return DirectoryChange(server.id, server, offset)

    def remove(self, server_id: str, offset: int, now: float) -> Optional[DirectoryChange]:
        """Records that an entry has disappeared; returns the change if the server was removed."""
        if offset <= self._offsets.get(server_id, -1):
            return None
        self._offsets[server_id] = offset
        if server_id not in self._servers:
            return None
        if now < self._grace_ends_at:
            self._missing_until.setdefault(server_id, self._grace_ends_at)
            return None
        del self._servers[server_id]
        return DirectoryChange(server_id, None, offset)

    def remove_all_except(
        self, server_ids: Iterable[str], end_offset: int, now: float
    ) -> list[DirectoryChange]:
        """Records that a snapshot lacks all other entries; returns the changes.

        Args:
            server_ids: Servers whose entries the snapshot contains.
            end_offset: Offset after the last record that the snapshot covers.
            now: The present time.

        """
        missing_ids = set(self._servers).difference(server_ids)
        changes = [self.remove(server_id, end_offset - 1, now) for server_id in missing_ids]
        return [change for change in changes if change is not None]

    def expire(self, now: float) -> list[DirectoryChange]:
        """Removes servers whose entries were not written again in time; returns the changes."""
        removed_ids = [
            key for key, grace_ends_at in self._missing_until.items() if now >= grace_ends_at
        ]
        changes = []
        for server_id in removed_ids:
            del self._missing_until[server_id]
            if self._servers.pop(server_id, None) is not None:
                changes.append(DirectoryChange(server_id, None, self._offsets[server_id]))
        return changes

    def apply_changes(
        self, changes: Iterable[DirectoryChange], now: float
    ) -> list[DirectoryChange]:
        """Applies changes that the leader read from the store; returns those that were new."""
        applied = []
        for change in changes:
            if change.server is None:
                # The leader has already waited for the entry to be written again.
                applied_change = self._remove_at_once(change)
            else:
                applied_change = self.put(change.server, change.offset)
            if applied_change is not None:
                applied.append(applied_change)
        return applied

    def _remove_at_once(self, change: DirectoryChange) -> Optional[DirectoryChange]:
        if change.offset < self._offsets.get(change.server_id, -1):
            return None
        self._offsets[change.server_id] = change.offset
        self._missing_until.pop(change.server_id, None)
        if self._servers.pop(change.server_id, None) is None:
            return None
        return change
