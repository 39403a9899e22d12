"""The home VM's side: answers asks for shares of the accounts that it is home to."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._ledger import LedgerAsk, ShareLedger
from camphordrift.account_limits._messages import ShareAsk, ShareDemand, ShareGrant, ShareLease
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import AccountId, VmId

#: No lease is longer, in seconds.
LONGEST_LEASE_SECONDS = 60.0

#: What an ask for one account and its answer cost, in bytes.
LEASE_BYTES = 560

#: Returns the VM that is home to an account, among the given ones.
ChooseHome = Callable[[AccountId, tuple[VmId, ...]], VmId]


class ShareHome:
    """Hands out shares, and waits out the leases of earlier home VMs.

    For ``lease_seconds`` after it has become home to an account, a VM only confirms the leases
    that others report to hold. A VM that holds a lease asks a new home at once, so by then the
    new home knows all leases, but for those of VMs that cannot reach it.
    """

    def __init__(
        self, own: VmId, settings: LimiterSettings, choose_home: ChooseHome, now: float
    ) -> None:
        self._own = own
        self._settings = settings
        self._choose_home = choose_home
        self._ledgers: dict[AccountId, ShareLedger] = {}
        self._candidates: tuple[VmId, ...] = (own,)
        self._earlier: deque[tuple[float, tuple[VmId, ...]]] = deque()
        self._started_at = now
        self._counts = {"asks": 0, "not_home": 0, "confirmed_only": 0}

    def set_candidates(self, candidates: tuple[VmId, ...], now: float) -> None:
        """Takes the VMs among which homes are chosen."""
        if candidates == self._candidates:
            return
        self._earlier.append((now, self._candidates))
        self._candidates = candidates
        self._forget_earlier(now)

    def on_ask(
        self,
        sender: VmId,
        ask: ShareAsk,
        limits: Mapping[AccountId, Shares],
        fleet: FleetSize,
        now: float,
    ) -> Result[ShareGrant, results.Failure]:
        """Returns the shares of all accounts asked for; refuses if it is not home to one."""
        self._counts["asks"] += 1
        self._forget_earlier(now)
        leases: list[ShareLease] = []
        for demand in ask.demands:
            if self._choose_home(demand.account_id, self._candidates) != self._own:
                return Failure(self._not_home(demand.account_id))
            limit = limits.get(demand.account_id, NO_SHARES)
            leases.append(self._answer(sender, demand, limit, fleet, ask.lease_seconds, now))
        return Success(ShareGrant(tuple(leases)))

    def on_tick(self, now: float) -> None:
        """Forgets accounts of which no VM has a lease."""
        for account_id, ledger in list(self._ledgers.items()):
            ledger.expire(now)
            if ledger.is_empty:
                del self._ledgers[account_id]

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        leases = {
            account_id: {
                vm_id: round(shares.requests_per_second, 3)
                for vm_id, shares in sorted(ledger.leases().items())
            }
            for account_id, ledger in sorted(self._ledgers.items())
        }
        return {"requests_per_second_by_account_and_vm": leases, **self._counts}

    def _answer(
        self,
        sender: VmId,
        demand: ShareDemand,
        limits: Shares,
        fleet: FleetSize,
        wanted_seconds: float,
        now: float,
    ) -> ShareLease:
        ledger = self._ledgers.setdefault(demand.account_id, ShareLedger(self._settings))
        renew = max(self._settings.renew_seconds, self._round_seconds(ledger.vm_count))
        seconds = min(max(wanted_seconds, 2 * renew), LONGEST_LEASE_SECONDS)
        held = demand.held.at_most(limits)
        if self._may_know_too_little(demand.account_id, now):
            self._counts["confirmed_only"] += 1
            safe = limits.scaled(self._settings.safe_fraction / fleet.known)
            shares = held.at_least(safe)
            ledger.adopt(sender, LedgerAsk(demand.demand, shares, seconds), now)
        else:
            asked = LedgerAsk(demand.demand, held, seconds)
            shares = ledger.on_ask(sender, asked, limits, fleet, now)
        return ShareLease(demand.account_id, shares, seconds, renew)

    def _round_seconds(self, vm_count: int) -> float:
        """Returns how long so many VMs take to ask once each, within the bytes for one account."""
        return vm_count * LEASE_BYTES / self._settings.home_bytes_per_second

    def _may_know_too_little(self, account_id: AccountId, now: float) -> bool:
        """Tells whether leases of an earlier home VM may still be in force."""
        since = self._home_since(account_id)
        return now < since + self._settings.lease_seconds

    def _forget_earlier(self, now: float) -> None:
        """Forgets candidates under whom no lease can still be in force."""
        while self._earlier and self._earlier[0][0] <= now - self._settings.lease_seconds:
            self._earlier.popleft()

    def _home_since(self, account_id: AccountId) -> float:
        since = self._started_at
        for until, candidates in self._earlier:
            if self._choose_home(account_id, candidates) != self._own:
                since = until
        return since

    def _not_home(self, account_id: AccountId) -> results.Failure:
        self._counts["not_home"] += 1
        detail = f"{self._own} is not home to the account {account_id}"
        return results.Failure(results.ResultCode.NOT_HOME_VM, detail, 0.5)
