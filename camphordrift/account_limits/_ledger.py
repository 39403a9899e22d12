"""What an account's home VM hands out."""

from dataclasses import dataclass

from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares, combine, divide_among
from camphordrift.identifiers import VmId

#: A lease is cut only if the fair share is below this part of it: what is cut here cannot be given
#: to another VM before the next ask.
KEEP_FRACTION = 0.75


@dataclass(frozen=True)
class _Entry:
    """One VM's lease."""

    #: What it asked for.
    demand: Shares

    #: What it may be using: the last lease, and the one before until the VM is known to have
    #: received the last.
    counted: Shares

    #: When the lease lapses.
    expires_at: float


@dataclass(frozen=True)
class LedgerAsk:
    """What a VM wants of one account."""

    #: What it could use.
    demand: Shares

    #: What it says to hold.
    held: Shares

    #: For how long it will hold the answer, in seconds.
    lease_seconds: float


class ShareLedger:
    """Divides one account's limits among the VMs that ask.

    At any time the leases in force, plus the safe shares of the VMs without one, are at most the
    limits. A VM that needs less gives the rest back with its ask, so another gets it at its next
    ask. A lease that is cut here counts in full until the VM's next ask.
    """

    def __init__(self, settings: LimiterSettings) -> None:
        self._settings = settings
        self._entries: dict[VmId, _Entry] = {}

    @property
    def vm_count(self) -> int:
        """How many VMs have a lease."""
        return len(self._entries)

    @property
    def is_empty(self) -> bool:
        """True if no VM has a lease."""
        return not self._entries

    def on_ask(
        self,
        vm_id: VmId,
        ask: LedgerAsk,
        limits: Shares,
        fleet: FleetSize,
        now: float,
    ) -> Shares:
        """Returns the asking VM's share.

        What the VM says to hold counts until its next ask, since the answer to this one can be
        lost; the VM then goes on with the larger share until that lapses.
        """
        self.expire(now)
        if ask.demand == NO_SHARES:
            self._entries.pop(vm_id, None)
            return NO_SHARES
        expires_at = now + ask.lease_seconds
        self._entries[vm_id] = _Entry(ask.demand, NO_SHARES, expires_at)
        capacity = self._capacity(limits, fleet)
        fair = divide_among(capacity, {name: e.demand for name, e in self._entries.items()})
        others = self._counted()
        wanted = combine(_keep_if_close, fair[vm_id], ask.held)
        lease = wanted.at_most((capacity - others).at_least(NO_SHARES))
        assert (lease + others).fits(capacity.at_least(others)), "leases exceed the limits"
        self._entries[vm_id] = _Entry(ask.demand, lease.at_least(ask.held), expires_at)
        return lease

    def adopt(self, vm_id: VmId, ask: LedgerAsk, now: float) -> None:
        """Notes a lease that another home VM gave out, so that it counts."""
        self.expire(now)
        self._entries[vm_id] = _Entry(ask.demand, ask.held, now + ask.lease_seconds)

    def expire(self, now: float) -> None:
        """Forgets leases that have lapsed."""
        self._entries = {name: e for name, e in self._entries.items() if now < e.expires_at}

    def leases(self) -> dict[VmId, Shares]:
        """Returns what each VM with a lease may be using."""
        return {name: entry.counted for name, entry in self._entries.items()}

    def _counted(self) -> Shares:
        return sum((entry.counted for entry in self._entries.values()), NO_SHARES)

    def _capacity(self, limits: Shares, fleet: FleetSize) -> Shares:
        """Returns what is left when VMs without a lease use their safe shares."""
        unleased = max(0, fleet.known - len(self._entries))
        safe = self._settings.safe_fraction * unleased / fleet.known
        return limits.scaled(fleet.visible_fraction * (1.0 - safe))


def _keep_if_close(fair: float, held: float) -> float:
    return held if KEEP_FRACTION * held <= fair < held else fair
