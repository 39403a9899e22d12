"""Chooses engines for prompts of widely differing lengths.

An engine reads prompts inside the passes in which it writes, so a long prompt stretches the pauses
of every answer there. Prompts are therefore read in parts, on as many engines at once as keeps each
part within the shortest pause that the answers there allow, and short prompts share engines with
each other so that others stay free for long ones.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._engine_load import EngineLoad, EngineWork
from camphordrift.relay._placement_values import (
    Ask,
    Decision,
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
)
from camphordrift.relay._values import BackendServer, EngineCosts, ServerState

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

#: Seconds after a request's time is over within which its end is reported.
END_REPORT_TIME = 1.0

#: Seconds until a refused request may find an engine, when nothing better is known.
DEFAULT_RETRY_AFTER = 1.0


@dataclass
class _Waiting:
    ask: Ask
    submitted: float

    def objective_at(self) -> float:
        return self.submitted + self.ask.objective

    def needed_at(self) -> float:
        return self.submitted + self.ask.time_left


@dataclass
class _Placed:
    ask: Ask
    engine_ids: tuple[str, ...]
    granted: float
    first_event: float
    reading_ended: bool = False


@dataclass(frozen=True)
class _Plan:
    engines: tuple[EngineLoad, ...]
    #: Seconds of reading on each engine.
    part: float
    first_event: float
    #: Tokens of memory on each engine.
    memory: tuple[int, ...]


class EnginePool:
    """Places the requests for one service on its engines.

    All moments are seconds of one monotonic clock, passed in by the caller.
    """

    def __init__(self, costs: EngineCosts) -> None:
        self._costs = costs
        self._engines: dict[str, EngineLoad] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._placed: dict[str, _Placed] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait for an engine."""
        return len(self._waiting)

    @property
    def placed(self) -> int:
        """Requests that engines work on."""
        return len(self._placed)

    def set_costs(self, costs: EngineCosts) -> None:
        """Takes over what a new configuration says of the engines."""
        self._costs = costs

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Takes over the directory's servers; a server that restarted begins anew."""
        known = self._engines
        self._engines = {}
        for server in servers:
            load = known.get(server.id)
            if load is None or load.server.started_ms != server.started_ms:
                load = EngineLoad(server, self._costs)
            load.server = server
            self._engines[server.id] = load

    def submit(self, ask: Ask, now: float) -> None:
        """Takes a request in; :meth:`decide` answers it."""
        self._waiting[ask.id] = _Waiting(ask, now)

    def register(self, ask: Ask, grant: Grant, reading: bool, now: float) -> None:
        """Takes over a request that was placed by another VM."""
        self._waiting.pop(ask.id, None)
        engines = tuple(
            self._engines[server.id]
            for server in (grant.server, *grant.helpers)
            if server.id in self._engines
        )
        if not engines:
            return
        part = self._costs.reading_time(ask.prompt_tokens) / (1 + len(grant.helpers))
        first = _memory_of(ask) - sum(grant.helper_memory)
        memory = (first, *grant.helper_memory)[: len(engines)]
        self._place(ask, _Plan(engines, part, grant.first_event, memory), now)
        if not reading:
            self.first_event(ask.id, now)

    def withdraw(self, ask_id: str) -> None:
        """Forgets a request that waits."""
        self._waiting.pop(ask_id, None)

    def first_event(self, ask_id: str, now: float) -> None:
        """Notes that a request's prompt has been read."""
        placed = self._placed.get(ask_id)
        if placed is None or placed.reading_ended:
            return
        placed.reading_ended = True
        for engine in self._engines_of(placed):
            engine.finish_reading(ask_id, now)

    def pause_seen(self, ask_id: str, pause: float) -> None:
        """Notes the shortest of some pauses between events, which shows the engine's pace."""
        placed = self._placed.get(ask_id)
        engine = None if placed is None else self._engines.get(placed.engine_ids[0])
        if engine is not None:
            engine.note_pass(pause)

    def finished(
        self, ask_id: str, outcome: Outcome, now: float, at_fault: Optional[str] = None
    ) -> None:
        """Notes that a request's work has ended.

        Args:
            ask_id: The ask.
            outcome: How it ended.
            now: The moment.
            at_fault: Id or address of the engine that the answer blames; without it the one that
                got the request.

        """
        placed = self._placed.pop(ask_id, None)
        if placed is None:
            self.withdraw(ask_id)
            return
        for engine in self._engines_of(placed):
            engine.remove(ask_id, now)
        first = self._engine_at_fault(placed, at_fault)
        if first is None:
            return
        if outcome is Outcome.SERVED:
            first.note_success()
        elif outcome is Outcome.REJECTED:
            first.note_rejection(now)
        elif outcome in (Outcome.FAILED, Outcome.SILENT):
            first.note_failure(now)

    def decide(self, now: float) -> list[Decision]:
        """Answers every request that can be placed or must be refused now."""
        self._drop_forgotten(now)
        decisions: list[Decision] = []
        for waiting in sorted(self._waiting.values(), key=_urgency):
            decision = self._decide_one(waiting, now)
            if decision is not None:
                del self._waiting[waiting.ask.id]
                decisions.append(decision)
        return decisions

    def _drop_forgotten(self, now: float) -> None:
        """Gives back the engines of requests whose end was never reported."""
        for ask_id, placed in list(self._placed.items()):
            if now > placed.granted + placed.ask.time_left + END_REPORT_TIME:
                self.finished(ask_id, Outcome.SERVED, now)

    def _decide_one(self, waiting: _Waiting, now: float) -> Optional[Decision]:
        ask = waiting.ask
        if not self._engines:
            return Refusal(ask.id, RefusalReason.NO_ENGINE, DEFAULT_RETRY_AFTER)
        if not self._can_ever_fit(ask):
            return Refusal(ask.id, RefusalReason.NEVER_FITS, None)
        if ask.preferred is not None and not self._is_usable(ask.preferred, now):
            return Refusal(ask.id, RefusalReason.NO_ENGINE, DEFAULT_RETRY_AFTER)
        time_left = waiting.needed_at() - now
        if time_left < self._least_time(ask):
            return Refusal(ask.id, RefusalReason.TOO_LATE, None)
        plan = self._plan(ask, waiting.objective_at() - now, now)
        if plan is None:
            return None
        return self._place(ask, plan, now)

    def _can_ever_fit(self, ask: Ask) -> bool:
        engines = min(MAX_PARTS, len(self._engines))
        return _memory_of(ask) <= engines * int(self._costs.memory_tokens * MEMORY_SHARE)

    def _least_time(self, ask: Ask) -> float:
        """Returns the seconds that a request needs even on engines that are all free."""
        parts = min(MAX_PARTS, len(self._engines))
        passes = math.ceil(max(1, ask.answer_tokens // 2) / self._costs.steps_per_pass)
        writing = self._costs.pass_time(1, ask.prompt_tokens) * passes
        return self._costs.reading_time(ask.prompt_tokens) / parts + writing

    def _is_usable(self, server_id: str, now: float) -> bool:
        engine = self._engines.get(server_id)
        if engine is None or engine.rests(now):
            return False
        return engine.server.state is ServerState.READY

    def _plan(self, ask: Ask, objective: float, now: float) -> Optional[_Plan]:
        usable = [
            engine
            for server_id, engine in self._engines.items()
            if server_id not in ask.excluded and self._is_usable(server_id, now)
        ]
        reading = self._costs.reading_time(ask.prompt_tokens)
        if reading <= SHORT_READING:
            return self._plan_short(ask, reading, usable, objective, now)
        return self._plan_long(ask, reading, usable, objective, now)

    def _plan_short(
        self, ask: Ask, reading: float, usable: list[EngineLoad], objective: float, now: float
    ) -> Optional[_Plan]:
        """Fills the engines that write for short prompts one after the other.

        So the others stay free of short pauses, and can read long prompts in large parts.
        """
        candidates = [
            engine
            for engine in usable
            if self._has_room(engine, ask)
            and _fits_pauses(engine, reading, ask, now)
            and engine.reading < (1 if engine.failures else MAX_READING)
        ]

        def rank(engine: EngineLoad) -> tuple[bool, bool, int, float]:
            first_event = self._first_event(engine, reading, now)
            return (
                first_event > objective * SHORT_OBJECTIVE_SHARE,
                not _has_pause_within(engine, ask.pause),
                -engine.writers,
                first_event + (ZONE_COST if engine.server.zone != ask.zone else 0.0),
            )

        best = min(candidates, key=rank, default=None)
        if best is None:
            return None
        first_event = self._first_event(best, reading, now)
        return _Plan((best,), reading, first_event, (_memory_of(ask),))

    def _plan_long(
        self, ask: Ask, reading: float, usable: list[EngineLoad], objective: float, now: float
    ) -> Optional[_Plan]:
        sound = [engine for engine in usable if not engine.failures]
        if len(sound) >= ENOUGH_SOUND_ENGINES:
            usable = sound
        if not usable:
            return None
        wanted = min(MAX_PARTS, len(usable), max(1, math.ceil(reading / PART_TIME)))
        ranked = sorted(usable, key=lambda engine: _long_rank(engine, ask, now))
        best: Optional[_Plan] = None
        best_cost = float("inf")
        for parts in range(wanted, 0, -1):
            plan = self._plan_parts(ask, reading, parts, ranked, now)
            if plan is None:
                continue
            # Engines let a new part go ahead, so what is being read there waits for it.
            delays_others = any(engine.pending_reading(now) > 0 for engine in plan.engines)
            cost = plan.first_event + (plan.part if delays_others else 0.0)
            if cost < best_cost:
                best, best_cost = plan, cost
        if best is None or best.first_event <= objective * OBJECTIVE_SHARE:
            return best
        soonest = reading / wanted
        worth_waiting = best.first_event > soonest * WAIT_FACTOR
        return None if worth_waiting and objective > 0 else best

    def _plan_parts(
        self, ask: Ask, reading: float, parts: int, ranked: list[EngineLoad], now: float
    ) -> Optional[_Plan]:
        part = reading / parts
        fitting = [engine for engine in ranked if _fits_pauses(engine, part, ask, now)]
        keepers = self._keepers(ask, fitting)
        if keepers is None or len(fitting) < parts or len(keepers) > parts:
            return None
        helpers = [engine for engine in fitting if engine not in keepers]
        chosen = (*keepers, *helpers)[:parts]
        share = -(-_memory_of(ask) // len(keepers))
        memory = (share,) * len(keepers) + (0,) * (parts - len(keepers))
        first_event = max(self._first_event(engine, part, now) for engine in chosen)
        return _Plan(chosen, part, first_event, memory)

    def _keepers(self, ask: Ask, fitting: list[EngineLoad]) -> Optional[tuple[EngineLoad, ...]]:
        """Returns the engines that keep the prompt, even shares each; the first one writes."""
        needed = _memory_of(ask)
        fewest = -(-needed // int(self._costs.memory_tokens * MEMORY_SHARE))
        for count in range(fewest, min(len(fitting), MAX_PARTS) + 1):
            roomy = [e for e in fitting if e.free_memory >= -(-needed // count)]
            writers = (engine for engine in roomy if engine.free_slots > 0)
            first = next((e for e in writers if ask.preferred in (None, e.server.id)), None)
            if first is not None and len(roomy) >= count:
                others = [engine for engine in roomy if engine is not first]
                return (first, *others[: count - 1])
        return None

    def _has_room(self, engine: EngineLoad, ask: Ask) -> bool:
        return engine.free_slots > 0 and engine.free_memory >= _memory_of(ask)

    def _first_event(self, engine: EngineLoad, part: float, now: float) -> float:
        """Returns the expected seconds to the first event of a prompt that is read here."""
        running_pass = engine.pass_time() if engine.writers else 0.0
        own_pass = self._costs.pass_time(engine.writers + 1, 0) * engine.pace
        return running_pass + engine.pending_reading(now) + part * engine.pace + own_pass

    def _place(self, ask: Ask, plan: _Plan, now: float) -> Grant:
        for index, engine in enumerate(plan.engines):
            is_helper = index > 0
            work = EngineWork(
                memory_tokens=plan.memory[index],
                context_tokens=plan.memory[index],
                pause=ask.pause,
                reading=plan.part,
                is_reading=True,
                is_helper=is_helper,
            )
            engine.add(ask.id, work, now)
        servers = tuple(engine.server for engine in plan.engines)
        ids = tuple(server.id for server in servers)
        self._placed[ask.id] = _Placed(ask, ids, now, plan.first_event)
        return Grant(ask.id, servers[0], servers[1:], plan.memory[1:], plan.first_event)

    def _engine_at_fault(self, placed: _Placed, named: Optional[str]) -> Optional[EngineLoad]:
        for engine in self._engines_of(placed):
            if named in (engine.server.id, engine.server.address):
                return engine
        return self._engines.get(placed.engine_ids[0])

    def _engines_of(self, placed: _Placed) -> Iterator[EngineLoad]:
        for server_id in placed.engine_ids:
            if server_id in self._engines:
                yield self._engines[server_id]


def _urgency(waiting: _Waiting) -> tuple[int, float]:
    return waiting.ask.priority, waiting.objective_at()


def _memory_of(ask: Ask) -> int:
    return ask.prompt_tokens + ask.answer_tokens


def _fits_pauses(engine: EngineLoad, part: float, ask: Ask, now: float) -> bool:
    """Tells whether reading a part keeps the answers on this engine without long pauses."""
    pause = engine.tightest_pause
    if pause is None:
        return True
    busy = engine.pending_reading(now) + part * engine.pace + engine.pass_time()
    return busy <= pause * PAUSE_SHARE


def _has_pause_within(engine: EngineLoad, pause: float) -> bool:
    tightest = engine.tightest_pause
    return tightest is not None and tightest <= pause


def _long_rank(engine: EngineLoad, ask: Ask, now: float) -> tuple[bool, float, bool]:
    """Orders engines for long prompts: without tight pauses first, then the soonest free."""
    pause = engine.tightest_pause
    tight = pause is not None and pause < ask.pause
    return tight, engine.pending_reading(now), engine.server.zone != ask.zone
