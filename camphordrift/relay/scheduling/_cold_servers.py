"""Knows which servers are cold, that is, slow and sensitive to load for some seconds.

A server is cold after it started during traffic, and may become cold again at any moment. Its
directory entry and its responses state for how long. The time at which a server becomes warm is
kept for one start of it and passes by itself. Of what VMs tell each other, the newest observation
wins, by the time at which it was made.

A directory entry is older than its reading by an unknown time. It may therefore only make a server
cold for longer, while a response to a later request may also show that the server is warm.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.model import BackendServer, Seconds, Service
from camphordrift.relay.servers import ServerStart, is_obsolete, start_of

#: Seconds by which the end of a cold period must move to be worth a message. Entries and responses
#: that state the same end are read with different delays.
MIN_CHANGE = 1.0

#: Era and offset of a record of the store.
_Position = tuple[int, int]

_BEFORE_ALL_RECORDS: _Position = (-1, -1)


@dataclass(frozen=True)
class ColdServer:
    """What a VM knows of a server that is or was cold, as it is told to other VMs."""

    start: ServerStart
    #: Service of the server.
    service: str
    #: Seconds for which the server stays cold; 0 if it is warm.
    left: Seconds
    #: Seconds since this was observed.
    age: Seconds


@dataclass(frozen=True)
class ColdBound:
    """The bound on the requests to a cold server."""

    #: Start of the server in milliseconds since the epoch.
    started_ms: int
    #: Time at which the cold period became known; another one has another bound.
    since: float
    #: Time at which the server becomes warm.
    until: float
    #: Requests per second from all VMs together.
    rate: float


@dataclass(frozen=True)
class _Policy:
    """What a service's configuration says about cold servers."""

    period: float
    rate: Optional[float]


@dataclass
class _ColdPeriod:
    """The last cold period of a server."""

    service: str
    started_ms: int
    since: float
    until: float
    observed_at: float
    #: Whether :meth:`ColdServers.take_ended` must still return it.
    is_open: bool = True


