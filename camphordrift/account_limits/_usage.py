"""One VM's use of one account's limits."""

import math
from dataclasses import dataclass
from typing import Optional

from camphordrift.account_limits._buckets import DebtBucket, DemandMeter, RateMeter
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import VmId
from camphordrift.results import ResultCode

#: A demand that has grown by this factor is asked for at once.
DEMAND_JUMP = 1.5

#: A demand that has fallen to this part of what was asked for is told.
DEMAND_DROP = 0.5


#: A demand below this part of the safe share needs no lease.
SAFE_PART = 0.5


@dataclass(frozen=True)
class Excess:
    """Which limit a request would exceed."""

    #: The code that names it.
    code: ResultCode

    #: When there is room again, in seconds, if nothing else changes.
    retry_after_seconds: float


class AccountUsage:
    """Checks requests against this VM's share, and meters what it could use."""

    def __init__(self, settings: LimiterSettings, now: float) -> None:
        self._settings = settings
        self._lease = NO_SHARES
        self._lease_until = now
        self._lease_home: Optional[VmId] = None
        self._requests = DebtBucket(1.0, now)
        self._tokens = DebtBucket(1.0, now)
        self._request_meter = DemandMeter.starting(settings.demand_window_seconds, now)
        self._token_meter = DemandMeter.starting(settings.demand_window_seconds, now)
        self._refused_running = RateMeter(settings.demand_window_seconds, now)
        self._refused_long = RateMeter(settings.demand_window_seconds, now)
        self._running = 0
        self._long_tokens = 0
        self._last_request_at = now
        self._refused_since_ask = False
        self._asked_at: Optional[float] = None
        self._asked = NO_SHARES
        self._renew_seconds = settings.renew_seconds

    @property
    def has_refused(self) -> bool:
        """True if a request was refused since the last ask."""
        return self._refused_since_ask

    @property
    def running(self) -> int:
        """Requests that run."""
        return self._running

    @property
    def long_tokens(self) -> int:
        """Tokens of long prompts that run."""
        return self._long_tokens

    def share(self, limits: Shares, fleet: FleetSize, now: float) -> Shares:
        """Returns what this VM may use: its lease, or the safe share if it has none."""
        if now < self._lease_until:
            return self._lease
        return self.safe_share(limits, fleet)

    def safe_share(self, limits: Shares, fleet: FleetSize) -> Shares:
        """Returns what this VM may use without a lease."""
        safe = limits.scaled(self._settings.safe_fraction / fleet.known)
        return safe.at_least(Shares(concurrency=1.0))

    def check(self, tokens: int, long_tokens: int, share: Shares, now: float) -> Optional[Excess]:
        """Returns the limit that a request would exceed, ``None`` if there is room for it.

        The request counts as demand either way.
        """
        self._last_request_at = now
        self._request_meter.add(1.0, now)
        self._token_meter.add(tokens, now)
        excess = self._find_excess(long_tokens, share, now)
        if excess is not None:
            self._note_refusal(excess, long_tokens, now)
        return excess

    def start(self, tokens: int, long_tokens: int) -> None:
        """Charges a request that was admitted."""
        self._requests.level -= 1.0
        self._tokens.level -= tokens
        self._running += 1
        self._long_tokens += long_tokens

    def end(self, extra_tokens: int, long_tokens: int, now: float) -> None:
        """Takes a request's end; ``extra_tokens`` corrects the estimate that was charged."""
        self._tokens.level -= extra_tokens
        self._token_meter.add(max(0, extra_tokens), now)
        self._running -= 1
        self._long_tokens -= long_tokens
        self._last_request_at = now

    def is_idle(self, now: float) -> bool:
        """Tells whether nothing runs and no request came for a while."""
        return self._running == 0 and now >= self._last_request_at + (
            self._settings.idle_after_seconds
        )

    def settle(self, share: Shares, now: float) -> None:
        """Brings debts up to date while no request comes."""
        self._refill(share, now)

    def may_be_forgotten(self, now: float) -> bool:
        """Tells whether a fresh start would allow no more than going on would."""
        full = self._tokens.level >= 1.0 and self._requests.level >= 1.0
        return full and now >= self._lease_until

    def needs_ask(
        self, home: VmId, safe: Shares, slack: Shares, stretch: float, now: float
    ) -> bool:
        """Tells whether the home VM is to be asked now.

        ``safe`` is the share without a lease, which suffices for accounts that are rarely used;
        ``slack`` is what is not worth an ask; ``stretch`` makes asks rarer.
        """
        waited = math.inf if self._asked_at is None else (now - self._asked_at) / stretch
        if waited < self._settings.urgent_renew_seconds:
            return False
        if now >= self._lease_until:
            return self._needs_lease(safe, slack, now)
        if self.is_idle(now) or home != self._lease_home:
            return True
        if 2 * now >= (self._asked_at or 0.0) + self._lease_until:
            return self._needs_lease(safe, slack, now)
        if waited >= self._renew_seconds:
            demand = self._demand(slack, now)
            return self._refused_since_ask or self._asked.outgrows(demand, 1 / DEMAND_DROP, slack)
        return waited >= self._renew_seconds / 4 and self._has_jumped(slack, now)

    def ask(self, slack: Shares, now: float) -> Shares:
        """Returns what this VM could use, and gives back what it has beyond that.

        An idle account gives back its whole lease, and demands nothing.
        """
        self._asked_at = now
        self._refused_since_ask = False
        if self.is_idle(now):
            self._asked = self._lease = NO_SHARES
            self._lease_until = now
            return NO_SHARES
        self._asked = self._demand(slack, now)
        self._lease = self._lease.at_most(self._asked)
        return self._asked

    def held(self, now: float) -> Shares:
        """Returns the lease in force."""
        return self._lease if now < self._lease_until else NO_SHARES

    def on_lease(self, home: VmId, shares: Shares, until: float, renew_seconds: float) -> None:
        """Takes a lease, and how often to ask for more."""
        self._lease_home = home
        self._lease = shares
        self._lease_until = until
        self._renew_seconds = renew_seconds

    def _needs_lease(self, safe: Shares, slack: Shares, now: float) -> bool:
        if self._refused_since_ask:
            return True
        seen = self._seen(slack, now).scaled(self._settings.headroom)
        return not self.is_idle(now) and seen.outgrows(safe, SAFE_PART, NO_SHARES)

    def _has_jumped(self, slack: Shares, now: float) -> bool:
        demand = self._demand(slack, now)
        return self._refused_since_ask and demand.outgrows(self._asked, DEMAND_JUMP, slack)

    def _demand(self, slack: Shares, now: float) -> Shares:
        """Returns what this VM could use, with headroom and room for one more request."""
        more = self._seen(slack, now) + Shares(concurrency=1.0)
        return more.scaled(self._settings.headroom)

    def _seen(self, slack: Shares, now: float) -> Shares:
        """Returns what this VM would use if it had the whole limits."""
        return Shares(
            requests_per_second=self._request_meter.read(slack.requests_per_second, now),
            tokens_per_second=self._token_meter.read(slack.tokens_per_second, now),
            concurrency=self._running + self._refused_running.read(now),
            long_tokens=self._long_tokens + self._refused_long.read(now),
        )

    def _find_excess(self, long_tokens: int, share: Shares, now: float) -> Optional[Excess]:
        self._refill(share, now)
        soon = self._settings.renew_seconds
        if self._running >= max(1.0, share.concurrency):
            return Excess(ResultCode.CONCURRENCY_LIMIT, soon)
        if long_tokens and self._long_tokens >= share.long_tokens:
            return Excess(ResultCode.LONG_PROMPT_LIMIT, soon)
        if self._requests.level < 1.0:
            wait = self._requests.seconds_until_positive(1.0, share.requests_per_second)
            return Excess(ResultCode.REQUEST_RATE_LIMIT, wait)
        if self._tokens.level <= 0.0:
            wait = self._tokens.seconds_until_positive(1.0, share.tokens_per_second)
            return Excess(ResultCode.TOKEN_RATE_LIMIT, wait)
        return None

    def _refill(self, share: Shares, now: float) -> None:
        burst = self._settings.burst_seconds
        requests, tokens = share.requests_per_second, share.tokens_per_second
        self._requests.refill(requests, max(1.0, requests * burst), now)
        self._tokens.refill(tokens, max(1.0, tokens * burst), now)

    def _note_refusal(self, excess: Excess, long_tokens: int, now: float) -> None:
        self._refused_since_ask = True
        if excess.code is ResultCode.CONCURRENCY_LIMIT:
            self._refused_running.add(1.0, now)
        if excess.code is ResultCode.LONG_PROMPT_LIMIT:
            self._refused_long.add(long_tokens, now)
