"""Load balancing over the servers of plain services, which are services without model engines."""

from collections import Counter
from collections.abc import Iterable
from typing import Optional

from camphordrift.relay.model import BackendServer

#: Backoff of a server in seconds after a failure. During it, the server gets requests only if all
#: other candidates back off as well.
FAILURE_BACKOFF = 2.0

#: Added to the number of requests in flight of a server in another availability zone. As the value
#: is less than 1, the zone decides only between servers with equally many requests in flight.
CROSS_ZONE_COST = 0.5


class PlainServerBalancer:
    """Chooses the server with the fewest requests of this VM in flight."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        #: Number of isolated requests in flight, by server.
        self._isolated: Counter[str] = Counter()
        self._backoff_until: dict[str, float] = {}

    def choose(
        self,
        servers: Iterable[BackendServer],
        zone: str,
        excluded: Iterable[str],
        now: float,
        isolated: bool = False,
    ) -> Optional[BackendServer]:
        """Returns a server, or ``None`` if all are excluded, and counts the request as in flight.

        Args:
            servers: The servers of the service.
            zone: Availability zone of this VM.
            excluded: Ids of servers that must not be chosen.
            now: The current time in seconds.
            isolated: Whether the server may crash on the request, so that no other request should
                be on it.

        """
        excluded = frozenset(excluded)
        candidates = [server for server in servers if server.id not in excluded]
        healthy = [s for s in candidates if self._backoff_until.get(s.id, 0.0) <= now]
        shared = [s for s in healthy if not self._isolated[s.id]]
        chosen = min(
            shared or healthy or candidates,
            key=lambda server: self._cost(server, zone),
            default=None,
        )
        if chosen is not None:
            self._in_flight[chosen.id] = self._in_flight.get(chosen.id, 0) + 1
            self._isolated[chosen.id] += isolated
        return chosen

    def record_finished(
        self, server_id: str, failed: bool, now: float, isolated: bool = False
    ) -> None:
        """Records that a request to a server has ended, and whether the server failed it."""
        self._isolated[server_id] -= isolated
        if not self._isolated[server_id]:
            del self._isolated[server_id]
        remaining = self._in_flight.get(server_id, 1) - 1
        if remaining > 0:
            self._in_flight[server_id] = remaining
        else:
            self._in_flight.pop(server_id, None)
        if failed:
            self._backoff_until[server_id] = now + FAILURE_BACKOFF
        else:
            self._backoff_until.pop(server_id, None)

    def _cost(self, server: BackendServer, zone: str) -> float:
        cost: float = self._in_flight.get(server.id, 0)
        return cost if server.zone == zone else cost + CROSS_ZONE_COST
