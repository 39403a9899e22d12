"""Allocates shares of one account's limits on its home VM, the VM that coordinates them."""

from dataclasses import dataclass

from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares, combine, divide_among
from camphordrift.identifiers import VmId

#: A renewed lease is reduced only if the VM's fair share is below this fraction of it. Smaller
#: reductions gain little, since the difference cannot be granted to another VM before this VM's
#: next request.
LEASE_CUT_THRESHOLD = 0.75


@dataclass(frozen=True)
class _LeaseEntry:
    """The home VM's record of the lease of one VM."""

    #: The demand that the VM reported in its last request.
    demand: Shares

    #: The share that the VM may be using. Of the last lease and the one before it, the larger
    #: amount counts, since the VM may not have received the last one.
    reserved: Shares

    #: When the lease expires, in seconds of the caller's clock.
    expires_at: float


@dataclass(frozen=True)
class LeaseRequest:
    """A VM's request for a lease of one account's limits."""

    #: The amounts that the VM could use if the limits were not divided.
    demand: Shares

    #: The share of the VM's current lease, as the VM reports it.
    held: Shares

    #: Duration of the new lease in seconds.
    lease_seconds: float


class ShareAllocator:
    """Divides one account's limits among the VMs that request leases.

    At any time the shares of all valid leases, plus the fallback shares that VMs without a lease
    use, are at most the limits. A VM that needs less reports a smaller share in its request, so
    another VM can get the difference at its own next request. If the allocator reduces a lease, the
    unreduced share counts until the VM's next request.
    """

    def __init__(self, settings: LimiterSettings) -> None:
        self._settings = settings
        self._entries: dict[VmId, _LeaseEntry] = {}

    @property
    def vm_count(self) -> int:
        """Number of VMs that have a lease."""
        return len(self._entries)

    @property
    def is_empty(self) -> bool:
        """True if no VM has a lease."""
        return not self._entries

    def allocate(
        self,
        vm_id: VmId,
        request: LeaseRequest,
        limits: Shares,
        fleet: FleetSize,
        now: float,
    ) -> Shares:
        """Returns the share granted to the requesting VM.

        If the VM reports a larger share than it is granted, the larger one counts until its next
        request. The response to this request can be lost, and then the VM uses the larger share
        until its lease expires.
        """
        self.expire(now)
        if request.demand == NO_SHARES:
            self._entries.pop(vm_id, None)
            return NO_SHARES
        expires_at = now + request.lease_seconds
        self._entries[vm_id] = _LeaseEntry(request.demand, NO_SHARES, expires_at)
        capacity = self._capacity(limits, fleet)
        fair = divide_among(capacity, {name: e.demand for name, e in self._entries.items()})
        others = self._total_reserved()
        share = combine(_without_small_reduction, fair[vm_id], request.held)
        lease = share.at_most((capacity - others).at_least(NO_SHARES))
        assert (lease + others).fits_within(
            capacity.at_least(others)
        ), "the leases exceed the limits"
        self._entries[vm_id] = _LeaseEntry(request.demand, lease.at_least(request.held), expires_at)
        return lease

    def record_existing_lease(self, vm_id: VmId, request: LeaseRequest, now: float) -> None:
        """Records a lease that an earlier home VM granted, so that it counts against the limits."""
        self.expire(now)
        self._entries[vm_id] = _LeaseEntry(
            request.demand, request.held, now + request.lease_seconds
        )

    def expire(self, now: float) -> None:
        """Removes expired leases."""
        self._entries = {name: e for name, e in self._entries.items() if now < e.expires_at}

    def leases(self) -> dict[VmId, Shares]:
        """Returns the reserved share of each VM that has a lease."""
        return {name: entry.reserved for name, entry in self._entries.items()}

    def _total_reserved(self) -> Shares:
        return sum((entry.reserved for entry in self._entries.values()), NO_SHARES)

    def _capacity(self, limits: Shares, fleet: FleetSize) -> Shares:
        """Returns the limits less the fallback shares of the VMs without a lease."""
        unleased = max(0, fleet.known - len(self._entries))
        fallback = self._settings.fallback_fraction * unleased / fleet.known
        return limits.scaled(fleet.visible_fraction * (1.0 - fallback))


def _without_small_reduction(fair: float, held: float) -> float:
    return held if LEASE_CUT_THRESHOLD * held <= fair < held else fair
