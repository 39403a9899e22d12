"""The stand-in list of live and leaving VMs, which lags behind what it is told."""

from collections.abc import Callable, Mapping
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

Entry = Mapping[str, Any]


class StandinVmList:
    """A list whose readers see it as it was some seconds ago.

    ``clock`` gives seconds. Each change is told as the whole list with :meth:`set_entries`.
    """

    def __init__(self, clock: Callable[[], float], lag_seconds: float) -> None:
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._versions: list[tuple[float, tuple[Entry, ...]]] = []
        self._down = False

    @property
    def down(self) -> bool:
        """Whether the list cannot be read."""
        return self._down

    def set_down(self, down: bool) -> None:
        """Makes the list unreadable, or readable again."""
        self._down = down

    def set_entries(self, entries: tuple[Entry, ...]) -> None:
        """Replaces the list; readers see it after the lag, the first one at once."""
        visible_at = self._clock() + (self._lag_seconds if self._versions else 0.0)
        self._versions.append((visible_at, entries))

    def newest_entries(self) -> tuple[Entry, ...]:
        """Returns the list as it will be once the lag has passed."""
        return self._versions[-1][1] if self._versions else ()

    def visible_entries(self) -> tuple[Entry, ...]:
        """Returns the list as readers see it now."""
        now = self._clock()
        visible = [entries for visible_at, entries in self._versions if visible_at <= now]
        return visible[-1] if visible else ()

    def mark_leaving(self, vm_id: str) -> None:
        """Marks a VM as leaving."""
        changed = tuple(
            {**entry, "leaving": True} if entry["vm_id"] == vm_id else entry
            for entry in self.newest_entries()
        )
        self.set_entries(changed)


def vm_list_app(vm_list: StandinVmList) -> Starlette:
    """Returns the application of the stand-in VM list."""

    async def read(request: Request) -> Response:
        if vm_list.down:
            return JSONResponse({"error": "the list is down"}, status_code=503)
        return JSONResponse({"vms": [dict(entry) for entry in vm_list.visible_entries()]})

    return Starlette(routes=[Route("/vms", read, methods=["GET"])])
