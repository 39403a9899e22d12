"""Estimates the contents of an engine's prefix cache."""

from collections import OrderedDict
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, CacheEventKind
from camphordrift.identifiers import Incarnation


class PrefixCacheEstimate:
    """Estimates which blocks an engine has in its prefix cache.

    The estimate assumes that an engine stores the blocks of every prompt that it has prefilled.
    Cache events, which may be delayed or have gaps, correct it. A gap in their sequence numbers may
    hide evictions, so it clears the estimate; so does a restart of the engine.
    """

    def __init__(self, max_blocks: int, block_tokens: int) -> None:
        self._max_blocks = max_blocks
        self._block_tokens = block_tokens
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._incarnation: Optional[Incarnation] = None
        self._sequence = 0
        self._gap_count = 0

    @property
    def gap_count(self) -> int:
        """Number of gaps found in the sequence numbers of the events."""
        return self._gap_count

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Returns the number of leading prompt tokens that are probably cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count * self._block_tokens

    def record_stored(self, blocks: tuple[int, ...]) -> None:
        """Records that the engine has prefilled a prompt with these blocks."""
        for block in blocks[: self._max_blocks]:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Removes all blocks from the estimate."""
        self._blocks.clear()

    def observe(self, batch: CacheEventBatch) -> None:
        """Applies cache events in order; skips events that were applied before."""
        if batch.incarnation != self._incarnation:
            self._start_incarnation(batch.incarnation)
        for event in batch.events:
            if event.sequence <= self._sequence:
                continue
            if event.sequence > self._sequence + 1:
                self._gap_count += 1
                self.clear()
            self._sequence = event.sequence
            self._apply(event.kind, event.blocks)

    def _start_incarnation(self, incarnation: Incarnation) -> None:
        if self._incarnation is not None:
            self.clear()
        self._incarnation = incarnation
        self._sequence = 0

    def _apply(self, kind: CacheEventKind, blocks: tuple[int, ...]) -> None:
        match kind:
            case CacheEventKind.STORED:
                self.record_stored(blocks)
            case CacheEventKind.EVICTED:
                for block in blocks:
                    self._blocks.pop(block, None)
            case CacheEventKind.CLEARED:
                self.clear()
