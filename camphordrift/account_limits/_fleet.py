"""The size of the fleet of VMs, which determines fallback shares and the effect of a partition."""

from collections.abc import Callable
from dataclasses import dataclass

from camphordrift.identifiers import AccountId, VmId


@dataclass(frozen=True)
class FleetSize:
    """Numbers of live and of known VMs, by one VM's view of the membership."""

    #: Number of VMs that are not dead.
    live: int

    #: Number of known VMs, including dead ones until they are removed from the membership.
    known: int

    def __post_init__(self) -> None:
        if not 1 <= self.live <= self.known:
            raise ValueError("live must be at least 1 and at most known")

    @property
    def visible_fraction(self) -> float:
        """The fraction of a limit that the VMs on this side of a network partition may grant.

        A side with more than half of the known VMs may grant the full limit. A smaller side may
        grant only the fraction that equals its fraction of the known VMs, so that both sides
        together grant less than 1.5 times the limit.
        """
        return 1.0 if 2 * self.live > self.known else self.live / self.known


#: Returns the home VM of an account, which coordinates its limits.
HomeOf = Callable[[AccountId], VmId]
