"""Which VM each entry VM of a run regards as the home VM of the only pool.

The home VM of a pool schedules its engines for all VMs. The views of the VMs can differ for a while
after a membership change.
"""

from camphordrift.identifiers import VmId


def vm_id(index: int) -> VmId:
    """Returns the id of the entry VM with this index."""
    return VmId(f"vm-{index}")


class HomeViews:
    """The home VM in the view of each VM; initially the first VM in all views."""

    def __init__(self) -> None:
        self._common_home = vm_id(0)
        self._differing_homes: dict[VmId, VmId] = {}

    def home(self, viewer: VmId) -> VmId:
        """Returns the home VM in the view of ``viewer``."""
        return self._differing_homes.get(viewer, self._common_home)

    def set_all_views(self, home: VmId) -> None:
        """Sets the home VM in the views of all VMs."""
        self._common_home = home
        self._differing_homes.clear()

    def set_view(self, viewer: VmId, home: VmId) -> None:
        """Sets the home VM in the view of one VM only."""
        self._differing_homes[viewer] = home
