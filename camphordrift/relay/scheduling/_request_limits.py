"""Limits the requests to servers that named how many per second they take from all VMs together.

One VM decides on the requests of a limited server for all VMs: the leader, which grants engines and
permits for plain servers. VMs that cannot reach each other divide the limit: each deciding VM has
the share of the VMs for which it decides. A server states its limit in its responses, and the limit
holds until a response to a later request does not state it.

A cold server has a limit as well if its service's configuration bounds the requests to cold
servers. It ends by itself when the server is warm. As it must hold within any second, a VM that
starts to decide uses its share only once the VM that decided before has noticed that.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.model import BackendServer, Rate, Seconds
from camphordrift.relay.scheduling._cold_servers import ColdBound, ColdServers
from camphordrift.relay.scheduling._settled_share import SettledShare
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
    rate: Optional[Rate]
    #: Seconds since a response showed it.
    age: Seconds


@dataclass(frozen=True)
class Permit:
    """Permission to send one request to a limited server."""

    #: Id of the server; ``None`` if no server takes the request in time.
    server_id: Optional[str]
    #: Seconds until the request may be sent, or until a caller that is refused may return.
    delay: Seconds


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
    #: Time at which the limit of a cold server ends; ``None`` for limits that servers named.
    warm_at: Optional[float] = None


class RequestLimits:
    """The limits of servers, and how many requests to them this VM may grant.

    All times are seconds of one monotonic clock.

    Args:
        share: Returns the share of each limit on which this VM decides; 0 if its leader decides.
        cold: The cold servers; without it, there are none.
        phase: Returns a number from 0 to 1 that differs between VMs. Those that start to decide at
            the same moment, each on a small share, would otherwise all send their first request to
            a cold server together.

    """

    def __init__(
        self,
        share: Callable[[], float],
        cold: Optional[ColdServers] = None,
        phase: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._share = share
        self._phase = phase
        self._settled_share = SettledShare(share)
        self._limits: dict[str, _Limit] = {}
        #: Limits of cold servers, by server.
        self._cold_limits: dict[str, _Limit] = {}
        #: The cold servers.
        self.cold = ColdServers() if cold is None else cold
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
        """Returns whether a server named a limit."""
        return self._find(server) is not None

    def has_limit(self, server: BackendServer, now: float) -> bool:
        """Returns whether a server has a limit, because it named one or because it is cold."""
        return bool(self._limits_of(server, now))

    def may_limit(self, now: float) -> bool:
        """Returns whether any server may have a limit."""
        return bool(self._limits) or bool(self.cold.ids(now))

    def rate(self, server: BackendServer, now: float) -> float:
        """Returns the requests per second to a limited server on which this VM decides."""
        return min(map(_rate_of, self._limits_of(server, now)), default=0.0) * self._share()

    def time_left(self, server: BackendServer, now: float) -> float:
        """Returns the seconds until a server has no limit any more, as far as that is known."""
        return max(
            (
                float("inf") if limit.warm_at is None else limit.warm_at - now
                for limit in self._limits_of(server, now)
            ),
            default=0.0,
        )

    def wait_time(self, server: BackendServer, now: float) -> float:
        """Returns the seconds until this VM may grant a request to a server; 0 without a limit."""
        limits = self._limits_of(server, now)
        return max((self._wait_time(limit, now) for limit in limits), default=0.0)

    def expected_wait(self, server: BackendServer, now: float) -> float:
        """Returns what :meth:`wait_time` will be once this VM may use its present share."""
        wait = self.wait_time(server, now)
        rate = self.rate(server, now)
        if not rate or self.is_limited(server) or self._settled_share.value(now):
            return wait
        return min(wait, self._settled_share.time_left(now) + 1.0 / rate)

    def take(self, server: BackendServer, now: float, is_running: bool = False) -> None:
        """Counts a request that was granted, whether it was available or not.

        Args:
            server: The server.
            now: The current time.
            is_running: Whether the server has responded already. The VM that decided before has
                counted such a request to a cold server.

        """
        for limit in self._limits_of(server, now):
            if limit.warm_at is None or not is_running:
                self._take(limit, now)

    def take_by_id(self, server_id: str, now: float) -> None:
        """Counts a request that another VM has sent without a grant."""
        for limit in self._limits_by_id(server_id, now):
            self._take(limit, now)

    def observe_share(self, now: float) -> None:
        """Records this VM's present share; must be called regularly."""
        self._settled_share.value(now)

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
        limits = {key: self._limits_by_id(key, now) for key in server_ids}
        waits = {
            key: max((self._wait_time(limit, now) for limit in limits[key]), default=0.0)
            for key in server_ids
        }
        first = min(server_ids, key=waits.__getitem__, default=None)
        if first is None:
            return Permit(None, UNKNOWN_WAIT)
        if waits[first] <= max_delay:
            self.take_by_id(first, now)
            return Permit(first, waits[first])
        rates = (min(map(_rate_of, limits[key]), default=0.0) for key in server_ids)
        rate = sum(rates) * self._share()
        return Permit(None, self._promise(service, rate, waits[first], now))

    def promise(self, servers: Sequence[BackendServer], wait: float, now: float) -> float:
        """Returns after how many seconds a caller that is refused may return.

        Each caller is told another time, so that those that return are not too many again.

        Args:
            servers: The servers of a service that the caller may use; all have limits.
            wait: Seconds until they take a further request.
            now: The current time.

        """
        rate = sum(self.rate(server, now) for server in servers)
        return self._promise(servers[0].service, rate, wait, now)

    def forget_unlisted(self, listed: Mapping[str, BackendServer], now: float) -> None:
        """Drops the limits of servers that are not listed for some time, and those that ended."""
        for server_id, limit in list(self._limits.items()):
            start = ServerStart(server_id, limit.started_ms)
            limit.unlisted_since = unlisted_since(start, listed, limit.unlisted_since, now)
            if is_obsolete(limit.unlisted_since, now):
                del self._limits[server_id]
        self.cold.forget_ended(now)
        for server_id in self._cold_limits.keys() - self.cold.ids(now):
            del self._cold_limits[server_id]

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

    def _limits_of(self, server: BackendServer, now: float) -> list[_Limit]:
        """Returns the limits that hold for this start of a server."""
        limits = self._limits_by_id(server.id, now)
        return [limit for limit in limits if server.started_ms <= limit.started_ms]

    def _limits_by_id(self, server_id: str, now: float) -> list[_Limit]:
        """Returns the limits that hold for a server, whichever of its starts has them."""
        limits = []
        if (named := self._find_by_id(server_id)) is not None:
            limits.append(named)
        if (bound := self.cold.bound(server_id, now)) is not None:
            limits.append(self._cold_limit(server_id, bound))
        return limits

    def _cold_limit(self, server_id: str, bound: ColdBound) -> _Limit:
        """Returns the limit of a cold server; nothing was saved up when the server became cold."""
        limit = self._cold_limits.get(server_id)
        if limit is None or (limit.started_ms, limit.observed_at) != (
            bound.started_ms,
            bound.since,
        ):
            limit = _Limit(bound.started_ms, bound.rate, bound.since, self._phase(), bound.since)
            self._cold_limits[server_id] = limit
        limit.rate, limit.warm_at = bound.rate, bound.until
        return limit

    def _share_of(self, limit: _Limit, now: float) -> float:
        return self._share() if limit.warm_at is None else self._settled_share.value(now)

    def _refill(self, limit: _Limit, now: float) -> None:
        share = self._share_of(limit, now)
        rate = _rate_of(limit) * share
        burst = max(1.0, rate * BURST_SECONDS)
        refilled_at = limit.refilled_at
        if limit.warm_at is not None:
            refilled_at = max(refilled_at, self._settled_share.risen_at)
        tokens = limit.tokens + rate * max(0.0, now - refilled_at)
        # What was saved up is not kept while the leader decides: after its loss, all VMs have it.
        limit.tokens = min(burst if share else 0.0, tokens)
        if limit.warm_at is not None and not share:
            limit.tokens = self._phase()
        elif limit.warm_at is not None and share < 1.0 and tokens >= 1.0 + rate * BURST_SECONDS:
            # Many VMs with small shares would have a request each, which are too many in a second.
            limit.tokens = min(burst, tokens % 1.0 + int(rate * BURST_SECONDS))
        limit.refilled_at = now

    def _take(self, limit: _Limit, now: float) -> None:
        self._refill(limit, now)
        if self._share_of(limit, now):
            limit.tokens -= 1.0

    def _wait_time(self, limit: _Limit, now: float) -> float:
        self._refill(limit, now)
        if limit.tokens >= 1.0:
            return 0.0
        rate = _rate_of(limit) * self._share_of(limit, now)
        wait = (1.0 - limit.tokens) / rate if rate else float("inf")
        return wait if limit.warm_at is None else min(wait, limit.warm_at - now)

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
