"""What limits need to know of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from camphordrift.identifiers import AccountId, VmId


@dataclass(frozen=True)
class FleetSize:
    """How many VMs there are, as one VM sees it."""

    #: VMs that are not dead.
    live: int

    #: All VMs that are known, dead ones included until they are forgotten.
    known: int

    def __post_init__(self) -> None:
        if not 1 <= self.live <= self.known:
            raise ValueError("there is at least one live VM, and all live VMs are known")

    @property
    def visible_fraction(self) -> float:
        """The part of a limit that this side may hand out if the fleet is split.

        A side that sees more than half of the VMs hands out all of it; any other only its part.
        """
        return 1.0 if 2 * self.live > self.known else self.live / self.known


#: Returns the VM that is home to an account.
HomeOf = Callable[[AccountId], VmId]
