"""Keeps account of the requests for one service and of the engines that work on them."""

import itertools
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._engine_load import EngineLoad, EngineWork
from camphordrift.relay._engine_planner import (
    MAX_PARTS,
    MEMORY_SHARE,
    PlacementRound,
    Plan,
    is_usable,
    memory_of,
)
from camphordrift.relay._placement_values import (
    Ask,
    Decision,
    Grant,
    Outcome,
    Refusal,
    RefusalReason,
)
from camphordrift.relay._values import BackendServer, EngineCosts

#: Part of its time in which a late request may be passed over for others that can be in time; the
#: rest is for serving it.
PASSING_SHARE = 0.5

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

    def is_old(self, now: float) -> bool:
        """Tells whether the request must not be passed over any longer."""
        return now > self.submitted + self.ask.time_left * PASSING_SHARE


@dataclass
class _Placed:
    ask: Ask
    engine_ids: tuple[str, ...]
    granted: float
    first_event: float
    reading_ended: bool = False


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
        for engine in self._engines.values():
            engine.set_costs(costs)

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
        part = self._costs.prefill_time(ask.prompt_tokens) / (1 + len(grant.helpers))
        first = memory_of(ask) - sum(grant.helper_memory)
        memory = (first, *grant.helper_memory)[: len(engines)]
        self._place(ask, Plan(engines, part, grant.first_event, memory), now)
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
    ) -> bool:
        """Notes that a request's work has ended; returns whether engines had it.

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
            return False
        for engine in self._engines_of(placed):
            engine.remove(ask_id, now)
        first = self._engine_at_fault(placed, at_fault)
        if first is not None:
            _note_outcome(first, outcome, now)
        return True

    def decide(self, now: float) -> list[Decision]:
        """Answers every request that can be placed or must be refused now.

        Where more wait than engines can serve in time, requests that can still be in time go before
        those that are late anyway: otherwise each would be served when it has just become late.
        """
        self._drop_forgotten(now)
        if not self._waiting:
            return []
        placement = PlacementRound(self._engines.values(), self._costs, now)
        in_order = sorted(self._waiting.values(), key=_urgency)
        decisions: list[Decision] = []
        for _, group in itertools.groupby(in_order, key=lambda waiting: waiting.ask.priority):
            decisions += self._decide_group(group, placement, now)
        for decision in decisions:
            del self._waiting[decision.ask_id]
        return decisions

    def _decide_group(
        self, group: Iterable[_Waiting], placement: PlacementRound, now: float
    ) -> Iterator[Decision]:
        """Yields the decisions on requests of one priority, which come in their order."""
        late: list[_Waiting] = []
        for waiting in group:
            if (refusal := self._refusal(waiting, now)) is not None:
                yield refusal
                continue
            objective = waiting.objective_at() - now
            may_be_passed_over = not waiting.is_old(now)
            if may_be_passed_over and objective <= 0:
                late.append(waiting)
                continue
            plan = placement.plan(waiting.ask, objective)
            if plan is not None and may_be_passed_over and plan.first_event > objective:
                late.append(waiting)
            elif plan is not None:
                yield self._place_in(placement, waiting.ask, plan, now)
        for waiting in late:
            plan = placement.plan(waiting.ask, waiting.objective_at() - now)
            if plan is not None:
                yield self._place_in(placement, waiting.ask, plan, now)

    def _place_in(self, placement: PlacementRound, ask: Ask, plan: Plan, now: float) -> Grant:
        grant = self._place(ask, plan, now)
        placement.placed(plan)
        return grant

    def _drop_forgotten(self, now: float) -> None:
        """Gives back the engines of requests whose end was never reported."""
        for ask_id, placed in list(self._placed.items()):
            if now > placed.granted + placed.ask.time_left + END_REPORT_TIME:
                self.finished(ask_id, Outcome.SERVED, now)

    def _refusal(self, waiting: _Waiting, now: float) -> Optional[Refusal]:
        ask = waiting.ask
        if all(name in ask.excluded for name in self._engines):
            return Refusal(ask.id, RefusalReason.NO_ENGINE, DEFAULT_RETRY_AFTER)
        if not self._can_ever_fit(ask):
            return Refusal(ask.id, RefusalReason.NEVER_FITS, None)
        if ask.preferred is not None and not self._is_usable(ask.preferred, now):
            return Refusal(ask.id, RefusalReason.NO_ENGINE, DEFAULT_RETRY_AFTER)
        time_left, time_needed = waiting.needed_at() - now, self._least_time(ask)
        if time_left < time_needed:
            return Refusal(ask.id, RefusalReason.TOO_LATE, None, time_left, time_needed)
        return None

    def _can_ever_fit(self, ask: Ask) -> bool:
        engines = min(MAX_PARTS, len(self._engines))
        return memory_of(ask) <= engines * int(self._costs.memory_tokens * MEMORY_SHARE)

    def _least_time(self, ask: Ask) -> float:
        """Returns the seconds that a request needs even on engines that are all free."""
        parts = min(MAX_PARTS, len(self._engines))
        # How much of a resumed answer is left is not known, but it is at least one event.
        answer_tokens = 1 if ask.resumed else max(1, ask.answer_tokens // 2)
        passes = math.ceil(answer_tokens / self._costs.decode_steps_per_iteration)
        writing = self._costs.iteration_time(1, ask.prompt_tokens) * passes
        return self._costs.prefill_time(ask.prompt_tokens) / parts + writing

    def _is_usable(self, server_id: str, now: float) -> bool:
        engine = self._engines.get(server_id)
        return engine is not None and is_usable(engine, now)

    def _place(self, ask: Ask, plan: Plan, now: float) -> Grant:
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


def _note_outcome(engine: EngineLoad, outcome: Outcome, now: float) -> None:
    if outcome is Outcome.SERVED:
        engine.note_success()
    elif outcome is Outcome.REJECTED:
        engine.note_rejection(now)
    elif outcome in (Outcome.FAILED, Outcome.SILENT):
        engine.note_failure(now)
