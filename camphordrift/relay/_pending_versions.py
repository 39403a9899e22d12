"""Versions of the configuration that a VM knows of but that are not in force there yet."""

from collections import deque
from dataclasses import dataclass
from typing import Optional


@dataclass(frozen=True)
class PendingVersion:
    """A version that is not in force yet."""

    version: int
    #: When the VM learned of it.
    known_since: float


class PendingVersions:
    """The versions that a VM knows of and that are newer than the one in force.

    All times are seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        #: In ascending order of both fields.
        self._pending: deque[PendingVersion] = deque()

    @property
    def newest(self) -> int:
        """Newest version that is pending; 0 if none is."""
        return self._pending[-1].version if self._pending else 0

    @property
    def oldest_known_since(self) -> Optional[float]:
        """When the VM learned of the oldest pending version; ``None`` if none is pending."""
        return self._pending[0].known_since if self._pending else None

    def announce(self, version: int, now: float) -> bool:
        """Records a version; returns whether it is newer than all that are pending."""
        if version <= self.newest:
            return False
        self._pending.append(PendingVersion(version, now))
        return True

    def record_in_force(self, version: int) -> None:
        """Removes the versions that are in force now, or were replaced by the one that is."""
        while self._pending and self._pending[0].version <= version:
            self._pending.popleft()

    def waiting_time(self, now: float) -> float:
        """Returns the seconds since the VM learned of the oldest pending version; 0 without one."""
        since = self.oldest_known_since
        return 0.0 if since is None else now - since
