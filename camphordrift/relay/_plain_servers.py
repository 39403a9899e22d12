"""Chooses servers of plain services, from what this VM itself sees."""

from collections.abc import Iterable
from typing import Optional

from camphordrift.relay._values import BackendServer

#: Seconds for which a failing server is left alone, unless all others fail as well.
FAILURE_REST = 2.0

#: Requests under way that a server in another zone is allowed to be behind.
ZONE_PREFERENCE = 0.5


class PlainServerBalancer:
    """Chooses the server with the fewest requests of this VM under way."""

    def __init__(self) -> None:
        self._under_way: dict[str, int] = {}
        self._rests_until: dict[str, float] = {}

    def choose(
        self, servers: Iterable[BackendServer], zone: str, excluded: Iterable[str], now: float
    ) -> Optional[BackendServer]:
        """Returns a server and counts the request on it; :meth:`finished` takes it off again."""
        excluded = frozenset(excluded)
        candidates = [server for server in servers if server.id not in excluded]
        healthy = [s for s in candidates if self._rests_until.get(s.id, 0.0) <= now]
        chosen = min(
            healthy or candidates, key=lambda server: self._cost(server, zone), default=None
        )
        if chosen is not None:
            self._under_way[chosen.id] = self._under_way.get(chosen.id, 0) + 1
        return chosen

    def record_finished(self, server_id: str, failed: bool, now: float) -> None:
        """Notes that a request's work has ended."""
        left = self._under_way.get(server_id, 1) - 1
        if left > 0:
            self._under_way[server_id] = left
        else:
            self._under_way.pop(server_id, None)
        if failed:
            self._rests_until[server_id] = now + FAILURE_REST
        else:
            self._rests_until.pop(server_id, None)

    def _cost(self, server: BackendServer, zone: str) -> float:
        cost: float = self._under_way.get(server.id, 0)
        return cost if server.zone == zone else cost + ZONE_PREFERENCE
