"""One VM's part in the limits of all client accounts."""

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
from camphordrift.account_limits._usage import AccountUsage, Excess
from camphordrift.configuration import AccountLimits
from camphordrift.identifiers import AccountId, VmId
from camphordrift.results import ResultCode

#: Longest time that a refused caller is told to wait, in seconds.
LONGEST_RETRY_AFTER_SECONDS = 60.0

#: Shortest time that a refused caller is told to wait, in seconds.
SHORTEST_RETRY_AFTER_SECONDS = 0.1

#: Changes of demand below this part of an equal share are not worth an ask.
SLACK_FRACTION = 0.5

#: What an ask and its answer cost besides the accounts in them, in bytes.
ASK_BYTES = 260

#: What each account adds to an ask and its answer, in bytes.
ACCOUNT_BYTES = 300

_DETAILS = {
    ResultCode.CONCURRENCY_LIMIT: "too many requests of the account run at once",
    ResultCode.LONG_PROMPT_LIMIT: "long prompts of the account take up their share of memory",
    ResultCode.REQUEST_RATE_LIMIT: "the account's requests per second are used up",
    ResultCode.TOKEN_RATE_LIMIT: "the account's tokens per second are used up",
    ResultCode.QUEUE_FULL: "the VM runs too many requests, and the account more than its part",
}


@dataclass(frozen=True)
class Admission:
    """A request that was admitted; it has to be released when it ends."""

    #: The account.
    account_id: AccountId

    #: Tokens that were charged.
    tokens: int

    #: Tokens of it that count as those of a long prompt.
    long_tokens: int


