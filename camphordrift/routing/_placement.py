"""Placement of large prompts on several engines.

A prompt is large if it exceeds the memory of every single engine. It is split into parts, each of
which is prefilled on one engine.
"""

from typing import Optional

from camphordrift.backend_servers import KvPart
from camphordrift.identifiers import BackendServerId, HoldId
from camphordrift.routing._engine_view import EngineView
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._scheduler import AttemptKey

#: Maximum number of parts of one prompt, each on an engine of its own.
MAX_PARTS = 8

#: Minimum number of prompt tokens in a part other than the last one.
MIN_PART_TOKENS = 16_384

Placement = list[tuple[EngineView, KvPart]]


def tokens_needed(ask: GrantAsk) -> int:
    """Returns the tokens of KV memory that the prompt and the maximum output need."""
    return ask.prompt_tokens + ask.max_output_tokens


def exceeds_one_engine(ask: GrantAsk, serving: list[EngineView]) -> bool:
    """Returns whether the attempt exceeds the memory of every single engine."""
    return all(view.spec.memory_tokens < tokens_needed(ask) for view in serving)


def can_ever_fit(ask: GrantAsk, serving: list[EngineView]) -> bool:
    """Returns whether the attempt fits into the memory of the engines when they are empty."""
    largest = sorted((view.spec.memory_tokens for view in serving), reverse=True)
    if largest and largest[0] >= tokens_needed(ask):
        return True
    capacity = sum(memory - ask.max_output_tokens for memory in largest[:MAX_PARTS])
    return capacity >= ask.prompt_tokens


def hold_tokens(ask: GrantAsk, part: KvPart) -> int:
    """Returns the size of a part's hold in tokens: its prompt tokens and the maximum output."""
    return part.token_count + ask.max_output_tokens


class EngineReservation:
    """Reserves engines for one large prompt at a time.

    The first large prompt that cannot be placed reserves the engines that suit it best. Other long
    prompts do not use these engines, so they drain in bounded time, and smaller prompts cannot
    starve large ones. Only one prompt has a reservation, so two prompts cannot deadlock.
    """

    def __init__(self) -> None:
        self._holder_key: Optional[AttemptKey] = None
        self._reserved: frozenset[BackendServerId] = frozenset()

    @property
    def reserved_engines(self) -> frozenset[BackendServerId]:
        """The engines that are reserved for a large prompt."""
        return self._reserved

    def cancel(self, key: AttemptKey) -> None:
        """Cancels the reservation if it belongs to this attempt."""
        if key == self._holder_key:
            self._holder_key = None
            self._reserved = frozenset()

    def free_memory(self, view: EngineView, band: int) -> int:
        """Returns the tokens of memory on an engine for a prompt that one engine can hold.

        A long prompt gets none on engines that are reserved for a large prompt.
        """
        if band > 0 and view.spec.engine_id in self._reserved:
            return 0
        return view.free_memory_tokens

    def place(
        self, key: AttemptKey, ask: GrantAsk, usable: list[EngineView]
    ) -> Optional[Placement]:
        """Returns the parts if all of them fit now; otherwise reserves engines for them."""
        if self._holder_key not in (None, key):
            return None
        reserved = [view for view in usable if view.spec.engine_id in self._reserved]
        others = [view for view in usable if view.spec.engine_id not in self._reserved]
        preferred = reserved + sorted(others, key=_fewest_short_jobs_first)
        placement = _spread_over_engines(key, ask, preferred, only_free=True)
        if placement is None:
            self._reserve(key, ask, preferred)
        return placement

    def _reserve(self, key: AttemptKey, ask: GrantAsk, preferred: list[EngineView]) -> None:
        wanted = _spread_over_engines(key, ask, preferred, only_free=False)
        if wanted is not None:
            self._holder_key = key
            self._reserved = frozenset(part.engine_id for _, part in wanted)


def _fewest_short_jobs_first(view: EngineView) -> tuple[int, int, BackendServerId]:
    """Sort key: fewest short requests first, then most free memory."""
    short = sum(1 for job in view.jobs.values() if job.priority == 0)
    return (short, -view.free_memory_tokens, view.spec.engine_id)


def _spread_over_engines(
    key: AttemptKey, ask: GrantAsk, views: list[EngineView], only_free: bool
) -> Optional[Placement]:
    """Returns the parts in the order of engine ids, or ``None`` if the prompt does not fit.

    The engines are used in the given order until the whole prompt is placed. With ``only_free``,
    only their free memory is used, and engines that prefill a long prompt are skipped.
    """
    chosen: list[tuple[EngineView, int]] = []
    remaining_tokens = ask.prompt_tokens
    for view in views:
        memory = view.free_memory_tokens if only_free else view.spec.memory_tokens
        capacity = min(remaining_tokens, memory - ask.max_output_tokens)
        if capacity < min(remaining_tokens, MIN_PART_TOKENS):
            continue
        if only_free and view.long_prefills():
            continue
        chosen.append((view, capacity))
        remaining_tokens -= capacity
        if remaining_tokens == 0:
            return _placement_in_engine_order(key, chosen)
        if len(chosen) == MAX_PARTS:
            break
    return None


def _placement_in_engine_order(key: AttemptKey, chosen: list[tuple[EngineView, int]]) -> Placement:
    placement: Placement = []
    start = 0
    for view, count in sorted(chosen, key=lambda each: each[0].spec.engine_id):
        hold_id = HoldId(f"{key.request_id}/{key.attempt}/{start}")
        placement.append((view, KvPart(view.spec.engine_id, hold_id, start, count)))
        start += count
    return placement
