"""The prefix cache of a stand-in engine, with delayed and lost cache events."""

import random
from collections import OrderedDict, deque

from camphordrift.backend_servers import CacheEvent, CacheEventKind
from camphordrift.standins._engine_parameters import EngineParameters

# Maximum number of cache events kept for readers; the oldest are dropped.
_MAX_EVENTS = 1000


class PrefixCache:
    """Caches the most recently used blocks (LRU) and records an event for each change."""

    def __init__(self, parameters: EngineParameters, rng: random.Random) -> None:
        self._parameters = parameters
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_MAX_EVENTS)
        self._sequence = 0

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Returns how many leading prompt tokens are cached, and marks their blocks as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * self._parameters.cache_block_tokens

    def store(self, blocks: tuple[int, ...], now: float) -> None:
        """Stores the blocks of a prompt; evicts the least recently used blocks if necessary."""
        stored = blocks[: self._parameters.cache_blocks]
        added = tuple(block for block in stored if block not in self._blocks)
        for block in stored:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._parameters.cache_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        self._record_event(CacheEventKind.STORED, added, now)
        self._record_event(CacheEventKind.EVICTED, tuple(evicted), now)

    def events_after(self, sequence: int, now: float) -> tuple[CacheEvent, ...]:
        """Returns the retained events after ``sequence`` that are old enough to be read."""
        visible_until = now - self._parameters.cache_event_lag_seconds
        return tuple(
            event for at, event in self._events if event.sequence > sequence and at <= visible_until
        )

    def _record_event(self, kind: CacheEventKind, blocks: tuple[int, ...], now: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self._rng.random() >= self._parameters.cache_event_loss:
            self._events.append((now, CacheEvent(self._sequence, kind, blocks)))
