"""Prompts that exceed one engine's memory: which engines share them."""

from typing import Optional

from camphordrift.backend_servers import KvPart
from camphordrift.identifiers import BackendServerId, HoldId
from camphordrift.routing._engine_view import EngineView
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._scheduler import AttemptKey

#: A prompt is spread over at most this many engines.
MAX_PARTS = 8

#: An engine takes no part smaller than this, unless it is the last.
MIN_PART_TOKENS = 16_384

Placement = list[tuple[EngineView, KvPart]]


def tokens_needed(ask: GrantAsk) -> int:
    """Returns the memory that the whole attempt takes, in tokens."""
    return ask.prompt_tokens + ask.max_output_tokens


def exceeds_one_engine(ask: GrantAsk, serving: list[EngineView]) -> bool:
    """Tells whether no single engine can hold the attempt."""
    return all(view.facts.memory_tokens < tokens_needed(ask) for view in serving)


def can_ever_fit(ask: GrantAsk, serving: list[EngineView]) -> bool:
    """Tells whether the engines, were they empty, could hold the attempt together."""
    largest = sorted((view.facts.memory_tokens for view in serving), reverse=True)
    if largest and largest[0] >= tokens_needed(ask):
        return True
    capacity = sum(memory - ask.max_output_tokens for memory in largest[:MAX_PARTS])
    return capacity >= ask.prompt_tokens


def hold_tokens(ask: GrantAsk, part: KvPart) -> int:
    """Returns the memory to hold for a part: its prompt tokens and room for the answer."""
    return part.token_count + ask.max_output_tokens


class EngineReservation:
    """Gathers engines for one large prompt at a time.

    The first large prompt that is tried reserves the engines that suit it best. Other longer
    prompts do not take these, so they run empty in bounded time, and large prompts are not starved
    by smaller ones. Since only one gathers, two never wait for each other.
    """

    def __init__(self) -> None:
        self._holder_key: Optional[AttemptKey] = None
        self._reserved: frozenset[BackendServerId] = frozenset()

    @property
    def reserved_engines(self) -> frozenset[BackendServerId]:
        """The engines that are kept for the prompt that gathers."""
        return self._reserved

    def cancel(self, key: AttemptKey) -> None:
        """Ends the gathering of this attempt, if it is the one that gathers."""
        if key == self._holder_key:
            self._holder_key = None
            self._reserved = frozenset()

    def free_memory(self, view: EngineView, band: int) -> int:
        """Returns the memory that a prompt which fits one engine may take there, in tokens."""
        if band > 0 and view.facts.engine_id in self._reserved:
            return 0
        return view.free_memory_tokens

    def place(
        self, key: AttemptKey, ask: GrantAsk, usable: list[EngineView]
    ) -> Optional[Placement]:
        """Returns the parts if there is room for all of them now; reserves engines otherwise."""
        if self._holder_key not in (None, key):
            return None
        reserved = [view for view in usable if view.facts.engine_id in self._reserved]
        others = [view for view in usable if view.facts.engine_id not in self._reserved]
        preferred = reserved + sorted(others, key=_fewest_short_jobs_first)
        placement = _spread(key, ask, preferred, only_free=True)
        if placement is None:
            self._reserve(key, ask, preferred)
        return placement

    def _reserve(self, key: AttemptKey, ask: GrantAsk, preferred: list[EngineView]) -> None:
        wanted = _spread(key, ask, preferred, only_free=False)
        if wanted is not None:
            self._holder_key = key
            self._reserved = frozenset(part.engine_id for _, part in wanted)


def _fewest_short_jobs_first(view: EngineView) -> tuple[int, int, BackendServerId]:
    """Orders engines by the short requests on them, then by free memory."""
    short = sum(1 for job in view.jobs.values() if job.priority == 0)
    return (short, -view.free_memory_tokens, view.facts.engine_id)


def _spread(
    key: AttemptKey, ask: GrantAsk, views: list[EngineView], only_free: bool
) -> Optional[Placement]:
    """Returns parts on the first engines that have room for the whole prompt, by engine id."""
    chosen: list[tuple[EngineView, int]] = []
    left = ask.prompt_tokens
    for view in views:
        memory = view.free_memory_tokens if only_free else view.facts.memory_tokens
        capacity = min(left, memory - ask.max_output_tokens)
        if capacity < min(left, MIN_PART_TOKENS):
            continue
        if only_free and view.long_prefills():
            continue
        chosen.append((view, capacity))
        left -= capacity
        if left == 0:
            return _parts(key, chosen)
        if len(chosen) == MAX_PARTS:
            break
    return None


def _parts(key: AttemptKey, chosen: list[tuple[EngineView, int]]) -> Placement:
    placement: Placement = []
    start = 0
    for view, count in sorted(chosen, key=lambda each: each[0].facts.engine_id):
        hold_id = HoldId(f"{key.request_id}/{key.attempt}/{start}")
        placement.append((view, KvPart(view.facts.engine_id, hold_id, start, count)))
        start += count
    return placement
