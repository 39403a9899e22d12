"""The KV memory of a stand-in engine, which running requests and holds use."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.backend_servers import MemoryHold
from camphordrift.identifiers import HoldId


@dataclass
class _StoredHold:
    hold: MemoryHold
    renewed_at: float
    prefilled_tokens: int = 0

    def expires_at(self) -> Optional[float]:
        if self.hold.expires_in_seconds is None:
            return None
        return self.renewed_at + self.hold.expires_in_seconds


class EngineMemory:
    """Tracks the KV memory of one engine in tokens. Times are in seconds."""

    def __init__(self, total_tokens: int) -> None:
        self._total = total_tokens
        self._running = 0
        self._holds: dict[HoldId, _StoredHold] = {}

    def used_tokens(self, now: float) -> int:
        """Returns the number of tokens of memory that running requests and holds use."""
        self._drop_expired(now)
        return self._running + sum(stored.hold.token_count for stored in self._holds.values())

    def reserve(self, token_count: int, now: float) -> bool:
        """Reserves memory for a request to run; returns whether enough was free."""
        if self.used_tokens(now) + token_count > self._total:
            return False
        self._running += token_count
        return True

    def free(self, token_count: int) -> None:
        """Frees memory that was reserved with :meth:`reserve`."""
        self._running -= token_count
        assert self._running >= 0, "more memory was freed than was reserved"

    def place_hold(self, hold: MemoryHold, now: float) -> Optional[str]:
        """Places or renews a hold; returns ``None``, or the reason why it is refused."""
        used = self.used_tokens(now)
        stored = self._holds.get(hold.hold_id)
        if stored is not None:
            return self._renew(stored, hold, now)
        if used + hold.token_count > self._total:
            return f"{self._total - used} tokens are free, but the hold needs {hold.token_count}"
        self._holds[hold.hold_id] = _StoredHold(hold, now)
        return None

    def release_hold(self, hold_id: HoldId) -> None:
        """Releases a hold; does nothing if there is no such hold."""
        self._holds.pop(hold_id, None)

    def mark_prefilled(self, hold_id: HoldId, token_count: int) -> None:
        """Records that the KV cache of a part of a prompt is stored under the hold."""
        stored = self._holds.get(hold_id)
        if stored is not None:
            stored.prefilled_tokens = token_count
            stored.hold = replace(stored.hold, exported=True)

    def prefilled_tokens(self, hold_id: HoldId, now: float) -> int:
        """Returns how many prefilled tokens the hold has; zero if there is no such hold."""
        self._drop_expired(now)
        stored = self._holds.get(hold_id)
        return 0 if stored is None else stored.prefilled_tokens

    def has_hold(self, hold_id: HoldId, now: float) -> bool:
        """Returns whether the hold exists and has not expired."""
        self._drop_expired(now)
        return hold_id in self._holds

    def holds(self, now: float) -> tuple[MemoryHold, ...]:
        """Returns all unexpired holds with their current ages and the remaining times."""
        self._drop_expired(now)
        return tuple(self._with_current_times(stored, now) for stored in self._holds.values())

    def _renew(self, stored: _StoredHold, hold: MemoryHold, now: float) -> Optional[str]:
        if stored.hold.owner != hold.owner:
            return f"hold {hold.hold_id} belongs to {stored.hold.owner}"
        stored.hold = replace(stored.hold, expires_in_seconds=hold.expires_in_seconds)
        stored.renewed_at = now
        return None

    def _drop_expired(self, now: float) -> None:
        for hold_id, stored in list(self._holds.items()):
            expires_at = stored.expires_at()
            if expires_at is not None and expires_at <= now:
                del self._holds[hold_id]

    def _with_current_times(self, stored: _StoredHold, now: float) -> MemoryHold:
        expires_at = stored.expires_at()
        remaining = None if expires_at is None else expires_at - now
        return replace(
            stored.hold, expires_in_seconds=remaining, age_seconds=now - stored.renewed_at
        )
