"""What is believed of an engine's prefix cache, from grants and from late, gappy events."""

from collections import OrderedDict
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, CacheEventKind
from camphordrift.identifiers import Incarnation


class PrefixCacheEstimate:
    """The blocks that an engine probably has.

    Grants are a guess: the engine will have stored the blocks of a prompt that it has prefilled.
    Events correct the guess. A gap in their sequence numbers may hide evictions, so everything is
    forgotten and learnt anew; so it is when the engine restarts.
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
        """How often events were found missing."""
        return self._gap_count

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Returns how many leading tokens the engine probably has."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count * self._block_tokens

    def record_stored(self, blocks: tuple[int, ...]) -> None:
        """Notes that the engine has prefilled a prompt with these blocks."""
        for block in blocks[: self._max_blocks]:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Forgets everything."""
        self._blocks.clear()

    def observe(self, batch: CacheEventBatch) -> None:
        """Takes events; those already known are skipped."""
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
