"""An LRU cache of recent responses, which answers repeated calls while the log is unavailable."""

from collections import OrderedDict
from typing import Optional

from camphordrift.calls._keys import CallKey
from camphordrift.calls._messages import CallOutcome

#: Maximum total size in bytes of the cached responses.
OUTCOME_CACHE_BYTES = 2 * 1024 * 1024

#: Size in bytes that is added to the size of the body for each cached response.
_ENTRY_BYTES = 256


class OutcomeCache:
    """Keeps the most recently used responses, up to a size in bytes."""

    def __init__(self, capacity_bytes: int = OUTCOME_CACHE_BYTES) -> None:
        self._capacity_bytes = capacity_bytes
        self._used_bytes = 0
        self._outcomes: OrderedDict[CallKey, CallOutcome] = OrderedDict()

    @property
    def used_bytes(self) -> int:
        """Total size of the cached responses in bytes."""
        return self._used_bytes

    def get(self, key: CallKey) -> Optional[CallOutcome]:
        """Returns the response for a key, or ``None`` if it is not cached."""
        outcome = self._outcomes.get(key)
        if outcome is not None:
            self._outcomes.move_to_end(key)
        return outcome

    def put(self, key: CallKey, outcome: CallOutcome) -> None:
        """Adds a response and evicts the least recently used ones above the capacity."""
        self._remove(key)
        self._outcomes[key] = outcome
        self._used_bytes += _size_of(outcome)
        while self._used_bytes > self._capacity_bytes:
            self._remove(next(iter(self._outcomes)))

    def _remove(self, key: CallKey) -> None:
        outcome = self._outcomes.pop(key, None)
        if outcome is not None:
            self._used_bytes -= _size_of(outcome)


def _size_of(outcome: CallOutcome) -> int:
    return _ENTRY_BYTES + len(outcome.body or b"")
