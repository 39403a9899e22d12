"""Admission of requests on one VM, within its shares of the limits of all client accounts."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.account_limits._buckets import DebtBucket
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._messages import ShareAsk, ShareDemand, ShareGrant
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.account_limits._usage import AccountUsage, ExceededLimit
from camphordrift.configuration import AccountLimits
from camphordrift.identifiers import AccountId, VmId
from camphordrift.results import ResultCode

#: Maximum number of seconds after which a refusal tells the caller to retry.
MAX_RETRY_AFTER_SECONDS = 60.0

#: Minimum number of seconds after which a refusal tells the caller to retry.
MIN_RETRY_AFTER_SECONDS = 0.1

#: Minimum change of demand that causes a lease request, as a fraction of the limits divided by the
#: number of known VMs.
SLACK_FRACTION = 0.5

#: Approximate size in bytes of a lease request and its response, without the accounts in them.
REQUEST_BYTES = 260

#: Approximate number of bytes that each account adds to a lease request and its response.
DEMAND_BYTES = 300

_REFUSAL_DETAILS = {
    ResultCode.CONCURRENCY_LIMIT: "the account has reached its limit of concurrent requests",
    ResultCode.LONG_PROMPT_LIMIT: "the account's long prompts use their full share of memory",
    ResultCode.REQUEST_RATE_LIMIT: "the account has reached its limit of requests per second",
    ResultCode.TOKEN_RATE_LIMIT: "the account has reached its limit of tokens per second",
    ResultCode.QUEUE_FULL: "the VM is near capacity and the account is above its weighted share",
}


@dataclass(frozen=True)
class Admission:
    """An admitted request. Pass it to :meth:`AccountLimiter.release` when the request ends."""

    #: The account that the request is charged to.
    account_id: AccountId

    #: Tokens charged at admission.
    tokens: int

    #: Tokens that count against the account's share of long prompts; 0 for a short prompt.
    long_tokens: int


class AccountLimiter:
    """Admits requests within this VM's shares of the accounts' limits.

    Without a lease, because no request came recently or the home VM does not respond, the VM uses
    its fallback share: ``fallback_fraction`` of the limit divided by the number of known VMs, and
    at least one request at a time.

    If a limit allows the rate L, all VMs together admit at most ``X * L * (T + burst_seconds)`` in
    any period of T seconds, plus one request for each VM. If it allows S concurrent requests or
    tokens, they use at most ``X * S`` at a time, plus one request for each VM. X is 1 while the VMs
    agree on the home VM, at most ``1 + fallback_fraction`` for ``lease_seconds`` after a VM has
    joined, and below 1.5 (plus ``fallback_fraction``) while a network partition splits the fleet in
    two.
    """

    def __init__(self, settings: LimiterSettings, now: float) -> None:
        self._settings = settings
        self._limits: dict[AccountId, AccountLimits] = {}
        self._shares: dict[AccountId, Shares] = {}
        self._usages: dict[AccountId, AccountUsage] = {}
        self._fleet = FleetSize(live=1, known=1)
        self._running = 0
        self._request_budget = DebtBucket(settings.request_burst_bytes, now)
        self._refusals: dict[str, int] = {}

    @property
    def account_limits(self) -> Mapping[AccountId, Shares]:
        """The configured limits of each account, which its home VM divides among the VMs."""
        return self._shares

    @property
    def fleet(self) -> FleetSize:
        """The numbers of live and known VMs, as last passed to :meth:`set_fleet`."""
        return self._fleet

    @property
    def running(self) -> int:
        """Number of running requests on this VM."""
        return self._running

    def set_limits(self, limits: Mapping[AccountId, AccountLimits], memory_tokens: int) -> None:
        """Sets the configured limits; ``memory_tokens`` is the total memory of all engines.

        Requests of accounts that are not in ``limits`` are refused.
        """
        self._limits = dict(limits)
        self._shares = {
            name: _shares_from_limits(limit, memory_tokens) for name, limit in limits.items()
        }

    def set_fleet(self, fleet: FleetSize) -> None:
        """Sets the numbers of live and known VMs, on which the fallback shares depend."""
        self._fleet = fleet

    def try_admit(
        self, account_id: AccountId, tokens: int, now: float, long_prompt: bool = False
    ) -> Result[Admission, results.Failure]:
        """Admits or refuses a request; a refusal contains a retry delay.

        ``tokens`` is the number of its prompt tokens and expected output tokens. If ``long_prompt``
        is true, they also count against the account's share of long prompts.
        """
        limits = self._shares.get(account_id)
        if limits is None:
            code = ResultCode.NOT_PERMITTED
            return Failure(results.Failure(code, "no limits are configured for the account"))
        usage = self._usage_of(account_id, now)
        long_tokens = tokens if long_prompt else 0
        share = usage.share(limits, self._fleet, now)
        exceeded = usage.record_demand_and_find_exceeded_limit(
            tokens, long_tokens, share, now
        ) or self._check_vm_capacity(account_id, usage)
        if exceeded is not None:
            return Failure(self._refusal_failure(exceeded))
        usage.charge_request(tokens, long_tokens)
        self._running += 1
        return Success(Admission(account_id, tokens, long_tokens))

    def release(self, admission: Admission, now: float, used_tokens: int | None = None) -> None:
        """Records that a request has ended; ``used_tokens`` replaces the tokens charged for it."""
        extra = 0 if used_tokens is None else used_tokens - admission.tokens
        usage = self._usage_of(admission.account_id, now)
        usage.finish_request(extra, admission.long_tokens, now)
        self._running -= 1
        assert self._running >= 0 and usage.running >= 0, "a request was released more than once"

    def has_lease(self, account_id: AccountId, now: float) -> bool:
        """Returns whether this VM has a valid lease for the account."""
        usage = self._usages.get(account_id)
        return usage is not None and usage.current_lease(now) != NO_SHARES

    def due_lease_requests(
        self, home_of: Callable[[AccountId], VmId], now: float
    ) -> Mapping[VmId, ShareAsk]:
        """Returns the lease requests to send now, by the home VM that they are for.

        Also removes idle accounts from memory.
        """
        self._drop_idle_accounts(now)
        interval_factor = self._interval_factor(now)
        lease_seconds = self._settings.lease_seconds * interval_factor
        by_home: dict[VmId, list[ShareDemand]] = {}
        for account_id, usage in self._by_urgency():
            if not self._has_request_budget(now):
                break
            home = home_of(account_id)
            demand = self._due_demand(account_id, usage, home, interval_factor, now)
            if demand is not None:
                self._request_budget.level -= DEMAND_BYTES + (
                    0 if home in by_home else REQUEST_BYTES
                )
                by_home.setdefault(home, []).append(demand)
        return {home: ShareAsk(tuple(entries), lease_seconds) for home, entries in by_home.items()}

    def apply_grant(self, home: VmId, grant: ShareGrant, requested_at: float) -> None:
        """Applies granted leases, which run from ``requested_at``; ignores empty ones."""
        for lease in grant.leases:
            usage = self._usages.get(lease.account_id)
            if usage is not None and lease.shares != NO_SHARES:
                expires_at = requested_at + lease.lease_seconds
                usage.apply_lease(home, lease.shares, expires_at, lease.renew_seconds)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns running requests, refusals and shares for the state dump."""
        accounts = {
            account_id: {
                "running": usage.running,
                "long_tokens": usage.long_tokens,
                "has_lease": usage.current_lease(now) != NO_SHARES,
                "share": _shares_to_dict(
                    usage.share(self._limits_of(account_id), self._fleet, now)
                ),
            }
            for account_id, usage in sorted(self._usages.items())
        }
        return {"running": self._running, "refusals": self._refusals, "accounts": accounts}

    def _by_urgency(self) -> list[tuple[AccountId, AccountUsage]]:
        """Returns the accounts in use that have limits, those with refused requests first."""
        known = ((name, usage) for name, usage in self._usages.items() if name in self._shares)
        return sorted(known, key=lambda item: not item[1].has_refused)

    def _has_request_budget(self, now: float) -> bool:
        """Returns whether the control traffic budget allows one more lease request."""
        settings = self._settings
        self._request_budget.refill(
            settings.request_bytes_per_second, settings.request_burst_bytes, now
        )
        return self._request_budget.level > 0

    def _due_demand(
        self,
        account_id: AccountId,
        usage: AccountUsage,
        home: VmId,
        interval_factor: float,
        now: float,
    ) -> ShareDemand | None:
        limits = self._shares[account_id]
        fallback = usage.fallback_share(limits, self._fleet)
        slack = limits.scaled(SLACK_FRACTION / self._fleet.known)
        if not usage.needs_lease_request(home, fallback, slack, interval_factor, now):
            return None
        return ShareDemand(account_id, usage.request_share(slack, now), usage.current_lease(now))

    def _limits_of(self, account_id: AccountId) -> Shares:
        return self._shares.get(account_id, NO_SHARES)

    def _usage_of(self, account_id: AccountId, now: float) -> AccountUsage:
        usage = self._usages.get(account_id)
        if usage is None:
            usage = AccountUsage(self._settings, now)
            self._usages[account_id] = usage
        return usage

    def _check_vm_capacity(
        self, account_id: AccountId, usage: AccountUsage
    ) -> ExceededLimit | None:
        """Returns ``QUEUE_FULL`` if the VM is near ``max_running_requests`` and must refuse.

        Once ``contended_fraction`` of that maximum is in use, the rest is kept for accounts below
        their weighted share of the VM. The weighted shares leave room for one more account of
        weight 1, whose requests may start at any time.
        """
        maximum = self._settings.max_running_requests
        if self._running < maximum * self._settings.contended_fraction:
            return None
        active = {a for a, u in self._usages.items() if u.running} | {account_id}
        total = sum((self._limits[a].weight for a in active if a in self._limits), 1.0)
        fair = maximum * self._limits[account_id].weight / total
        if self._running < maximum and usage.running < fair:
            return None
        return ExceededLimit(ResultCode.QUEUE_FULL, self._settings.renew_seconds)

    def _interval_factor(self, now: float) -> float:
        """Returns the factor by which request intervals grow to keep within the byte rate."""
        active = sum(not usage.is_idle(now) for usage in self._usages.values())
        cost = active * DEMAND_BYTES + min(active, self._fleet.known) * REQUEST_BYTES
        return max(
            1.0, cost / self._settings.renew_seconds / self._settings.request_bytes_per_second
        )

    def _drop_idle_accounts(self, now: float) -> None:
        for account_id, usage in list(self._usages.items()):
            if usage.is_idle(now):
                limits = self._limits_of(account_id)
                usage.refill(usage.share(limits, self._fleet, now), now)
                if usage.can_be_dropped(now):
                    del self._usages[account_id]

    def _refusal_failure(self, exceeded: ExceededLimit) -> results.Failure:
        name = exceeded.code.name.lower()
        self._refusals[name] = self._refusals.get(name, 0) + 1
        wait = max(MIN_RETRY_AFTER_SECONDS, exceeded.retry_after_seconds)
        retry_after = min(wait, MAX_RETRY_AFTER_SECONDS)
        return results.Failure(exceeded.code, _REFUSAL_DETAILS[exceeded.code], retry_after)


def _shares_from_limits(limits: AccountLimits, memory_tokens: int) -> Shares:
    return Shares(
        requests_per_second=limits.requests_per_second,
        tokens_per_second=limits.tokens_per_second,
        concurrency=float(limits.concurrency),
        long_tokens=limits.long_prompt_share * memory_tokens,
    )


def _shares_to_dict(shares: Shares) -> dict[str, float]:
    return {
        "requests_per_second": round(shares.requests_per_second, 3),
        "tokens_per_second": round(shares.tokens_per_second, 1),
        "concurrency": round(shares.concurrency, 2),
        "long_tokens": round(shares.long_tokens),
    }
