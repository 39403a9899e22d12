"""Limits the requests to servers that named how many per second they take from all VMs together.

One VM decides on the requests of a limited server for all VMs: the leader, which grants engines and
permits for plain servers. VMs that cannot reach each other divide the limit: each deciding VM has
the share of the VMs for which it decides. A server states its limit in its responses, and the limit
holds until a response to a later request does not state it.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.model import BackendServer
from camphordrift.relay.servers import ServerStart, is_obsolete, start_of, unlisted_since

#: Share of its time left within which limited servers must be expected to take a request; it is
#: refused at once otherwise. They may take it later, as they are busy or others come first.
LIMITED_WAIT_SHARE = 0.8

#: Seconds of the limit's rate that a server may get at once after a time without requests, if that
#: is more than one request.
BURST_SECONDS = 0.25

#: Requests per second to a server that names a lower limit. Without any request, no response could
#: show that the limit has ended.
MIN_RATE = 0.1

#: Maximum number of seconds over which the returns of refused callers are spread. Not all of them
#: return, and callers with a short time left cannot wait longer.
MAX_RETURN_SPREAD = 10.0

#: Retry-After in seconds if it is unknown when a server takes another request, as another VM
#: decides on it.
UNKNOWN_WAIT = 1.0


@dataclass(frozen=True)
class ServerLimit:
    """What a VM knows of a server's limit, as it is told to other VMs."""

    start: ServerStart
    #: Requests per second from all VMs together; ``None`` if the limit has ended.
    rate: Optional[float]
    #: Seconds since a response showed it.
    age: float


@dataclass(frozen=True)
class Permit:
    """Permission to send one request to a limited server."""

    #: Id of the server; ``None`` if no server takes the request in time.
    server_id: Optional[str]
    #: Seconds until the request may be sent, or until a caller that is refused may return.
    delay: float


@dataclass
class _Limit:
    """The limit of one start of a server, and a token bucket for it."""

    started_ms: int
    rate: Optional[float]
    observed_at: float
    #: Requests that may be sent now; negative if requests were granted in advance.
    tokens: float
    refilled_at: float
    #: Time since which the directory has not listed the server; ``None`` while it does.
    unlisted_since: Optional[float] = None


