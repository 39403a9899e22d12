"""The prefix cache of a stand-in engine, with its late and gappy events."""

import random
from collections import OrderedDict, deque

from camphordrift.backend_servers import CacheEvent, CacheEventKind
from camphordrift.standins._engine_parameters import EngineParameters

_KEPT_EVENTS = 1000


class PrefixCache:
    """Keeps the blocks used last and records what it stores and evicts."""

    def __init__(self, model: EngineParameters, rng: random.Random) -> None:
        self._model = model
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_KEPT_EVENTS)
        self._sequence = 0

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Returns how many leading prompt tokens are cached, and marks them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * self._model.cache_block_tokens

    def store(self, blocks: tuple[int, ...], now: float) -> None:
        """Stores the blocks of a prompt, evicting those unused for longest."""
        kept = blocks[: self._model.cache_blocks]
        fresh = tuple(block for block in kept if block not in self._blocks)
        for block in kept:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._model.cache_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        self._record(CacheEventKind.STORED, fresh, now)
        self._record(CacheEventKind.EVICTED, tuple(evicted), now)

    def events_after(self, sequence: int, now: float) -> tuple[CacheEvent, ...]:
        """Returns the kept events after ``sequence`` that are old enough to be seen."""
        newest = now - self._model.cache_event_lag_seconds
        return tuple(
            event for at, event in self._events if event.sequence > sequence and at <= newest
        )

    def _record(self, kind: CacheEventKind, blocks: tuple[int, ...], now: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self._rng.random() >= self._model.cache_event_loss:
            self._events.append((now, CacheEvent(self._sequence, kind, blocks)))
