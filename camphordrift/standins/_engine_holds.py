"""The KV memory of a stand-in engine: running requests and holds."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.backend_servers import MemoryHold
from camphordrift.identifiers import HoldId


@dataclass
class _KeptHold:
    hold: MemoryHold
    renewed_at: float
    prefilled_tokens: int = 0

    def expires_at(self) -> Optional[float]:
        if self.hold.expires_in_seconds is None:
            return None
        return self.renewed_at + self.hold.expires_in_seconds


class EngineMemory:
    """Counts KV memory in tokens."""

    def __init__(self, total_tokens: int) -> None:
        self._total = total_tokens
        self._running = 0
        self._holds: dict[HoldId, _KeptHold] = {}

    def used_tokens(self, now: float) -> int:
        """Returns the memory in use by requests and holds."""
        self._drop_expired(now)
        return self._running + sum(kept.hold.token_count for kept in self._holds.values())

    def reserve(self, token_count: int, now: float) -> bool:
        """Takes memory for a running request, if it is free."""
        if self.used_tokens(now) + token_count > self._total:
            return False
        self._running += token_count
        return True

    def give_back(self, token_count: int) -> None:
        """Returns what ``reserve`` took."""
        self._running -= token_count
        assert self._running >= 0, "more memory given back than was reserved"

    def place(self, hold: MemoryHold, now: float) -> Optional[str]:
        """Places or renews a hold; returns why not, or ``None``."""
        used = self.used_tokens(now)
        kept = self._holds.get(hold.hold_id)
        if kept is not None:
            return self._renew(kept, hold, now)
        if used + hold.token_count > self._total:
            return f"{self._total - used} tokens are free, not {hold.token_count}"
        self._holds[hold.hold_id] = _KeptHold(hold, now)
        return None

    def release(self, hold_id: HoldId) -> None:
        """Gives a hold back, if there is one."""
        self._holds.pop(hold_id, None)

    def mark_prefilled(self, hold_id: HoldId, token_count: int) -> None:
        """Notes that the KV cache of a part lies under the hold."""
        kept = self._holds.get(hold_id)
        if kept is not None:
            kept.prefilled_tokens = token_count
            kept.hold = replace(kept.hold, exported=True)

    def prefilled_tokens(self, hold_id: HoldId, now: float) -> int:
        """Returns how many tokens lie under the hold; zero if there is no such hold."""
        self._drop_expired(now)
        kept = self._holds.get(hold_id)
        return 0 if kept is None else kept.prefilled_tokens

    def has_hold(self, hold_id: HoldId, now: float) -> bool:
        """Tells whether the hold is there and has not expired."""
        self._drop_expired(now)
        return hold_id in self._holds

    def holds(self, now: float) -> tuple[MemoryHold, ...]:
        """Returns all holds with their age and the time left to them."""
        self._drop_expired(now)
        return tuple(self._listed(kept, now) for kept in self._holds.values())

    def _renew(self, kept: _KeptHold, hold: MemoryHold, now: float) -> Optional[str]:
        if kept.hold.owner != hold.owner:
            return f"hold {hold.hold_id} belongs to {kept.hold.owner}"
        kept.hold = replace(kept.hold, expires_in_seconds=hold.expires_in_seconds)
        kept.renewed_at = now
        return None

    def _drop_expired(self, now: float) -> None:
        for hold_id, kept in list(self._holds.items()):
            expires_at = kept.expires_at()
            if expires_at is not None and expires_at <= now:
                del self._holds[hold_id]

    def _listed(self, kept: _KeptHold, now: float) -> MemoryHold:
        expires_at = kept.expires_at()
        left = None if expires_at is None else expires_at - now
        return replace(kept.hold, expires_in_seconds=left, age_seconds=now - kept.renewed_at)
