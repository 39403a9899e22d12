"""The scheduler of a pool of engines: it queues exactly and binds late."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, KvPart, LoadReport
from camphordrift.identifiers import AccountId, BackendServerId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._choice import (
    AWAY_EXPOSURE,
    LENT_EXPOSURE,
    Option,
    bulk_option,
    short_option,
)
from camphordrift.routing._demand import DemandMeter, Split, split_engines
from camphordrift.routing._engine_view import EngineView, Flight
from camphordrift.routing._fair_queue import FairQueue, Waiting
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._home_messages import RunningGrant
from camphordrift.routing._placement import (
    Gathering,
    can_ever_fit,
    exceeds_one_engine,
    hold_tokens,
    tokens_needed,
)
from camphordrift.routing._policy import RoutingPolicy
from camphordrift.routing._pool_engines import PoolEngines
from camphordrift.routing._scheduler import AttemptKey, Decision, EngineFacts, Granted, Refused
from camphordrift.routing._shedding import (
    predicted_wait,
    refusal_in_queue,
    refusal_on_arrival,
)

#: A grant must be used within this time, in seconds.
SEND_WITHIN_SECONDS = 1.0

#: The queue is looked at this often even if nothing is heard of, in seconds.
REVIEW_SECONDS = 0.1


class PoolScheduler:
    """Decides for a pool of engines which ask runs next, and where.

    An ask waits until an engine suits it, so a short prompt never stands behind a long one that was
    placed before. Some engines are kept free of longer prompts' prefill; how many follows from the
    demand (:func:`engines_kept_for_short`). Create it with :func:`pool_scheduler`.
    """

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy
        self._engines = PoolEngines(policy)
        self._queue = FairQueue(policy.band_count)
        self._demand = DemandMeter(policy.band_count)
        self._granted = DemandMeter(policy.band_count)
        self._gathering = Gathering()
        self._refusals: list[Refused] = []
        self._numbers = 0

    @property
    def queued_count(self) -> int:
        """Asks that wait."""
        return len(self._queue)

    @property
    def policy(self) -> RoutingPolicy:
        """The numbers in force."""
        return self._policy

    def set_slowdown_weight(self, weight: float) -> None:
        """Turns the knob between slowdown and time to first token; holds from now on."""
        self._policy = replace(self._policy, slowdown_weight=weight)

    def set_account_weights(self, weights: Mapping[AccountId, float]) -> None:
        """Sets the client accounts' weights; an account without one has weight 1."""
        self._queue.set_weights(dict(weights))

    def submit(self, ask: GrantAsk, now: float) -> None:
        """Takes an ask; its decision comes from this or a later ``decide``."""
        key = AttemptKey(ask.request_id, ask.attempt)
        serving = self._engines.serving(ask)
        failure = self._unservable(ask, serving)
        if failure is not None:
            self._refusals.append(Refused(key, failure))
            return
        waiting = self._waiting(key, ask, serving, now)
        self._demand.add(waiting.band, waiting.prefill_seconds, now)
        failure = self._refusal_on_arrival(waiting, len(serving), now)
        if failure is not None:
            self._refusals.append(Refused(key, failure))
            return
        self._queue.add(waiting)

    def withdraw(self, key: AttemptKey, now: float) -> None:
        """Drops an ask that is not decided yet."""
        self._drop(key)

    def note_first_token(self, key: AttemptKey, now: float) -> None:
        """Notes that a granted attempt's prompt has been prefilled."""
        self._engines.note_first_token(key, now)

    def finish(self, outcome: GrantOutcome, now: float) -> None:
        """Notes how a granted attempt ended."""
        key = AttemptKey(outcome.request_id, outcome.attempt)
        self._drop(key)
        self._engines.end_flight(key, now)
        if outcome.engine_failed:
            self.mark_failed(outcome.engine_id, now)

    def adopt(self, running: RunningGrant, now: float) -> None:
        """Counts an attempt that another scheduler has granted."""
        self._engines.advance(now)
        ask, grant = running.ask, running.grant
        if not grant.parts:
            self._adopt_on(grant.engine_id, running, ask.prompt_tokens, tokens_needed(ask), now)
        for part in grant.parts:
            memory_tokens = hold_tokens(ask, part)
            self._adopt_on(part.engine_id, running, part.token_count, memory_tokens, now)

    def _adopt_on(
        self,
        engine_id: BackendServerId,
        running: RunningGrant,
        prompt_tokens: int,
        memory_tokens: int,
        now: float,
    ) -> None:
        view = self._engines.view(engine_id)
        if view is None:
            return
        ask, grant = running.ask, running.grant
        band = min(grant.priority, self._policy.band_count - 1)
        deadline = now + ask.remaining_seconds
        prefill = view.prefill_seconds(prompt_tokens)
        flight = self._flight(view, ask, band, deadline, prefill, memory_tokens)
        flight.decoding = running.decoding
        self._engines.add_flight(view, AttemptKey(grant.request_id, grant.attempt), flight)

    def forget_vm(self, vm_id: VmId, now: float) -> None:
        """Drops the asks and the grants of a VM that died."""
        for waiting in self._queue:
            if waiting.ask.vm_id == vm_id:
                self._drop(waiting.key)
        self._engines.end_flights_of(vm_id, now)

    def set_engines(self, engines: Iterable[EngineFacts], now: float) -> None:
        """Replaces the set of engines; what is known of those that stay is kept."""
        self._engines.set_facts(engines, now)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Takes a load report, however late."""
        self._engines.observe_load(report, now)

    def observe_cache_events(
        self, engine_id: BackendServerId, batch: CacheEventBatch, now: float
    ) -> None:
        """Takes cache events, however late or gappy."""
        self._engines.observe_cache_events(engine_id, batch)

    def mark_leaving(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until it is set anew."""
        view = self._engines.view(engine_id)
        if view is not None:
            view.mark_leaving()

    def mark_failed(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until it has reported again."""
        view = self._engines.view(engine_id)
        if view is not None:
            view.mark_failed(now)

    def decide(self, now: float) -> list[Decision]:
        """Returns the decisions that are due."""
        if not self._queue and not self._refusals:
            return []
        self._engines.advance(now)
        decisions: list[Decision] = list(self._refusals)
        self._refusals = []
        decisions += self._give_up_hopeless(now)
        while granted := self._grant_round(now):
            decisions += granted
        return decisions

    def next_wakeup(self, now: float) -> float:
        """Returns the instant at which ``decide`` must be called again without any event."""
        if not len(self._queue):
            return math.inf
        first_lapse = min(waiting.latest_start for waiting in self._queue)
        return min(max(now, first_lapse) + 0.001, now + REVIEW_SECONDS)

    def _expected_output(self, ask: GrantAsk) -> int:
        return min(ask.expected_output_tokens, self._policy.most_expected_output)

    def _drop(self, key: AttemptKey) -> None:
        self._queue.remove(key)
        self._gathering.forget(key)

    def _unservable(self, ask: GrantAsk, serving: list[EngineView]) -> Optional[Failure]:
        if not serving:
            detail = f"no engine serves {ask.model} for this account"
            return Failure(ResultCode.NO_ENGINE_AVAILABLE, detail, 5.0)
        if not can_ever_fit(ask, serving):
            detail = f"{tokens_needed(ask)} tokens exceed the memory of all engines that may run it"
            return Failure(ResultCode.PROMPT_NEVER_FITS, detail)
        if len(self._queue) >= self._policy.max_queued:
            return Failure(ResultCode.QUEUE_FULL, f"{len(self._queue)} requests wait", 2.0)
        return None

    def _waiting(
        self, key: AttemptKey, ask: GrantAsk, serving: list[EngineView], now: float
    ) -> Waiting:
        prefill = min(view.uncached_seconds(ask) for view in serving)
        step = min(view.facts.step_seconds for view in serving)
        deadline = now + ask.remaining_seconds
        return Waiting(
            key=key,
            ask=ask,
            band=self._policy.band_of(ask.prompt_tokens),
            prefill_seconds=prefill,
            since=now,
            deadline=deadline,
            latest_start=deadline - prefill - self._expected_output(ask) * step,
        )

    def _refusal_on_arrival(
        self, waiting: Waiting, engine_count: int, now: float
    ) -> Optional[Failure]:
        wait = predicted_wait(waiting, self._queue, self._granted, engine_count, now)
        return refusal_on_arrival(waiting, wait, now)

    def _give_up_hopeless(self, now: float) -> list[Decision]:
        refused: list[Decision] = []
        for waiting in self._queue:
            failure = refusal_in_queue(waiting, now)
            if failure is not None:
                self._drop(waiting.key)
                refused.append(Refused(waiting.key, failure))
        return refused

    def _grant_round(self, now: float) -> list[Decision]:
        """Grants at most one ask of each account and band, the most pressing first."""
        granted: list[Decision] = []
        blocked: set[int] = set()
        candidates = self._queue.candidates(now)
        pressure = self._bulk_pressure(candidates, now)
        for waiting in candidates:
            if waiting.band in blocked:
                continue
            grant = self._try_grant(waiting, pressure, now)
            if grant is not None:
                granted.append(Granted(grant))
            elif not waiting.ask.permitted_engines and not waiting.ask.avoided_engines:
                blocked.add(waiting.band)
        return granted

    def _try_grant(self, waiting: Waiting, pressure: float, now: float) -> Optional[Grant]:
        usable = self._engines.usable(waiting.ask, now)
        split = split_engines(self._policy, self._demand, pressure, len(usable), now)
        if exceeds_one_engine(waiting.ask, self._engines.serving(waiting.ask)):
            reserved = self._gathering.reserved_engines
            lane = [
                view
                for index, view in enumerate(usable)
                if index >= split.bulk_from or view.facts.engine_id in reserved
            ]
            fits = can_ever_fit(waiting.ask, lane)
            return self._try_place(waiting, lane if fits else usable, now)
        option = self._best_option(waiting, usable, split, now)
        if option is None:
            return None
        self._note_granted(waiting, now)
        self._add_flight(waiting, option.view, option.prefill_seconds, tokens_needed(waiting.ask))
        return _grant(waiting, option.view.facts.engine_id)

    def _try_place(self, waiting: Waiting, usable: list[EngineView], now: float) -> Optional[Grant]:
        """Grants several engines at once, or reserves them until their memory is free."""
        placement = self._gathering.place(waiting.key, waiting.ask, usable)
        if placement is None:
            return None
        self._note_granted(waiting, now)
        starts_at = now
        parts = tuple(part for _, part in placement)
        for view, part in placement:
            prefill = view.prefill_seconds(part.token_count)
            flight = self._add_flight(waiting, view, prefill, hold_tokens(waiting.ask, part))
            flight.starts_at = starts_at
            flight.is_part = part is not parts[-1]
            flight.output_left = 0.0 if flight.is_part else flight.output_left
            starts_at += prefill
        return _grant(waiting, parts[-1].engine_id, parts)

    def _best_option(
        self, waiting: Waiting, usable: list[EngineView], split: Split, now: float
    ) -> Optional[Option]:
        options = []
        for index, view in enumerate(usable):
            if self._gathering.free_memory(view, waiting.band) < tokens_needed(waiting.ask):
                continue
            option = self._option(waiting, view, index, split, now)
            if option is not None:
                options.append(option)
        return min(options, key=lambda option: option.cost, default=None)

    def _bulk_pressure(self, candidates: list[Waiting], now: float) -> float:
        """Counts the longer prompts that press for an engine, in part those that begin to."""
        enough = self._policy.pressing_urgency
        return sum(
            min(1.0, waiting.urgency(now) / enough) for waiting in candidates if waiting.band > 0
        )

    def _option(
        self, waiting: Waiting, view: EngineView, index: int, split: Split, now: float
    ) -> Optional[Option]:
        prefill = view.uncached_seconds(waiting.ask)
        if waiting.band == 0:
            exposure = _exposure(index, split)
            return short_option(view, waiting, prefill, self._policy, exposure)
        if index < split.bulk_from:
            return None
        return bulk_option(view, waiting, prefill, self._policy, now)

    def _note_granted(self, waiting: Waiting, now: float) -> None:
        self._queue.remove(waiting.key)
        self._gathering.forget(waiting.key)
        self._queue.charge(waiting)
        self._granted.add(waiting.band, waiting.prefill_seconds, now)

    def _add_flight(
        self, waiting: Waiting, view: EngineView, prefill: float, memory_tokens: int
    ) -> Flight:
        flight = self._flight(
            view, waiting.ask, waiting.band, waiting.deadline, prefill, memory_tokens
        )
        self._engines.add_flight(view, waiting.key, flight)
        return flight

    def _flight(
        self,
        view: EngineView,
        ask: GrantAsk,
        band: int,
        deadline: float,
        prefill: float,
        memory_tokens: int,
    ) -> Flight:
        self._numbers += 1
        output = self._expected_output(ask)
        return Flight(
            ask=ask,
            priority=band,
            number=self._numbers,
            deadline=deadline,
            prefill_left=prefill,
            output_left=float(output),
            memory_tokens=memory_tokens,
            alone_seconds=prefill + output * view.facts.step_seconds,
        )


def _exposure(index: int, split: Split) -> float:
    """Returns the slowdown that longer prefill may cause on the engine at ``index``."""
    if index < split.protected_until:
        return 0.0
    return LENT_EXPOSURE if index < split.short_until else AWAY_EXPOSURE


def _grant(waiting: Waiting, engine_id: BackendServerId, parts: tuple[KvPart, ...] = ()) -> Grant:
    key = waiting.key
    return Grant(key.request_id, key.attempt, engine_id, waiting.band, SEND_WITHIN_SECONDS, parts)


def pool_scheduler(policy: Optional[RoutingPolicy] = None) -> PoolScheduler:
    """Returns a scheduler without engines; tell it of them with ``set_engines``.

    Example::

        scheduler = pool_scheduler(RoutingPolicy(slowdown_weight=0.9))
        scheduler.set_engines([EngineFacts(engine_id, frozenset({model}))], now)
    """
    return PoolScheduler(policy or RoutingPolicy())
