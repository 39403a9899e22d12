"""The backend servers that may be used."""

from collections.abc import Iterable
from typing import Optional

from camphordrift.relay._values import BackendServer, ServerState

#: Seconds after the store's return within which lapsed entries are written again (PROTOCOL.md:
#: about two), with a margin for reading them.
LAPSE_GRACE = 3.0


class ServerDirectory:
    """Follows the entries of backend servers.

    Entries lapse while servers cannot reach the store, although the servers live. An entry that
    disappears within :data:`LAPSE_GRACE` of such trouble is therefore kept until the grace is over.
    """

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._missing: dict[str, float] = {}
        self._removed: set[str] = set()
        self._trouble_until = float("-inf")

    @property
    def servers(self) -> dict[str, BackendServer]:
        """All listed servers, by id."""
        return self._servers

    def get(self, server_id: str) -> Optional[BackendServer]:
        """Returns a listed server."""
        return self._servers.get(server_id)

    def takes_work(self, server_id: str) -> bool:
        """Tells whether nothing is known here that speaks against sending work to a server.

        A server that other VMs know may not have been read here yet.
        """
        server = self._servers.get(server_id)
        if server is None:
            return server_id not in self._removed
        return server.state is ServerState.READY

    def ready(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that take new work."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and server.state is ServerState.READY
        ]

    def note_store_trouble(self, now: float) -> None:
        """Notes that the store could not be read."""
        self._trouble_until = now + LAPSE_GRACE

    def put(self, server: BackendServer) -> bool:
        """Takes over an entry; returns whether anything but its being listed changed."""
        self._missing.pop(server.id, None)
        self._removed.discard(server.id)
        changed = self._servers.get(server.id) != server
        self._servers[server.id] = server
        return changed

    def remove(self, server_id: str, now: float) -> bool:
        """Notes that an entry is gone; returns whether the server was taken out."""
        if server_id not in self._servers:
            return False
        if now < self._trouble_until:
            self._missing.setdefault(server_id, self._trouble_until)
            return False
        del self._servers[server_id]
        self._removed.add(server_id)
        return True

    def keep_only(self, server_ids: Iterable[str], now: float) -> bool:
        """Notes that all other entries are gone; returns whether a server was taken out."""
        gone = set(self._servers).difference(server_ids)
        removed = [server_id for server_id in gone if self.remove(server_id, now)]
        return bool(removed)

    def expire(self, now: float) -> bool:
        """Takes out servers whose entries did not come back; returns whether there were any."""
        gone = [key for key, until in self._missing.items() if now >= until]
        for server_id in gone:
            del self._missing[server_id]
            self._servers.pop(server_id, None)
            self._removed.add(server_id)
        return bool(gone)
