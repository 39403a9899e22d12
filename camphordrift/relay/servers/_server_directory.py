"""Directory of the backend servers that the store lists."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.relay.model import BackendServer, ServerState

#: Seconds after a failure or a restore of the store for which servers are kept although their
#: entries are missing. Servers write their entries again about two seconds after the store is back
#: (PROTOCOL.md); the rest is a margin for reading them.
EXPIRY_GRACE = 3.0


#: Era and offset of a record of the store. Later records have higher positions.
_Position = tuple[int, int]

_BEFORE_ALL_RECORDS: _Position = (-1, -1)


@dataclass(frozen=True)
class _KnownEntry:
    """The last entry of a server, whether the server is still listed or not."""

    server: BackendServer
    #: Era in which the server was last listed or removed.
    era: int


@dataclass(frozen=True)
class DirectoryChange:
    """A server that was listed, changed or removed."""

    #: Id of the server.
    server_id: str
    #: The server's new entry; ``None`` if the server was removed.
    server: Optional[BackendServer]
    #: Offset of the record from which the change was read.
    offset: int
    #: Era of the store in which that record was read.
    era: int = 0
    #: Whether the entry is as before, but was written again. Another VM may have read the store
    #: while the entry was missing.
    is_renewal: bool = False


class ServerDirectory:
    """Keeps the newest entry of each listed backend server.

    Changes come from the store and from the leader, so each carries its era and offset, and a
    change that is older than the known one is ignored. While servers cannot reach the store, their
    entries expire although the servers run, and a store that was restored from an older copy has
    lost entries. A server whose entry disappears within :data:`EXPIRY_GRACE` after a failure or a
    restore is therefore kept until that time has passed.

    A restored store also contains entries that were replaced or removed before it was restored. For
    the same time it therefore lists no server that is known to be gone, and replaces no server by
    an earlier start of it. Draining is final: a start of a server that was read as draining is
    never listed as ready.
    """

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._known: dict[str, _KnownEntry] = {}
        self._positions: dict[str, _Position] = {}
        self._missing_until: dict[str, float] = {}
        #: Entries that contradict what was known before the store was restored.
        self._deferred: dict[str, BackendServer] = {}
        self._grace_ends_at = float("-inf")
        self._era = 0

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
            return server_id not in self._positions
        return server.state is ServerState.READY

    def has_removed(self, server_id: str) -> bool:
        """Returns whether a server that was listed is no longer."""
        return server_id in self._positions and server_id not in self._servers

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

    def record_restore(self, era: int, now: float) -> None:
        """Records that the store was restored from an older copy."""
        self._era = max(self._era, era)
        self._grace_ends_at = now + EXPIRY_GRACE
        self._missing_until = dict.fromkeys(self._missing_until, self._grace_ends_at)

    def put(self, server: BackendServer, offset: int, era: int = 0) -> Optional[DirectoryChange]:
        """Adds or updates an entry; returns the change if there is one."""
        if not self._advance(server.id, (era, offset)):
            return self._drain(server) if server.state is ServerState.LEAVING else None
        if self._contradicts_earlier_era(server, era):
            self._deferred[server.id] = server
            return None
        self._deferred.pop(server.id, None)
        known = self._known.get(server.id)
        is_written_again = server.id in self._missing_until or (
            known is not None and known.era < era
        )
        self._missing_until.pop(server.id, None)
        return self._list(server, is_written_again)

    def remove(
        self, server_id: str, offset: int, now: float, era: int = 0
    ) -> Optional[DirectoryChange]:
        """Records that an entry has disappeared; returns the change if the server was removed."""
        if not self._advance(server_id, (era, offset)):
            return None
        self._deferred.pop(server_id, None)
        if server_id not in self._servers:
            return None
        if now < self._grace_ends_at:
            self._missing_until.setdefault(server_id, self._grace_ends_at)
            return None
        return self._unlist(server_id)

    def remove_all_except(
        self, server_ids: Iterable[str], end_offset: int, now: float, era: int = 0
    ) -> list[DirectoryChange]:
        """Records that a snapshot lacks all other entries; returns the changes.

        Args:
            server_ids: Servers whose entries the snapshot contains.
            end_offset: Offset after the last record that the snapshot covers.
            now: The present time.
            era: Era of the store.

        """
        missing_ids = {*self._servers, *self._deferred}.difference(server_ids)
        changes = [
            self.remove(server_id, end_offset - 1, now, era) for server_id in sorted(missing_ids)
        ]
        return [change for change in changes if change is not None]

    def has_overdue_entries(self, now: float) -> bool:
        """Returns whether :meth:`expire` would end a grace period."""
        is_overdue = any(now >= grace_ends_at for grace_ends_at in self._missing_until.values())
        return is_overdue or (bool(self._deferred) and now >= self._grace_ends_at)

    def expire(self, now: float) -> list[DirectoryChange]:
        """Ends the grace periods that have passed; returns the changes.

        Servers whose entries were not written again are removed. Deferred entries that the store
        still lists are applied.
        """
        changes = []
        for server_id, grace_ends_at in list(self._missing_until.items()):
            if now >= grace_ends_at:
                changes.append(self._unlist(server_id))
        if now >= self._grace_ends_at:
            deferred, self._deferred = self._deferred, {}
            changes += [self._list(server) for server in deferred.values()]
        return [change for change in changes if change is not None]

    def apply_changes(
        self, changes: Iterable[DirectoryChange], now: float
    ) -> list[DirectoryChange]:
        """Applies changes that the leader read from the store; returns those that were new."""
        applied = [self._apply_change(change) for change in changes]
        return [change for change in applied if change is not None]

    def _apply_change(self, change: DirectoryChange) -> Optional[DirectoryChange]:
        if change.server is None:
            # The leader has already waited for the entry to be written again.
            return self._remove_at_once(change)
        if change.era < self._era and change.server.state is ServerState.READY:
            # The leader has not noticed yet that the store was restored.
            return None
        return self.put(change.server, change.offset, change.era)

    def _remove_at_once(self, change: DirectoryChange) -> Optional[DirectoryChange]:
        position = change.era, change.offset
        if position != self._position(change.server_id) and not self._advance(
            change.server_id, position
        ):
            return None
        self._deferred.pop(change.server_id, None)
        return self._unlist(change.server_id)

    def _position(self, server_id: str) -> _Position:
        return self._positions.get(server_id, _BEFORE_ALL_RECORDS)

    def _advance(self, server_id: str, position: _Position) -> bool:
        """Records the position of a server's record; returns whether it is a later one."""
        if position <= self._position(server_id):
            return False
        self._positions[server_id] = position
        self._era = max(self._era, position[0])
        return True

    def _contradicts_earlier_era(self, server: BackendServer, era: int) -> bool:
        """Returns whether a restored store may list the entry only because its copy is older."""
        known = self._known.get(server.id)
        if known is None or era <= known.era:
            return False
        if server.id in self._servers:
            return server.started_ms < known.server.started_ms
        return server.started_ms <= known.server.started_ms

    def _drain(self, server: BackendServer) -> Optional[DirectoryChange]:
        """Applies an earlier record, which only matters if it says that this start drains."""
        known = self._known.get(server.id)
        if known is None or not _is_same_start(known.server, server):
            return None
        draining = replace(known.server, state=ServerState.LEAVING)
        self._known[server.id] = replace(known, server=draining)
        return self._list(draining) if server.id in self._servers else None

    def _list(
        self, server: BackendServer, is_written_again: bool = False
    ) -> Optional[DirectoryChange]:
        known = self._known.get(server.id)
        if (
            known is not None
            and known.server.state is ServerState.LEAVING
            and _is_same_start(known.server, server)
        ):
            server = replace(server, state=ServerState.LEAVING)
        era, offset = self._positions[server.id]
        self._known[server.id] = _KnownEntry(server, era)
        is_same = self._servers.get(server.id) == server
        if is_same and not is_written_again:
            return None
        self._servers[server.id] = server
        return DirectoryChange(server.id, server, offset, era, is_renewal=is_same)

    def _unlist(self, server_id: str) -> Optional[DirectoryChange]:
        self._missing_until.pop(server_id, None)
        server = self._servers.pop(server_id, None)
        if server is None:
            return None
        era, offset = self._positions[server_id]
        self._known[server_id] = _KnownEntry(server, era)
        return DirectoryChange(server_id, None, offset, era)


def _is_same_start(first: BackendServer, second: BackendServer) -> bool:
    return first.started_ms == second.started_ms != 0
