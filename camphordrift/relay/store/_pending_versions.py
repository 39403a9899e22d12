"""Versions of the configuration that a VM knows of but that are not in force there yet."""

from collections import deque
from dataclasses import dataclass
from typing import Optional

#: Seconds before a version must be in force at which requests are refused without it, and maximum
#: share of that time. The VM learns of a version some time after the store acknowledged it, and
#: requests take time to arrive.
WAITING_MARGIN = 0.5
WAITING_MARGIN_SHARE = 1 / 4


@dataclass(frozen=True)
class PendingVersion:
    """A version that is not in force yet."""

    version: int
    #: When the VM learned of it.
    known_since: float
    #: API keys that it is known to withdraw.
    withdrawn_keys: frozenset[str] = frozenset()


class PendingVersions:
    """The versions that a VM knows of and that are newer than the one in force.

    All times are seconds of one monotonic clock.

    Args:
        apply_delay: Seconds within which a new version must be in force.

    """

    def __init__(self, apply_delay: float) -> None:
        margin = min(WAITING_MARGIN, apply_delay * WAITING_MARGIN_SHARE)
        self._max_waiting_time = apply_delay - margin
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

    def announce(
        self, version: int, now: float, withdrawn_keys: frozenset[str] = frozenset()
    ) -> None:
        """Records a version, unless one that is as new is pending.

        Args:
            version: The version.
            now: The current time.
            withdrawn_keys: API keys that the version is known to withdraw.

        """
        if version > self.newest:
            self._pending.append(PendingVersion(version, now, withdrawn_keys))

    def record_in_force(self, version: int) -> None:
        """Removes the versions that are in force now, or were replaced by the one that is."""
        while self._pending and self._pending[0].version <= version:
            self._pending.popleft()

    def waiting_time(self, now: float) -> float:
        """Returns the seconds since the VM learned of the oldest pending version; 0 without one."""
        since = self.oldest_known_since
        return 0.0 if since is None else now - since

    def is_overdue(self, now: float) -> bool:
        """Returns whether a version has waited so long that the one in force must not be used."""
        return self.waiting_time(now) >= self._max_waiting_time

    def withdraws(self, key: str) -> bool:
        """Returns whether a pending version withdraws an API key; a later one may restore it."""
        return any(key in pending.withdrawn_keys for pending in self._pending)
