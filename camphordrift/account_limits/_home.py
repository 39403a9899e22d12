"""Grants leases of shares on the home VM of an account, the VM that coordinates its limits."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.account_limits._allocator import LeaseRequest, ShareAllocator
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._messages import ShareAsk, ShareDemand, ShareGrant, ShareLease
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import AccountId, VmId

#: Maximum duration of a lease in seconds.
MAX_LEASE_SECONDS = 60.0

#: Approximate size in bytes of a lease request for one account, together with its response.
LEASE_BYTES = 560

#: Returns the home VM of an account, chosen among the given VMs.
ChooseHome = Callable[[AccountId, tuple[VmId, ...]], VmId]


class ShareHome:
    """Grants leases for the accounts whose home VM this is.

    Leases that an earlier home VM granted are still valid for up to ``lease_seconds``. For that
    long after it has become the home VM of an account, a VM only confirms the leases that other VMs
    report. A VM with a lease sends a request to a new home VM at once. So, by the end of that time,
    the new home VM knows all leases except those of VMs that cannot reach it.
    """

    def __init__(
        self, own_vm: VmId, settings: LimiterSettings, choose_home: ChooseHome, now: float
    ) -> None:
        self._own_vm = own_vm
        self._settings = settings
        self._choose_home = choose_home
        self._allocators: dict[AccountId, ShareAllocator] = {}
        self._candidates: tuple[VmId, ...] = (own_vm,)
        self._earlier_candidates: deque[tuple[float, tuple[VmId, ...]]] = deque()
        self._started_at = now
        self._counts = {"asks": 0, "not_home": 0, "confirmed_only": 0}

    def set_candidates(self, candidates: tuple[VmId, ...], now: float) -> None:
        """Sets the VMs among which home VMs are chosen."""
        if candidates == self._candidates:
            return
        self._earlier_candidates.append((now, self._candidates))
        self._candidates = candidates
        self._drop_earlier_candidates(now)

    def handle_lease_request(
        self,
        sender: VmId,
        request: ShareAsk,
        limits: Mapping[AccountId, Shares],
        fleet: FleetSize,
        now: float,
    ) -> Result[ShareGrant, results.Failure]:
        """Grants a lease for each requested account.

        Fails with ``NOT_HOME_VM`` if another VM is the home of one of them.
        """
        self._counts["asks"] += 1
        self._drop_earlier_candidates(now)
        leases: list[ShareLease] = []
        for demand in request.demands:
            if self._choose_home(demand.account_id, self._candidates) != self._own_vm:
                return Failure(self._not_home_failure(demand.account_id))
            limit = limits.get(demand.account_id, NO_SHARES)
            leases.append(
                self._grant_lease(sender, demand, limit, fleet, request.lease_seconds, now)
            )
        return Success(ShareGrant(tuple(leases)))

    def on_tick(self, now: float) -> None:
        """Removes expired leases, and accounts without a lease."""
        for account_id, allocator in list(self._allocators.items()):
            allocator.expire(now)
            if allocator.is_empty:
                del self._allocators[account_id]

    def dump_state(self) -> dict[str, Any]:
        """Returns the granted request rates and the counters for the state dump."""
        leases = {
            account_id: {
                vm_id: round(shares.requests_per_second, 3)
                for vm_id, shares in sorted(allocator.leases().items())
            }
            for account_id, allocator in sorted(self._allocators.items())
        }
        return {"requests_per_second_by_account_and_vm": leases, **self._counts}

    def _grant_lease(
        self,
        sender: VmId,
        demand: ShareDemand,
        limits: Shares,
        fleet: FleetSize,
        requested_seconds: float,
        now: float,
    ) -> ShareLease:
        allocator = self._allocators.setdefault(demand.account_id, ShareAllocator(self._settings))
        renew = max(self._settings.renew_seconds, self._min_renew_seconds(allocator.vm_count))
        seconds = min(max(requested_seconds, 2 * renew), MAX_LEASE_SECONDS)
        held = demand.held.at_most(limits)
        if self._earlier_leases_may_exist(demand.account_id, now):
            self._counts["confirmed_only"] += 1
            fallback = limits.scaled(self._settings.fallback_fraction / fleet.known)
            shares = held.at_least(fallback)
            allocator.record_existing_lease(
                sender, LeaseRequest(demand.demand, shares, seconds), now
            )
        else:
            lease_request = LeaseRequest(demand.demand, held, seconds)
            shares = allocator.allocate(sender, lease_request, limits, fleet, now)
        return ShareLease(demand.account_id, shares, seconds, renew)

    def _min_renew_seconds(self, vm_count: int) -> float:
        """Returns the minimum number of seconds between renewals of each of ``vm_count`` VMs.

        It keeps the requests for the account within ``home_bytes_per_second``.
        """
        return vm_count * LEASE_BYTES / self._settings.home_bytes_per_second

    def _earlier_leases_may_exist(self, account_id: AccountId, now: float) -> bool:
        """Returns whether leases of an earlier home VM may still be valid."""
        since = self._home_since(account_id)
        return now < since + self._settings.lease_seconds

    def _drop_earlier_candidates(self, now: float) -> None:
        """Removes earlier sets of candidates once all leases granted under them have expired."""
        while (
            self._earlier_candidates
            and self._earlier_candidates[0][0] <= now - self._settings.lease_seconds
        ):
            self._earlier_candidates.popleft()

    def _home_since(self, account_id: AccountId) -> float:
        since = self._started_at
        for until, candidates in self._earlier_candidates:
            if self._choose_home(account_id, candidates) != self._own_vm:
                since = until
        return since

    def _not_home_failure(self, account_id: AccountId) -> results.Failure:
        self._counts["not_home"] += 1
        detail = f"VM {self._own_vm} is not the home VM of account {account_id}"
        return results.Failure(results.ResultCode.NOT_HOME_VM, detail, 0.5)
