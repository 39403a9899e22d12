"""The backend servers that may be used."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._values import BackendServer, ServerState

#: Seconds after the store's return within which lapsed entries are written again (PROTOCOL.md:
#: about two), with a margin for reading them.
EXPIRY_GRACE = 3.0


@dataclass(frozen=True)
class DirectoryChange:
    """A server that was listed, changed or taken out."""

    server_id: str
    #: ``None`` if the server was taken out.
    server: Optional[BackendServer]
    #: Offset of the record that says so.
    offset: int


class ServerDirectory:
    """Follows the entries of backend servers.

    News come from the store and from the VM that reads it for others, so each carries its offset
    and older news change nothing. Entries lapse while servers cannot reach the store, although the
    servers live: an entry that disappears within :data:`LAPSE_GRACE` of such trouble is kept until
    the grace is over.
    """

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._offsets: dict[str, int] = {}
        self._missing: dict[str, float] = {}
        self._trouble_until = float("-inf")

    @property
    def servers(self) -> dict[str, BackendServer]:
        """All listed servers, by id."""
        return self._servers

    def may_receive_requests(self, server_id: str) -> bool:
        """Tells whether nothing is known here that speaks against sending work to a server.

        A server that other VMs know may not have been read here yet.
        """
        server = self._servers.get(server_id)
        if server is None:
            return server_id not in self._offsets
        return server.state is ServerState.READY

    def ready(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that take new work."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and server.state is ServerState.READY
        ]

    def record_store_failure(self, now: float) -> None:
        """Notes that the store could not be read."""
        self._trouble_until = now + EXPIRY_GRACE

    def put(self, server: BackendServer, offset: int) -> Optional[DirectoryChange]:
        """Takes over an entry; returns a change if it says anything new."""
        if offset <= self._offsets.get(server.id, -1):
            return None
        self._offsets[server.id] = offset
        self._missing.pop(server.id, None)
        if self._servers.get(server.id) == server:
            return None
        self._servers[server.id] = server
        return DirectoryChange(server.id, server, offset)

    def remove(self, server_id: str, offset: int, now: float) -> Optional[DirectoryChange]:
        """Notes that an entry is gone; returns a change if the server was taken out."""
        if offset <= self._offsets.get(server_id, -1):
            return None
        self._offsets[server_id] = offset
        if server_id not in self._servers:
            return None
        if now < self._trouble_until:
            self._missing.setdefault(server_id, self._trouble_until)
            return None
        del self._servers[server_id]
        return DirectoryChange(server_id, None, offset)

    def remove_all_except(
        self, server_ids: Iterable[str], offset: int, now: float
    ) -> list[DirectoryChange]:
        """Notes that all other entries are gone as of ``offset``."""
        gone = set(self._servers).difference(server_ids)
        changes = [self.remove(server_id, offset, now) for server_id in gone]
        return [change for change in changes if change is not None]

    def expire(self, now: float) -> list[DirectoryChange]:
        """Takes out servers whose entries did not come back."""
        gone = [key for key, until in self._missing.items() if now >= until]
        changes = []
        for server_id in gone:
            del self._missing[server_id]
            if self._servers.pop(server_id, None) is not None:
                changes.append(DirectoryChange(server_id, None, self._offsets[server_id]))
        return changes

    def apply(self, changes: Iterable[DirectoryChange], now: float) -> list[DirectoryChange]:
        """Takes over what another VM read from the store; returns what was new."""
        applied = []
        for change in changes:
            if change.server is None:
                # The other VM has waited for a lapsed entry already.
                new = self._take_out(change)
            else:
                new = self.put(change.server, change.offset)
            if new is not None:
                applied.append(new)
        return applied

    def _take_out(self, change: DirectoryChange) -> Optional[DirectoryChange]:
        if change.offset < self._offsets.get(change.server_id, -1):
            return None
        self._offsets[change.server_id] = change.offset
        self._missing.pop(change.server_id, None)
        if self._servers.pop(change.server_id, None) is None:
            return None
        return change
