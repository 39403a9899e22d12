"""The stand-in list of live and draining VMs, whose readers see changes after a delay."""

from collections.abc import Callable, Mapping
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

#: One entry of the list, as the fields of its JSON object.
VmListEntry = Mapping[str, Any]


class StandinVmList:
    """A list of VMs that readers see as it was ``lag_seconds`` ago.

    ``clock`` returns seconds. Each change replaces the complete list with :meth:`set_entries`.
    """

    def __init__(self, clock: Callable[[], float], lag_seconds: float) -> None:
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._versions: list[tuple[float, tuple[VmListEntry, ...]]] = []
        self._unavailable = False

    @property
    def unavailable(self) -> bool:
        """Whether reads of the list fail."""
        return self._unavailable

    def set_unavailable(self, unavailable: bool) -> None:
        """Sets whether reads of the list fail."""
        self._unavailable = unavailable

    def set_entries(self, entries: tuple[VmListEntry, ...]) -> None:
        """Replaces the list; readers see it after the lag, but the first list immediately."""
        visible_at = self._clock() + (self._lag_seconds if self._versions else 0.0)
        self._versions.append((visible_at, entries))

    def latest_entries(self) -> tuple[VmListEntry, ...]:
        """Returns the latest list, which readers may not see yet."""
        return self._versions[-1][1] if self._versions else ()

    def visible_entries(self) -> tuple[VmListEntry, ...]:
        """Returns the list that readers see now."""
        now = self._clock()
        visible = [entries for visible_at, entries in self._versions if visible_at <= now]
        return visible[-1] if visible else ()

    def mark_draining(self, vm_id: str) -> None:
        """Marks a VM as draining in the list; an unknown VM is ignored."""
        updated_entries = tuple(
            {**entry, "leaving": True} if entry["vm_id"] == vm_id else entry
            for entry in self.latest_entries()
        )
        self.set_entries(updated_entries)


def vm_list_app(vm_list: StandinVmList) -> Starlette:
    """Returns the HTTP application of the stand-in VM list."""

    async def read(request: Request) -> Response:
        if vm_list.unavailable:
            return JSONResponse({"error": "the VM list is unavailable"}, status_code=503)
        return JSONResponse({"vms": [dict(entry) for entry in vm_list.visible_entries()]})

    return Starlette(routes=[Route("/vms", read, methods=["GET"])])
