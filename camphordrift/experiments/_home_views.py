"""Whom the entry VMs of a run take for the home of the only pool."""

from camphordrift.identifiers import VmId


def vm_id(index: int) -> VmId:
    """Returns the name of an entry VM."""
    return VmId(f"vm-{index}")


class HomeViews:
    """The home that each VM believes in; all agree unless told otherwise."""

    def __init__(self) -> None:
        self._agreed = vm_id(0)
        self._own_views: dict[VmId, VmId] = {}

    def home(self, viewer: VmId) -> VmId:
        """Returns the home that ``viewer`` believes in."""
        return self._own_views.get(viewer, self._agreed)

    def agree_on(self, home: VmId) -> None:
        """Makes all VMs believe in the same home."""
        self._agreed = home
        self._own_views.clear()

    def mislead(self, viewer: VmId, home: VmId) -> None:
        """Makes one VM believe in another home."""
        self._own_views[viewer] = home