class ColdServers:
    """The cold servers of the services whose configuration mentions such servers.

    All times are seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._policies: dict[str, _Policy] = {}
        self._periods: dict[str, _ColdPeriod] = {}
        #: Latest known start of each server, in milliseconds since the epoch.
        self._starts: dict[str, int] = {}
        #: Times at which the first server of each service was listed.
        self._first_listed: dict[str, float] = {}
        #: Positions of the last entries that were observed, by server.
        self._positions: dict[str, _Position] = {}
        self._ids: frozenset[str] = frozenset()
        #: Time until which the ids are valid.
        self._ids_valid_until = float("inf")

    def set_services(self, services: Iterable[Service]) -> None:
        """Replaces what is known of the services by a new configuration."""
        policies = {
            service.name: _Policy(service.cold_period, service.cold_request_rate)
            for service in services
            if service.may_be_cold
        }
        if policies != self._policies:
            self._policies = policies
            self._ids_valid_until = float("-inf")

    def ids(self, now: float) -> frozenset[str]:
        """Returns the ids of the cold servers; the same object as before if nothing has changed."""
        if now >= self._ids_valid_until:
            cold = {
                server_id: period.until
                for server_id, period in self._periods.items()
                if period.until > now and period.service in self._policies
            }
            self._ids_valid_until = min(cold.values(), default=float("inf"))
            if cold.keys() != self._ids:
                self._ids = frozenset(cold)
        return self._ids

    def known(self, now: float) -> tuple[ColdServer, ...]:
        """Returns all cold servers, for a VM that may not know them."""
        return tuple(
            ColdServer(
                ServerStart(server_id, period.started_ms),
                period.service,
                period.until - now,
                now - period.observed_at,
            )
            for server_id in sorted(self.ids(now))
            if (period := self._periods[server_id])
        )

    def bound(self, server_id: str, now: float) -> Optional[ColdBound]:
        """Returns the bound on the requests to a server; ``None`` if it is warm or has none."""
        if server_id not in self.ids(now):
            return None
        period = self._periods[server_id]
        rate = self._policies[period.service].rate
        if rate is None:
            return None
        return ColdBound(period.started_ms, period.since, period.until, rate)

    def rate(self, service: str) -> Optional[float]:
        """Returns the requests per second that cold servers of a service take, if bounded."""
        policy = self._policies.get(service)
        return None if policy is None else policy.rate

    def observe_listed(self, servers: Iterable[BackendServer], now: float) -> list[ColdServer]:
        """Records the starts of the listed servers; returns what other VMs have to be told.

        A server that started during traffic is cold for its service's period, unless its entry
        states another time. It started during traffic if an earlier start of it is known, or other
        servers of its service have been listed for longer than that period.
        """
        listed = list(servers)
        news = [self._observe_start(server, now) for server in listed]
        self._forget_unlisted(server.id for server in listed)
        return [item for item in news if item is not None]

    def observe_entry(
        self, server: BackendServer, position: _Position, now: float
    ) -> Optional[ColdServer]:
        """Records an entry that was read from the store; returns what is worth a message.

        Args:
            server: The entry.
            position: Era and offset of its record. An entry that is read again is no news.
            now: The current time.

        """
        if server.cold_left is None:
            return None
        if position <= self._positions.get(server.id, _BEFORE_ALL_RECORDS):
            return None
        self._positions[server.id] = position
        return self._observe(server, server.cold_left, now, may_shorten=False)

    def observe_response(
        self, server: BackendServer, left: float, sent_at: Optional[float], now: float
    ) -> Optional[ColdServer]:
        """Records for how long a response says that its server is cold.

        Args:
            server: The server that responded.
            left: The stated seconds; 0 if it is warm.
            sent_at: When the request was sent. The response may be older than what is known
                otherwise, so it shortens only periods that were observed before. Without a time, it
                shortens none.
            now: The current time.

        Returns:
            What other VMs have to be told; ``None`` if that is nothing.

        """
        known = self._periods.get(server.id)
        is_newer = sent_at is not None and (known is None or sent_at > known.observed_at)
        return self._observe(server, left, now, may_shorten=is_newer)

    def merge(self, cold: ColdServer, now: float) -> bool:
        """Records what another VM knows of a server; returns whether that is worth a message."""
        server_id, started_ms = cold.start.server_id, cold.start.started_ms
        observed_at = now - cold.age
        known = self._periods.get(server_id)
        if known is not None and (known.started_ms, known.observed_at) >= (started_ms, observed_at):
            return False
        self._starts[server_id] = max(started_ms, self._starts.get(server_id, started_ms))
        return self._record(cold.start, cold.service, now + cold.left, observed_at, now)

    def take_ended(self, now: float) -> list[ColdServer]:
        """Returns the servers that have become warm since the last call."""
        ended = []
        for server_id, period in self._periods.items():
            if period.is_open and period.until <= now:
                period.is_open = False
                start = ServerStart(server_id, period.started_ms)
                ended.append(ColdServer(start, period.service, 0.0, now - period.observed_at))
        return [item for item in ended if item.service in self._policies]

    def forget_ended(self, now: float) -> None:
        """Drops cold periods that ended some time ago."""
        for server_id, period in list(self._periods.items()):
            if not period.is_open and is_obsolete(period.until, now):
                del self._periods[server_id]

    def _forget_unlisted(self, listed_ids: Iterable[str]) -> None:
        """Drops starts and positions of servers that are neither listed nor were cold lately."""
        known = self._periods.keys() | set(listed_ids)
        if len(self._starts) > len(known) or len(self._positions) > len(known):
            self._starts = {key: item for key, item in self._starts.items() if key in known}
            self._positions = {key: item for key, item in self._positions.items() if key in known}

    def _observe_start(self, server: BackendServer, now: float) -> Optional[ColdServer]:
        former = self._starts.get(server.id)
        first_listed = self._first_listed.setdefault(server.service, now)
        if former is not None and server.started_ms <= former:
            return None
        left, policy = server.cold_left, self._policies.get(server.service)
        if left is None:
            period = 0.0 if policy is None else policy.period
            is_in_traffic = former is not None or now - first_listed > period
            left = period if is_in_traffic else 0.0
        return self._observe(server, left, now, may_shorten=False)

    def _observe(
        self, server: BackendServer, left: float, now: float, may_shorten: bool
    ) -> Optional[ColdServer]:
        start, until = start_of(server), now + left
        known = self._periods.get(server.id)
        self._starts[server.id] = max(
            server.started_ms, self._starts.get(server.id, server.started_ms)
        )
        is_same_start = known is None or known.started_ms == server.started_ms
        former_until = now if known is None else known.until
        if is_same_start and until <= former_until and not may_shorten:
            return None
        is_news = self._record(start, server.service, until, now, now)
        if not is_news or server.service not in self._policies:
            return None
        return ColdServer(start, server.service, left, 0.0)

    def _record(
        self, start: ServerStart, service: str, until: float, observed_at: float, now: float
    ) -> bool:
        """Records the end of a cold period; returns whether that is worth a message."""
        known = self._periods.get(start.server_id)
        if start.started_ms < self._starts.get(start.server_id, start.started_ms):
            return False
        former: Optional[_ColdPeriod] = None
        if known is not None and known.started_ms == start.started_ms and known.until > now:
            former = known
        is_cold = until > now
        if is_cold or (known is not None and known.until > now):
            self._ids_valid_until = float("-inf")
        self._periods[start.server_id] = _ColdPeriod(
            service,
            start.started_ms,
            since=now if former is None else former.since,
            until=until,
            observed_at=observed_at,
            is_open=is_cold or (known is not None and known.is_open),
        )
        if former is None:
            return is_cold
        return not is_cold or abs(until - former.until) >= MIN_CHANGE