class AccountLimiter:
    """Admits requests within this VM's shares of the accounts' limits.

    Without a lease, because no request came lately or the home VM does not answer, the VM uses its
    safe share: ``safe_fraction`` of the limit divided by the number of known VMs, and at least one
    request at a time.

    In any period of T seconds, all VMs together admit at most ``X * L * (T + burst_seconds)`` of a
    rate L, plus one request for each VM. X is 1 while the VMs agree on who is home, at most
    ``1 + safe_fraction`` for ``lease_seconds`` after a VM has joined, and below 1.5 (plus
    ``safe_fraction``) while the fleet is split in two. Of a stock S, they use at most ``X * S``
    plus one request for each VM.
    """

    def __init__(self, settings: LimiterSettings, now: float) -> None:
        self._settings = settings
        self._limits: dict[AccountId, AccountLimits] = {}
        self._shares: dict[AccountId, Shares] = {}
        self._usages: dict[AccountId, AccountUsage] = {}
        self._fleet = FleetSize(live=1, known=1)
        self._running = 0
        self._ask_budget = DebtBucket(settings.ask_burst_bytes, now)
        self._refusals: dict[str, int] = {}

    @property
    def shares_of_limits(self) -> Mapping[AccountId, Shares]:
        """The whole limits of each account, for the home VM's side."""
        return self._shares

    @property
    def fleet(self) -> FleetSize:
        """The size of the fleet that is reckoned with."""
        return self._fleet

    @property
    def running(self) -> int:
        """Requests that run on this VM."""
        return self._running

    def set_limits(self, limits: Mapping[AccountId, AccountLimits], memory_tokens: int) -> None:
        """Takes the configured limits; ``memory_tokens`` is the engines' memory, all together.

        Accounts that are left out are refused.
        """
        self._limits = dict(limits)
        self._shares = {name: _whole(limit, memory_tokens) for name, limit in limits.items()}

    def set_fleet(self, fleet: FleetSize) -> None:
        """Takes the size of the fleet."""
        self._fleet = fleet

    def try_admit(
        self, account_id: AccountId, tokens: int, now: float, long_prompt: bool = False
    ) -> Result[Admission, results.Failure]:
        """Admits a request of so many prompt and expected answer tokens, or says when to ask again.

        ``long_prompt`` tells whether it counts against the account's share of long prompts.
        """
        limits = self._shares.get(account_id)
        if limits is None:
            code = ResultCode.NOT_PERMITTED
            return Failure(results.Failure(code, "no limits are configured for the account"))
        usage = self._usage_of(account_id, now)
        long_tokens = tokens if long_prompt else 0
        share = usage.share(limits, self._fleet, now)
        excess = usage.check(tokens, long_tokens, share, now) or self._crowded(account_id, usage)
        if excess is not None:
            return Failure(self._refusal(excess))
        usage.start(tokens, long_tokens)
        self._running += 1
        return Success(Admission(account_id, tokens, long_tokens))

    def release(self, admission: Admission, now: float, used_tokens: int | None = None) -> None:
        """Takes a request's end; ``used_tokens`` corrects what was charged at its start."""
        extra = 0 if used_tokens is None else used_tokens - admission.tokens
        usage = self._usage_of(admission.account_id, now)
        usage.end(extra, admission.long_tokens, now)
        self._running -= 1
        assert self._running >= 0 and usage.running >= 0, "a request was released twice"

    def has_lease(self, account_id: AccountId, now: float) -> bool:
        """Tells whether the home VM has given this VM a part of the account's limits."""
        usage = self._usages.get(account_id)
        return usage is not None and usage.held(now) != NO_SHARES

    def due_asks(self, home_of: Callable[[AccountId], VmId], now: float) -> Mapping[VmId, ShareAsk]:
        """Returns what to ask which home VM now; forgets accounts that are idle."""
        self._forget_idle(now)
        stretch = self._stretch(now)
        seconds = self._settings.lease_seconds * stretch
        by_home: dict[VmId, list[ShareDemand]] = {}
        for account_id, usage in self._by_urgency():
            if not self._may_spend(now):
                break
            home = home_of(account_id)
            demand = self._due_demand(account_id, usage, home, stretch, now)
            if demand is not None:
                self._ask_budget.level -= ACCOUNT_BYTES + (0 if home in by_home else ASK_BYTES)
                by_home.setdefault(home, []).append(demand)
        return {home: ShareAsk(tuple(entries), seconds) for home, entries in by_home.items()}

    def on_grant(self, home: VmId, grant: ShareGrant, asked_at: float) -> None:
        """Takes leases, which hold from the time of asking; an empty one is no lease."""
        for lease in grant.leases:
            usage = self._usages.get(lease.account_id)
            if usage is not None and lease.shares != NO_SHARES:
                until = asked_at + lease.lease_seconds
                usage.on_lease(home, lease.shares, until, lease.renew_seconds)

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        accounts = {
            account_id: {
                "running": usage.running,
                "long_tokens": usage.long_tokens,
                "has_lease": usage.held(now) != NO_SHARES,
                "share": _dump(usage.share(self._limits_of(account_id), self._fleet, now)),
            }
            for account_id, usage in sorted(self._usages.items())
        }
        return {"running": self._running, "refusals": self._refusals, "accounts": accounts}

    def _by_urgency(self) -> list[tuple[AccountId, AccountUsage]]:
        """Returns the configured accounts in use, those that have refused requests first."""
        known = ((name, usage) for name, usage in self._usages.items() if name in self._shares)
        return sorted(known, key=lambda item: not item[1].has_refused)

    def _may_spend(self, now: float) -> bool:
        """Tells whether the bytes for asking allow one more ask."""
        settings = self._settings
        self._ask_budget.refill(settings.ask_bytes_per_second, settings.ask_burst_bytes, now)
        return self._ask_budget.level > 0

    def _due_demand(
        self, account_id: AccountId, usage: AccountUsage, home: VmId, stretch: float, now: float
    ) -> ShareDemand | None:
        limits = self._shares[account_id]
        safe = usage.safe_share(limits, self._fleet)
        slack = limits.scaled(SLACK_FRACTION / self._fleet.known)
        if not usage.needs_ask(home, safe, slack, stretch, now):
            return None
        return ShareDemand(account_id, usage.ask(slack, now), usage.held(now))

    def _limits_of(self, account_id: AccountId) -> Shares:
        return self._shares.get(account_id, NO_SHARES)

    def _usage_of(self, account_id: AccountId, now: float) -> AccountUsage:
        usage = self._usages.get(account_id)
        if usage is None:
            usage = AccountUsage(self._settings, now)
            self._usages[account_id] = usage
        return usage

    def _crowded(self, account_id: AccountId, usage: AccountUsage) -> Excess | None:
        """Keeps room on a crowded VM for accounts that run less than their weighted part of it.

        The parts allow for one more account of ordinary weight, which may come at any moment.
        """
        maximum = self._settings.maximum_running
        if self._running < maximum * self._settings.contended_fraction:
            return None
        active = {a for a, u in self._usages.items() if u.running} | {account_id}
        total = sum((self._limits[a].weight for a in active if a in self._limits), 1.0)
        fair = maximum * self._limits[account_id].weight / total
        if self._running < maximum and usage.running < fair:
            return None
        return Excess(ResultCode.QUEUE_FULL, self._settings.renew_seconds)

    def _stretch(self, now: float) -> float:
        """Returns how much less often to ask, so that asking stays within its bytes."""
        active = sum(not usage.is_idle(now) for usage in self._usages.values())
        cost = active * ACCOUNT_BYTES + min(active, self._fleet.known) * ASK_BYTES
        return max(1.0, cost / self._settings.renew_seconds / self._settings.ask_bytes_per_second)

    def _forget_idle(self, now: float) -> None:
        for account_id, usage in list(self._usages.items()):
            if usage.is_idle(now):
                limits = self._limits_of(account_id)
                usage.settle(usage.share(limits, self._fleet, now), now)
                if usage.may_be_forgotten(now):
                    del self._usages[account_id]

    def _refusal(self, excess: Excess) -> results.Failure:
        name = excess.code.name.lower()
        self._refusals[name] = self._refusals.get(name, 0) + 1
        wait = max(SHORTEST_RETRY_AFTER_SECONDS, excess.retry_after_seconds)
        retry_after = min(wait, LONGEST_RETRY_AFTER_SECONDS)
        return results.Failure(excess.code, _DETAILS[excess.code], retry_after)


def _whole(limits: AccountLimits, memory_tokens: int) -> Shares:
    return Shares(
        requests_per_second=limits.requests_per_second,
        tokens_per_second=limits.tokens_per_second,
        concurrency=float(limits.concurrency),
        long_tokens=limits.long_prompt_share * memory_tokens,
    )


def _dump(shares: Shares) -> dict[str, float]:
    return {
        "requests_per_second": round(shares.requests_per_second, 3),
        "tokens_per_second": round(shares.tokens_per_second, 1),
        "concurrency": round(shares.concurrency, 2),
        "long_tokens": round(shares.long_tokens),
    }
