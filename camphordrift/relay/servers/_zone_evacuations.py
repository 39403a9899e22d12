"""Which availability zones are evacuated: the operator wants no requests sent to their servers.

A VM may learn of an evacuation from the store, from its leader or from a follower, and in any
order. Each statement therefore carries the position of the record that it is based on, and the one
with the highest position holds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from camphordrift.relay.model import BackendServer, ServerState


@dataclass(frozen=True)
class ZoneStatement:
    """States whether a zone is evacuated, as of a record of the store."""

    zone: str
    evacuated: bool
    #: Era of the store, and offset of the record; of a removal that was noticed because a snapshot
    #: lacks the record, the last offset that the snapshot covers.
    era: int
    offset: int

    @property
    def position(self) -> tuple[int, int]:
        """Position in the store; later records have higher positions."""
        return self.era, self.offset

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Sort key; of two statements with one position, the zone's evacuation holds."""
        return self.era, self.offset, self.evacuated


class ZoneEvacuations:
    """The newest statement on each zone.

    The result does not depend on the order in which statements are merged, nor on how often.
    """

    def __init__(self) -> None:
        self._statements: dict[str, ZoneStatement] = {}
        self._evacuated: frozenset[str] = frozenset()

    @property
    def statements(self) -> tuple[ZoneStatement, ...]:
        """The newest statements on all zones of which any is known."""
        return tuple(self._statements.values())

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """The zones that are evacuated."""
        return self._evacuated

    def is_evacuated(self, server: BackendServer) -> bool:
        """Returns whether a server is in an evacuated zone, and so must get no requests."""
        return server.zone in self._evacuated

    def merge(self, statement: ZoneStatement) -> bool:
        """Records a statement; returns whether it is newer than what was known of the zone."""
        known = self._statements.get(statement.zone)
        if known is not None and known.rank >= statement.rank:
            return False
        self._statements[statement.zone] = statement
        self._evacuated = frozenset(x.zone for x in self._statements.values() if x.evacuated)
        return True

    def apply_to(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Returns directory entries in which the servers of evacuated zones are draining."""
        return [
            replace(server, state=ServerState.LEAVING) if self.is_evacuated(server) else server
            for server in servers
        ]
