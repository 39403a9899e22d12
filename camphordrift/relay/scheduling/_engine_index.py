"""Keeps engines in the order in which they are preferred for short prompts.

A placement examines engines in this order until one fits, so that its cost depends on the engines
that are busy with prefill at that moment, and not on the size of the fleet. An engine is moved only
when its load changes.
"""

from collections.abc import Iterable, Iterator, ValuesView
from typing import Optional
from zlib import crc32

from sortedcontainers import SortedList

from camphordrift.relay.scheduling._engine_load import EngineLoad

#: Latency factors are compared in steps of this size, so that small differences between engines do
#: not decide before their pending prefill does.
LATENCY_FACTOR_STEP = 0.25

#: Position of an engine: whether it is cold, shortest target gap between events, negated number of
#: decoding requests, latency factor in steps, end of the pending prefill, tie breaker, and the
#: engine's id.
_Position = tuple[bool, float, int, int, float, int, str]


class EngineIndex:
    """The engines of one service, by id and in order of preference.

    Engines that already decode responses with short target gaps come first, as the others can then
    prefill large parts of long prompts; among these the ones with most decoding requests. Cold
    engines come after all others.

    Args:
        tie_breaker: Determines the order of equally loaded engines. VMs use different ones, because
            several that schedule at the same time would otherwise choose the same engines.

    """

    def __init__(self, tie_breaker: str = "") -> None:
        self._tie_breaker = tie_breaker
        self._engines: dict[str, EngineLoad] = {}
        self._tie_breaks: dict[str, int] = {}
        self._positions: dict[str, _Position] = {}
        self._with_free_slots: SortedList = SortedList()

    @property
    def engines(self) -> ValuesView[EngineLoad]:
        """All engines."""
        return self._engines.values()

    @property
    def has_free_slots(self) -> bool:
        """Whether any engine can take another decoding request."""
        return bool(self._with_free_slots)

    def find(self, server_id: str) -> Optional[EngineLoad]:
        """Returns an engine; ``None`` if it is unknown."""
        return self._engines.get(server_id)

    def replace_all(self, engines: Iterable[EngineLoad]) -> None:
        """Replaces the list of engines."""
        self._engines = {engine.server.id: engine for engine in engines}
        self._tie_breaks = {
            name: crc32(f"{self._tie_breaker}/{name}".encode()) for name in self._engines
        }
        self._positions.clear()
        self._with_free_slots.clear()
        for engine in self._engines.values():
            self.update(engine)

    def update(self, engine: EngineLoad) -> None:
        """Moves an engine to its place after its load changed."""
        server_id = engine.server.id
        if (former := self._positions.pop(server_id, None)) is not None:
            self._with_free_slots.remove(former)
        if self._engines.get(server_id) is engine and engine.free_slots > 0:
            position = self._positions[server_id] = self._position_of(engine)
            self._with_free_slots.add(position)

    def in_order_for_short_prompts(self) -> Iterator[EngineLoad]:
        """Yields the engines with free slots, the preferred ones first."""
        for position in self._with_free_slots:
            yield self._engines[position[-1]]

    def _position_of(self, engine: EngineLoad) -> _Position:
        gap_target, server_id = engine.min_gap_target, engine.server.id
        return (
            engine.is_cold,
            float("inf") if gap_target is None else gap_target,
            -engine.decoding_requests,
            round(engine.latency_factor / LATENCY_FACTOR_STEP),
            engine.prefill_until,
            self._tie_breaks[server_id],
            server_id,
        )