class RequestLimits:
    """The limits of servers, and how many requests to them this VM may grant.

    All times are seconds of one monotonic clock.

    Args:
        share: Returns the share of each limit on which this VM decides; 0 if its leader decides.

    """

    def __init__(self, share: Callable[[], float]) -> None:
        self._share = share
        self._limits: dict[str, _Limit] = {}
        #: Times until which refused callers were told to return, by service.
        self._promised_until: dict[str, float] = {}

    @property
    def limited_count(self) -> int:
        """Number of servers that have a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def known(self, now: float) -> tuple[ServerLimit, ...]:
        """Returns all limits, for a VM that may not know them."""
        return tuple(
            ServerLimit(ServerStart(key, limit.started_ms), limit.rate, now - limit.observed_at)
            for key, limit in self._limits.items()
            if limit.rate is not None
        )

    def observe_response(
        self, server: BackendServer, rate: Optional[float], sent_at: Optional[float], now: float
    ) -> Optional[ServerLimit]:
        """Records the limit that a response states, or that it states none.

        Args:
            server: The server that responded.
            rate: The stated limit in requests per second; ``None`` if there is none.
            sent_at: When the request was sent. The response may be older than what is known
                otherwise, so it ends only limits that were stated before that. Without a time, it
                ends none.
            now: The current time.

        Returns:
            What other VMs have to be told; ``None`` if nothing has changed.

        """
        known = self._limits.get(server.id)
        former = None if known is None else known.rate
        if rate is None and (
            known is None or former is None or sent_at is None or sent_at <= known.observed_at
        ):
            return None
        self._record(start_of(server), rate, now, now)
        return None if rate == former else ServerLimit(start_of(server), rate, 0.0)

    def merge(self, limit: ServerLimit, now: float) -> bool:
        """Records what another VM knows of a limit; returns whether that is a change."""
        known = self._limits.get(limit.start.server_id)
        observed_at = now - limit.age
        if known is not None and (known.started_ms, known.observed_at) >= (
            limit.start.started_ms,
            observed_at,
        ):
            return False
        is_change = limit.rate != (None if known is None else known.rate)
        self._record(limit.start, limit.rate, observed_at, now)
        return is_change

    def is_limited(self, server: BackendServer) -> bool:
        """Returns whether a server has a limit."""
        return self._find(server) is not None

    def rate(self, server: BackendServer) -> float:
        """Returns the requests per second to a limited server on which this VM decides."""
        limit = self._find(server)
        return 0.0 if limit is None else _rate_of(limit) * self._share()

    def wait_time(self, server: BackendServer, now: float) -> float:
        """Returns the seconds until this VM may grant a request to a server; 0 without a limit."""
        limit = self._find(server)
        return 0.0 if limit is None else self._wait_time(limit, now)

    def take(self, server: BackendServer, now: float) -> None:
        """Counts a request that was granted, whether it was available or not."""
        if (limit := self._find(server)) is not None:
            self._take(limit, now)

    def take_by_id(self, server_id: str, now: float) -> None:
        """Counts a request that another VM has sent without a grant."""
        if (limit := self._find_by_id(server_id)) is not None:
            self._take(limit, now)

    def reserve(
        self, service: str, server_ids: Sequence[str], max_delay: float, now: float
    ) -> Permit:
        """Grants a request to the server that takes one first.

        Args:
            service: The service of the servers.
            server_ids: Ids of the servers.
            max_delay: Maximum number of seconds until the request may be sent.
            now: The current time.

        """
        waits = {key: self._wait_time_by_id(key, now) for key in server_ids}
        first = min(server_ids, key=waits.__getitem__)
        if waits[first] <= max_delay:
            self.take_by_id(first, now)
            return Permit(first, waits[first])
        limits = [self._limits[key] for key in server_ids]
        rate = sum(map(_rate_of, limits)) * self._share()
        return Permit(None, self._promise(service, rate, waits[first], now))

    def promise(self, servers: Sequence[BackendServer], wait: float, now: float) -> float:
        """Returns after how many seconds a caller that is refused may return.

        Each caller is told another time, so that those that return are not too many again.

        Args:
            servers: The servers of a service that the caller may use; all have limits.
            wait: Seconds until they take a further request.
            now: The current time.

        """
        return self._promise(servers[0].service, sum(map(self.rate, servers)), wait, now)

    def forget_unlisted(self, listed: Mapping[str, BackendServer], now: float) -> None:
        """Drops the limits of servers that have not been listed for some time."""
        for server_id, limit in list(self._limits.items()):
            start = ServerStart(server_id, limit.started_ms)
            limit.unlisted_since = unlisted_since(start, listed, limit.unlisted_since, now)
            if is_obsolete(limit.unlisted_since, now):
                del self._limits[server_id]

    def _record(
        self, start: ServerStart, rate: Optional[float], observed_at: float, now: float
    ) -> None:
        limit = self._limits.get(start.server_id)
        if limit is None or limit.started_ms < start.started_ms or limit.rate is None:
            # A new limit allows no burst, as the server has just got requests without it.
            limit = _Limit(start.started_ms, rate, observed_at, tokens=0.0, refilled_at=now)
            self._limits[start.server_id] = limit
            return
        if limit.started_ms > start.started_ms:
            return
        self._refill(limit, now)
        limit.rate, limit.observed_at = rate, max(limit.observed_at, observed_at)

    def _find(self, server: BackendServer) -> Optional[_Limit]:
        """Returns the limit of this start of a server; ``None`` if it has none."""
        limit = self._find_by_id(server.id)
        return None if limit is None or server.started_ms > limit.started_ms else limit

    def _find_by_id(self, server_id: str) -> Optional[_Limit]:
        """Returns the limit of a server, whichever of its starts named it."""
        limit = self._limits.get(server_id)
        return None if limit is None or limit.rate is None else limit

    def _refill(self, limit: _Limit, now: float) -> None:
        share = self._share()
        rate = _rate_of(limit) * share
        burst = max(1.0, rate * BURST_SECONDS)
        added = rate * max(0.0, now - limit.refilled_at)
        # What was saved up is not kept while the leader decides: after its loss, all VMs have it.
        limit.tokens = min(burst if share else 0.0, limit.tokens + added)
        limit.refilled_at = now

    def _take(self, limit: _Limit, now: float) -> None:
        self._refill(limit, now)
        if self._share():
            limit.tokens -= 1.0

    def _wait_time(self, limit: _Limit, now: float) -> float:
        self._refill(limit, now)
        rate = _rate_of(limit) * self._share()
        if limit.tokens >= 1.0:
            return 0.0
        return (1.0 - limit.tokens) / rate if rate else float("inf")

    def _wait_time_by_id(self, server_id: str, now: float) -> float:
        limit = self._find_by_id(server_id)
        return 0.0 if limit is None else self._wait_time(limit, now)

    def _promise(self, service: str, rate: float, wait: float, now: float) -> float:
        if not rate:
            return UNKNOWN_WAIT
        earliest = self._promised_until.get(service, float("-inf")) + 1.0 / rate
        latest = now + wait + MAX_RETURN_SPREAD
        self._promised_until[service] = min(latest, max(now + wait, earliest))
        return self._promised_until[service] - now


def total_wait(waits: Iterable[float], rates: Iterable[float], requests_ahead: int) -> float:
    """Returns the seconds until several limited servers together take a further request.

    Args:
        waits: Seconds until each server takes one request.
        rates: Requests per second of each server.
        requests_ahead: Number of requests that come first.

    """
    return min(waits, default=float("inf")) + requests_ahead / (sum(rates) or float("inf"))


def _rate_of(limit: _Limit) -> float:
    return max(limit.rate or 0.0, MIN_RATE)
