"""Chooses engines for prompts of widely differing lengths.

An engine reads prompts inside the passes in which it writes, so a long prompt stretches the pauses
of every answer there. Prompts are therefore read in parts, on as many engines at once as keeps each
part within the shortest pause that the answers there allow, and short prompts share engines with
each other so that others stay free for long ones.

When load is at its worst, many requests wait and every end of one may place another, so what
depends on an engine alone is worked out once, and a request that needs more than one that found no
place is passed over.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._engine_load import EngineLoad
from camphordrift.relay._placement_values import Ask
from camphordrift.relay._values import EngineCosts, ServerState

#: Engines that may take part in reading one prompt (PROTOCOL.md: 16 helpers and the first engine).
MAX_PARTS = 17

#: Seconds of reading that one part should take at most, where engines are free.
PART_TIME = 0.25

#: Part of an allowed pause that reading may use up; the rest is for the network and the engine.
PAUSE_SHARE = 0.85

#: Part of the time to the first event that a placement may plan with.
OBJECTIVE_SHARE = 0.8

#: Short prompts that an engine may be reading without having answered one of them. An engine that
#: died may stay listed for a while.
MAX_READING = 3

#: Engines without failures that a long prompt needs to do without the others.
ENOUGH_SOUND_ENGINES = 2

#: Part of an engine's memory that one prompt may take before it is shared out.
MEMORY_SHARE = 0.95

#: How many times the reading time on free engines a late placement may take; a request whose
#: objective has not passed waits for better ones.
WAIT_FACTOR = 3.0

#: Part of the time to the first event up to which a short prompt goes to an engine that others use.
SHORT_OBJECTIVE_SHARE = 0.6

#: Seconds added for an engine in another zone.
ZONE_COST = 0.004

#: Prompts with less reading time than this in seconds count as short.
SHORT_READING = 0.1


@dataclass(frozen=True)
class Plan:
    """Engines for one request."""

    #: The first one gets the request; the others read parts of its prompt.
    engines: tuple[EngineLoad, ...]
    #: Seconds of reading on each engine.
    part: float
    #: Expected seconds to the first event.
    first_event: float
    #: Tokens of memory on each engine.
    memory: tuple[int, ...]


@dataclass(frozen=True)
class _View:
    """What counts of one engine at one moment. Times are in seconds."""

    engine: EngineLoad
    zone: str
    pending_reading: float
    pace: float
    #: Time to the first event of a prompt, without the reading of its own.
    overhead: float
    #: Longest part that keeps the answers there without long pauses.
    largest_part: float
    tightest_pause: Optional[float]
    writers: int
    free_slots: int
    free_memory: int
    reading: int
    failures: int

    def first_event(self, part: float) -> float:
        """Returns the expected time to the first event of a prompt that is read here."""
        return self.overhead + part * self.pace


class PlacementRound:
    """Chooses engines at one moment; what it chooses must be given to the engines in between."""

    def __init__(self, engines: Iterable[EngineLoad], costs: EngineCosts, now: float) -> None:
        self._costs = costs
        self._now = now
        self._views = {
            engine.server.id: self._view(engine) for engine in engines if is_usable(engine, now)
        }
        #: Memory and seconds of reading of short prompts that found no place.
        self._short_misses: list[tuple[float, float]] = []
        #: Seconds of reading, and negative seconds to the objective, of long ones.
        self._long_misses: list[tuple[float, float]] = []

    def plan(self, ask: Ask, objective: float) -> Optional[Plan]:
        """Returns engines for a request; ``None`` if it should wait.

        Args:
            ask: The request.
            objective: Seconds until its first event is late; negative afterwards.

        """
        reading = self._costs.prefill_time(ask.prompt_tokens)
        is_short = reading <= SHORT_READING
        misses = self._short_misses if is_short else self._long_misses
        need = (memory_of(ask), reading) if is_short else (reading, -objective)
        # Placements of the same round only take room away, so what found none still finds none.
        if any(first <= need[0] and second <= need[1] for first, second in misses):
            return None
        views = [view for name, view in self._views.items() if name not in ask.excluded]
        if is_short:
            plan = self._plan_short(ask, reading, views, objective)
        else:
            plan = self._plan_long(ask, reading, views, objective)
        if plan is None and not ask.excluded and ask.preferred is None:
            misses.append(need)
        return plan

    def placed(self, plan: Plan) -> None:
        """Notes that the engines of a plan were given its work."""
        for engine in plan.engines:
            self._views[engine.server.id] = self._view(engine)

    def _view(self, engine: EngineLoad) -> _View:
        writers, pace = engine.writers, engine.pace
        pause, pending = engine.tightest_pause, engine.pending_reading(self._now)
        running_pass = engine.pass_time()
        largest = float("inf")
        if pause is not None:
            largest = (pause * PAUSE_SHARE - pending - running_pass) / pace
        own_pass = self._costs.iteration_time(writers + 1, 0) * pace
        return _View(
            engine=engine,
            zone=engine.server.zone,
            pending_reading=pending,
            pace=pace,
            overhead=(running_pass if writers else 0.0) + pending + own_pass,
            largest_part=largest,
            tightest_pause=pause,
            writers=writers,
            free_slots=engine.free_slots,
            free_memory=engine.free_memory,
            reading=engine.reading,
            failures=engine.failures,
        )

    def _plan_short(
        self, ask: Ask, reading: float, views: list[_View], objective: float
    ) -> Optional[Plan]:
        """Fills the engines that write for short prompts one after the other.

        So the others stay free of short pauses, and can read long prompts in large parts.
        """
        memory = memory_of(ask)
        candidates = [
            view
            for view in views
            if view.free_slots > 0
            and view.free_memory >= memory
            and reading <= view.largest_part
            and view.reading < (1 if view.failures else MAX_READING)
        ]

        def rank(view: _View) -> tuple[bool, bool, int, float]:
            first_event = view.first_event(reading)
            pause = view.tightest_pause
            return (
                first_event > objective * SHORT_OBJECTIVE_SHARE,
                pause is None or pause > ask.pause,
                -view.writers,
                first_event + (ZONE_COST if view.zone != ask.zone else 0.0),
            )

        best = min(candidates, key=rank, default=None)
        if best is None:
            return None
        return Plan((best.engine,), reading, best.first_event(reading), (memory,))

    def _plan_long(
        self, ask: Ask, reading: float, views: list[_View], objective: float
    ) -> Optional[Plan]:
        sound = [view for view in views if not view.failures]
        if len(sound) >= ENOUGH_SOUND_ENGINES:
            views = sound
        if not views:
            return None
        wanted = min(MAX_PARTS, len(views), max(1, math.ceil(reading / PART_TIME)))
        ranked = sorted(views, key=lambda view: _long_rank(view, ask))
        best: Optional[Plan] = None
        best_cost = float("inf")
        for parts in range(wanted, 0, -1):
            chosen = self._choose_for_parts(ask, reading / parts, parts, ranked)
            if chosen is None:
                continue
            plan = _plan_of(ask, reading / parts, *chosen)
            # Engines let a new part go ahead, so what is being read there waits for it.
            delays_others = any(view.pending_reading > 0 for view in chosen[0])
            cost = plan.first_event + (plan.part if delays_others else 0.0)
            if cost < best_cost:
                best, best_cost = plan, cost
        if best is None or best.first_event <= objective * OBJECTIVE_SHARE:
            return best
        soonest = reading / wanted
        worth_waiting = best.first_event > soonest * WAIT_FACTOR
        return None if worth_waiting and objective > 0 else best

    def _choose_for_parts(
        self, ask: Ask, part: float, parts: int, ranked: list[_View]
    ) -> Optional[tuple[tuple[_View, ...], int]]:
        """Returns engines for the parts, and how many of them, from the first, keep the prompt."""
        fitting = [view for view in ranked if part <= view.largest_part]
        if len(fitting) < parts:
            return None
        keepers = self._keepers(ask, fitting, parts)
        if keepers is None:
            return None
        helpers = [view for view in fitting if view not in keepers]
        return (*keepers, *helpers)[:parts], len(keepers)

    def _keepers(self, ask: Ask, fitting: list[_View], most: int) -> Optional[tuple[_View, ...]]:
        """Returns the engines that keep the prompt, even shares each; the first one writes."""
        needed = memory_of(ask)
        fewest = -(-needed // int(self._costs.memory_tokens * MEMORY_SHARE))
        for count in range(fewest, most + 1):
            share = -(-needed // count)
            roomy = [view for view in fitting if view.free_memory >= share]
            writers = (view for view in roomy if view.free_slots > 0)
            first = next((v for v in writers if ask.preferred in (None, v.engine.server.id)), None)
            if first is not None and len(roomy) >= count:
                others = [view for view in roomy if view is not first]
                return (first, *others[: count - 1])
        return None


def is_usable(engine: EngineLoad, now: float) -> bool:
    """Tells whether an engine takes new work."""
    return not engine.rests(now) and engine.server.state is ServerState.READY


def memory_of(ask: Ask) -> int:
    """Returns the tokens of KV memory that a request needs."""
    return ask.prompt_tokens + ask.answer_tokens


def _plan_of(ask: Ask, part: float, chosen: tuple[_View, ...], keepers: int) -> Plan:
    share = -(-memory_of(ask) // keepers)
    return Plan(
        engines=tuple(view.engine for view in chosen),
        part=part,
        first_event=max(view.first_event(part) for view in chosen),
        memory=(share,) * keepers + (0,) * (len(chosen) - keepers),
    )


def _long_rank(view: _View, ask: Ask) -> tuple[bool, float, bool]:
    """Orders engines for long prompts: without tight pauses first, then the soonest free."""
    pause = view.tightest_pause
    tight = pause is not None and pause < ask.pause
    return tight, view.pending_reading, view.zone != ask.zone
