"""Decides from connection attempts which servers this VM can no longer reach by itself.

A server that this VM does not reach, but another VM does, is sound: this VM has lost its path.
After several such losses in a row the VM counts as cut off, so that it need not find out anew for
each server. A server that no VM reaches may have crashed, or all VMs that were asked have lost
their paths as well: this VM's failures say nothing about servers while it may be cut off itself.
All points in time are seconds of one monotonic clock and are passed in by the caller.
"""

from collections.abc import Collection

from camphordrift.relay.model import Address

#: Lost paths without a connection in between after which the VM counts as cut off.
LOSSES_TO_CUT_OFF = 3

#: Servers that failed to connect without a connection in between after which the VM may be cut off.
FAILURES_TO_SUSPECT = 2

#: Seconds for which no other VM is asked for a server that no VM reached.
UNREACHABLE_PERIOD = 1.0


class ServerPaths:
    """The paths from this VM to the servers."""

    def __init__(self) -> None:
        #: Servers that only other VMs reached last.
        self._lost: set[Address] = set()
        #: Those of them that were lost since this VM last reached any server.
        self._recent: set[Address] = set()
        #: Servers that no VM reached since this VM last reached any server.
        self._failed: set[Address] = set()
        #: Time until which servers count as unreachable for all VMs.
        self._unreachable_until: dict[Address, float] = {}

    @property
    def lost(self) -> Collection[Address]:
        """Servers that only other VMs reached last."""
        return self._lost

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM presumably reaches no server by itself."""
        return len(self._recent) >= LOSSES_TO_CUT_OFF

    @property
    def may_be_cut_off(self) -> bool:
        """Whether failures to connect may be this VM's own, and not the servers'."""
        return self.is_cut_off or len(self._recent | self._failed) >= FAILURES_TO_SUSPECT

    def is_lost(self, address: Address) -> bool:
        """Returns whether another VM should be used for a server from the start."""
        return self.is_cut_off or address in self._lost

    def may_use_other_vm(self, address: Address, now: float) -> bool:
        """Returns whether another VM may reach a server that this one does not."""
        return self._unreachable_until.get(address, 0.0) <= now

    def record_reached(self, address: Address) -> None:
        """Records that this VM connected to a server by itself."""
        self._lost.discard(address)
        self._recent.clear()
        self._failed.clear()
        self._unreachable_until.pop(address, None)

    def record_lost(self, address: Address) -> None:
        """Records that another VM reached a server that this one did not."""
        self._lost.add(address)
        self._recent.add(address)
        self._unreachable_until.pop(address, None)

    def record_unreachable(self, address: Address, now: float) -> None:
        """Records that neither this VM nor another one reached a server."""
        self._lost.discard(address)
        self._failed.add(address)
        if not self.may_be_cut_off:
            self._unreachable_until[address] = now + UNREACHABLE_PERIOD

    def forget_unlisted(self, listed: Collection[Address], now: float) -> None:
        """Forgets servers that are no longer listed."""
        self._lost.intersection_update(listed)
        self._recent.intersection_update(listed)
        self._failed.intersection_update(listed)
        for address, until in list(self._unreachable_until.items()):
            if until <= now:
                del self._unreachable_until[address]
