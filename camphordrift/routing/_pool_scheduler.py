"""The scheduler of a pool of engines: it queues exactly and binds late."""

import math
from collections.abc import Iterable
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, LoadReport
from camphordrift.identifiers import BackendServerId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._engine_view import EngineView, Flight
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._scheduler import AttemptKey, Decision, EngineFacts, Granted, Refused

#: A grant must be used within this time, in seconds.
SEND_WITHIN_SECONDS = 1.0

#: An engine gets another prompt while it has less prefill than this before it, in seconds.
BACKLOG_LIMIT_SECONDS = 0.25


class PoolScheduler:
    """Grants asks to the engine with the least estimated work, in order of arrival."""

    def __init__(self) -> None:
        self._engines: dict[BackendServerId, EngineView] = {}
        self._queue: dict[AttemptKey, tuple[GrantAsk, float]] = {}
        self._granted: dict[AttemptKey, BackendServerId] = {}
        self._numbers = 0

    @property
    def queued_count(self) -> int:
        """Asks that wait."""
        return len(self._queue)

    def submit(self, ask: GrantAsk, now: float) -> None:
        """Takes an ask."""
        self._queue[AttemptKey(ask.request_id, ask.attempt)] = (ask, now + ask.remaining_seconds)

    def withdraw(self, key: AttemptKey, now: float) -> None:
        """Drops an ask that is not decided yet."""
        self._queue.pop(key, None)

    def note_first_token(self, key: AttemptKey, now: float) -> None:
        """Notes that a granted attempt's prompt has been prefilled."""
        view = self._view_of(key)
        if view is not None:
            view.advance(now)
            view.note_first_token(key)

    def finish(self, outcome: GrantOutcome, now: float) -> None:
        """Notes how a granted attempt ended."""
        key = AttemptKey(outcome.request_id, outcome.attempt)
        view = self._view_of(key)
        self._granted.pop(key, None)
        if view is None:
            return
        view.advance(now)
        view.remove(key)
        if outcome.engine_failed:
            view.mark_failed(now)

    def forget_vm(self, vm_id: VmId, now: float) -> None:
        """Drops the asks and the grants of a VM that died."""
        for key, (ask, _) in list(self._queue.items()):
            if ask.vm_id == vm_id:
                del self._queue[key]
        for view in self._engines.values():
            for key, flight in list(view.flights.items()):
                if flight.ask.vm_id == vm_id:
                    view.remove(key)
                    self._granted.pop(key, None)

    def set_engines(self, engines: Iterable[EngineFacts], now: float) -> None:
        """Replaces the set of engines."""
        known = self._engines
        self._engines = {}
        for facts in sorted(engines, key=lambda facts: facts.engine_id):
            view = known.get(facts.engine_id) or EngineView(facts, now)
            view.set_facts(facts)
            self._engines[facts.engine_id] = view

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Takes a load report."""
        view = self._engines.get(report.engine_id)
        if view is not None:
            view.advance(now)
            view.observe(report, now)

    def observe_cache_events(
        self, engine_id: BackendServerId, batch: CacheEventBatch, now: float
    ) -> None:
        """Takes cache events."""

    def mark_leaving(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work."""
        if engine_id in self._engines:
            self._engines[engine_id].mark_leaving()

    def mark_failed(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until it has reported again."""
        if engine_id in self._engines:
            self._engines[engine_id].mark_failed(now)

    def decide(self, now: float) -> list[Decision]:
        """Returns the decisions that are due."""
        for view in self._engines.values():
            view.advance(now)
            view.drop_overdue(now)
        decisions: list[Decision] = []
        for key, (ask, deadline) in list(self._queue.items()):
            decision = self._decide_one(ask, deadline, now)
            if decision is not None:
                del self._queue[key]
                decisions.append(decision)
        return decisions

    def next_wakeup(self, now: float) -> float:
        """Returns the instant at which ``decide`` must be called again without any event."""
        if not self._queue:
            return math.inf
        first_deadline = min(deadline for _, deadline in self._queue.values())
        return min(first_deadline, now + BACKLOG_LIMIT_SECONDS)

    def _decide_one(self, ask: GrantAsk, deadline: float, now: float) -> Optional[Decision]:
        key = AttemptKey(ask.request_id, ask.attempt)
        serving = [view for view in self._engines.values() if _serves(view, ask)]
        if not serving:
            detail = f"no engine serves {ask.model} for this account"
            return Refused(key, Failure(ResultCode.NO_ENGINE_AVAILABLE, detail, 5.0))
        needed = ask.prompt_tokens + ask.max_output_tokens
        if all(view.facts.memory_tokens < needed for view in serving):
            detail = f"{needed} tokens exceed the memory of every engine"
            return Refused(key, Failure(ResultCode.PROMPT_NEVER_FITS, detail))
        least = min(view.prefill_seconds(ask.prompt_tokens) for view in serving)
        if now + least >= deadline:
            detail = f"{deadline - now:.1f} s are left, prefill alone takes {least:.1f} s"
            return Refused(key, Failure(ResultCode.DEADLINE_UNREACHABLE, detail, 5.0))
        return self._grant(key, ask, deadline, now, serving)

    def _grant(
        self,
        key: AttemptKey,
        ask: GrantAsk,
        deadline: float,
        now: float,
        serving: list[EngineView],
    ) -> Optional[Decision]:
        needed = ask.prompt_tokens + ask.max_output_tokens
        able = [
            view
            for view in serving
            if view.is_usable(now)
            and view.facts.engine_id not in ask.avoided_engines
            and view.free_memory_tokens >= needed
            and view.backlog_seconds(0) < BACKLOG_LIMIT_SECONDS
        ]
        if not able:
            return None
        best = min(able, key=lambda view: (not view.is_fresh(now), view.backlog_seconds(0)))
        self._numbers += 1
        flight = Flight(
            ask=ask,
            priority=0,
            number=self._numbers,
            deadline=deadline,
            prefill_left=best.prefill_seconds(ask.prompt_tokens),
            output_left=float(ask.expected_output_tokens),
            memory_tokens=needed,
        )
        best.add(key, flight)
        self._granted[key] = best.facts.engine_id
        grant = Grant(key.request_id, key.attempt, best.facts.engine_id, 0, SEND_WITHIN_SECONDS)
        return Granted(grant)

    def _view_of(self, key: AttemptKey) -> Optional[EngineView]:
        engine_id = self._granted.get(key)
        return None if engine_id is None else self._engines.get(engine_id)


def _serves(view: EngineView, ask: GrantAsk) -> bool:
    permitted = not ask.permitted_engines or view.facts.engine_id in ask.permitted_engines
    return permitted and ask.model in view.facts.models


def pool_scheduler() -> PoolScheduler:
    """Returns a scheduler without engines; tell it of them with ``set_engines``."""
    return PoolScheduler()
