"""Tracks one VM's use of one account's limits, and decides when the VM needs a lease."""

import math
from dataclasses import dataclass
from typing import Optional

from camphordrift.account_limits._buckets import DebtBucket, DemandMeter, RateMeter
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import VmId
from camphordrift.results import ResultCode

#: If demand has grown by this factor since the last lease request, the next one is sent early.
DEMAND_INCREASE_FACTOR = 1.5

#: If demand has fallen to this fraction of the requested demand, the VM reports it to the home VM.
DEMAND_DECREASE_FACTOR = 0.5

#: A demand below this fraction of the fallback share needs no lease.
FALLBACK_DEMAND_FRACTION = 0.5


@dataclass(frozen=True)
class ExceededLimit:
    """The limit that a request would exceed."""

    #: Result code of a request that this limit refuses.
    code: ResultCode

    #: Seconds until the limit can admit a request, if no other request starts or ends.
    retry_after_seconds: float


class AccountUsage:
    """Checks one account's requests against this VM's share, and measures the account's demand."""

    def __init__(self, settings: LimiterSettings, now: float) -> None:
        self._settings = settings
        self._lease = NO_SHARES
        self._lease_expires_at = now
        self._lease_home: Optional[VmId] = None
        self._requests = DebtBucket(1.0, now)
        self._tokens = DebtBucket(1.0, now)
        self._request_meter = DemandMeter.with_window(settings.demand_window_seconds, now)
        self._token_meter = DemandMeter.with_window(settings.demand_window_seconds, now)
        self._refused_concurrency = RateMeter(settings.demand_window_seconds, now)
        self._refused_long = RateMeter(settings.demand_window_seconds, now)
        self._running = 0
        self._long_tokens = 0
        self._last_request_at = now
        self._refused_since_request = False
        self._requested_at: Optional[float] = None
        self._requested = NO_SHARES
        self._renew_seconds = settings.renew_seconds

    @property
    def has_refused(self) -> bool:
        """True if a request was refused since the last lease request."""
        return self._refused_since_request

    @property
    def running(self) -> int:
        """Number of running requests of the account on this VM."""
        return self._running

    @property
    def long_tokens(self) -> int:
        """Number of tokens of the running requests that have a long prompt."""
        return self._long_tokens

    def share(self, limits: Shares, fleet: FleetSize, now: float) -> Shares:
        """Returns the share of a valid lease, or the fallback share without one."""
        if now < self._lease_expires_at:
            return self._lease
        return self.fallback_share(limits, fleet)

    def fallback_share(self, limits: Shares, fleet: FleetSize) -> Shares:
        """Returns the share used without a lease; it allows at least one request at a time."""
        fallback = limits.scaled(self._settings.fallback_fraction / fleet.known)
        return fallback.at_least(Shares(concurrency=1.0))

    def record_demand_and_find_exceeded_limit(
        self, tokens: int, long_tokens: int, share: Shares, now: float
    ) -> Optional[ExceededLimit]:
        """Records a request as demand, and returns the limit that it would exceed.

        Returns ``None`` if the request can be admitted; :meth:`charge_request` then charges it.
        """
        self._last_request_at = now
        self._request_meter.add(1.0, now)
        self._token_meter.add(tokens, now)
        exceeded = self._find_exceeded_limit(long_tokens, share, now)
        if exceeded is not None:
            self._record_refusal(exceeded, long_tokens, now)
        return exceeded

    def charge_request(self, tokens: int, long_tokens: int) -> None:
        """Charges an admitted request to the limits."""
        self._requests.level -= 1.0
        self._tokens.level -= tokens
        self._running += 1
        self._long_tokens += long_tokens

    def finish_request(self, extra_tokens: int, long_tokens: int, now: float) -> None:
        """Records that a request has ended; ``extra_tokens`` corrects the charged estimate."""
        self._tokens.level -= extra_tokens
        self._token_meter.add(max(0, extra_tokens), now)
        self._running -= 1
        self._long_tokens -= long_tokens
        self._last_request_at = now

    def is_idle(self, now: float) -> bool:
        """Returns whether no request runs and none came for ``idle_after_seconds``."""
        return self._running == 0 and now >= self._last_request_at + (
            self._settings.idle_after_seconds
        )

    def refill(self, share: Shares, now: float) -> None:
        """Refills the buckets up to ``now``."""
        self._refill(share, now)

    def can_be_dropped(self, now: float) -> bool:
        """Returns whether this object can be deleted.

        This is so once its buckets are full and it has no valid lease: one created anew would not
        admit more requests.
        """
        full = self._tokens.level >= 1.0 and self._requests.level >= 1.0
        return full and now >= self._lease_expires_at

    def needs_lease_request(
        self, home: VmId, fallback: Shares, slack: Shares, interval_factor: float, now: float
    ) -> bool:
        """Returns whether to send the home VM a lease request now.

        ``fallback`` is the share that the VM has without a lease; it suffices for rarely used
        accounts. Changes of demand by less than ``slack`` cause no request. ``interval_factor``
        multiplies the intervals between requests.
        """
        elapsed = (
            math.inf if self._requested_at is None else (now - self._requested_at) / interval_factor
        )
        if elapsed < self._settings.urgent_renew_seconds:
            return False
        if now >= self._lease_expires_at:
            return self._needs_lease(fallback, slack, now)
        if self.is_idle(now) or home != self._lease_home:
            return True
        if 2 * now >= (self._requested_at or 0.0) + self._lease_expires_at:
            return self._needs_lease(fallback, slack, now)
        if elapsed >= self._renew_seconds:
            demand = self._demand(slack, now)
            return self._refused_since_request or self._requested.exceeds(
                demand, 1 / DEMAND_DECREASE_FACTOR, slack
            )
        return elapsed >= self._renew_seconds / 4 and self._has_increased(slack, now)

    def request_share(self, slack: Shares, now: float) -> Shares:
        """Returns the demand to request, and reduces the current lease to it.

        For an idle account, gives the lease up and returns ``NO_SHARES``.
        """
        self._requested_at = now
        self._refused_since_request = False
        if self.is_idle(now):
            self._requested = self._lease = NO_SHARES
            self._lease_expires_at = now
            return NO_SHARES
        self._requested = self._demand(slack, now)
        self._lease = self._lease.at_most(self._requested)
        return self._requested

    def current_lease(self, now: float) -> Shares:
        """Returns the share of the current lease, or ``NO_SHARES`` if it has expired."""
        return self._lease if now < self._lease_expires_at else NO_SHARES

    def apply_lease(
        self, home: VmId, shares: Shares, expires_at: float, renew_seconds: float
    ) -> None:
        """Replaces the lease; ``expires_at`` is in seconds of the caller's clock."""
        self._lease_home = home
        self._lease = shares
        self._lease_expires_at = expires_at
        self._renew_seconds = renew_seconds

    def _needs_lease(self, fallback: Shares, slack: Shares, now: float) -> bool:
        if self._refused_since_request:
            return True
        measured = self._measured_demand(slack, now).scaled(self._settings.headroom)
        return not self.is_idle(now) and measured.exceeds(
            fallback, FALLBACK_DEMAND_FRACTION, NO_SHARES
        )

    def _has_increased(self, slack: Shares, now: float) -> bool:
        demand = self._demand(slack, now)
        return self._refused_since_request and demand.exceeds(
            self._requested, DEMAND_INCREASE_FACTOR, slack
        )

    def _demand(self, slack: Shares, now: float) -> Shares:
        """Returns the measured demand plus one concurrent request, multiplied by ``headroom``."""
        demand = self._measured_demand(slack, now) + Shares(concurrency=1.0)
        return demand.scaled(self._settings.headroom)

    def _measured_demand(self, slack: Shares, now: float) -> Shares:
        """Returns the estimated amounts that this VM would use if it had the undivided limits."""
        return Shares(
            requests_per_second=self._request_meter.read(slack.requests_per_second, now),
            tokens_per_second=self._token_meter.read(slack.tokens_per_second, now),
            concurrency=self._running + self._refused_concurrency.read(now),
            long_tokens=self._long_tokens + self._refused_long.read(now),
        )

    def _find_exceeded_limit(
        self, long_tokens: int, share: Shares, now: float
    ) -> Optional[ExceededLimit]:
        self._refill(share, now)
        retry_after = self._settings.renew_seconds
        if self._running >= max(1.0, share.concurrency):
            return ExceededLimit(ResultCode.CONCURRENCY_LIMIT, retry_after)
        if long_tokens and self._long_tokens >= share.long_tokens:
            return ExceededLimit(ResultCode.LONG_PROMPT_LIMIT, retry_after)
        if self._requests.level < 1.0:
            wait = self._requests.seconds_until_positive(1.0, share.requests_per_second)
            return ExceededLimit(ResultCode.REQUEST_RATE_LIMIT, wait)
        if self._tokens.level <= 0.0:
            wait = self._tokens.seconds_until_positive(1.0, share.tokens_per_second)
            return ExceededLimit(ResultCode.TOKEN_RATE_LIMIT, wait)
        return None

    def _refill(self, share: Shares, now: float) -> None:
        burst = self._settings.burst_seconds
        requests, tokens = share.requests_per_second, share.tokens_per_second
        self._requests.refill(requests, max(1.0, requests * burst), now)
        self._tokens.refill(tokens, max(1.0, tokens * burst), now)

    def _record_refusal(self, exceeded: ExceededLimit, long_tokens: int, now: float) -> None:
        self._refused_since_request = True
        if exceeded.code is ResultCode.CONCURRENCY_LIMIT:
            self._refused_concurrency.add(1.0, now)
        if exceeded.code is ResultCode.LONG_PROMPT_LIMIT:
            self._refused_long.add(long_tokens, now)
