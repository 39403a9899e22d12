"""Chooses home VMs, and remembers the choices while the candidates stay the same."""

from camphordrift.identifiers import VmId
from camphordrift.membership._rendezvous import first_by_rendezvous, rendezvous_order

#: Most keys whose home is remembered.
MAXIMUM_REMEMBERED_KEYS = 4096


class HomeChooser:
    """Rendezvous hashing among candidates that change rarely."""

    def __init__(self) -> None:
        self._candidates: tuple[VmId, ...] = ()
        self._homes: dict[str, VmId] = {}

    def set_candidates(self, candidates: tuple[VmId, ...]) -> None:
        """Takes the VMs to choose among; at least one."""
        if candidates != self._candidates:
            self._candidates = candidates
            self._homes.clear()

    def home_of(self, key: str) -> VmId:
        """Returns the first candidate for ``key``."""
        home = self._homes.get(key)
        if home is None:
            home = first_by_rendezvous(key, self._candidates)
            if len(self._homes) >= MAXIMUM_REMEMBERED_KEYS:
                self._homes.clear()
            self._homes[key] = home
        return home

    def home_order(self, key: str) -> tuple[VmId, ...]:
        """Returns all candidates in the order of preference for ``key``."""
        return rendezvous_order(key, self._candidates)
