"""Selection of home VMs by rendezvous hashing, with a cache.

The home VM of a key is the VM that coordinates all requests for the key.
"""

from camphordrift.identifiers import VmId
from camphordrift.membership._rendezvous import first_by_rendezvous, rendezvous_order

#: Maximum number of keys whose home is cached; the cache is cleared when it is full.
MAXIMUM_CACHED_KEYS = 4096


class HomeChooser:
    """Maps keys to home VMs; caches the results until the candidates change."""

    def __init__(self) -> None:
        self._candidates: tuple[VmId, ...] = ()
        self._homes: dict[str, VmId] = {}

    def set_candidates(self, candidates: tuple[VmId, ...]) -> None:
        """Sets the VMs to choose from; at least one is required."""
        if candidates != self._candidates:
            self._candidates = candidates
            self._homes.clear()

    def home_of(self, key: str) -> VmId:
        """Returns the home VM of ``key``: its first candidate in rendezvous order."""
        home = self._homes.get(key)
        if home is None:
            home = first_by_rendezvous(key, self._candidates)
            if len(self._homes) >= MAXIMUM_CACHED_KEYS:
                self._homes.clear()
            self._homes[key] = home
        return home

    def home_order(self, key: str) -> tuple[VmId, ...]:
        """Returns all candidates in rendezvous order for ``key``; the first is its home VM."""
        return rendezvous_order(key, self._candidates)
