"""The scheduler of a pool of engines: it queues exactly and binds late."""

import math
from collections.abc import Iterable, Mapping
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, LoadReport
from camphordrift.identifiers import AccountId, BackendServerId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._choice import Option, bulk_option, short_option
from camphordrift.routing._demand import DemandMeter, Split, split_engines
from camphordrift.routing._engine_view import EngineView, Flight
from camphordrift.routing._fair_queue import FairQueue, Waiting
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
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
        self._queue.remove(key)

    def note_first_token(self, key: AttemptKey, now: float) -> None:
        """Notes that a granted attempt's prompt has been prefilled."""
        self._engines.note_first_token(key, now)

    def finish(self, outcome: GrantOutcome, now: float) -> None:
        """Notes how a granted attempt ended."""
        key = AttemptKey(outcome.request_id, outcome.attempt)
        self._engines.end_flight(key, outcome.engine_failed, now)

    def forget_vm(self, vm_id: VmId, now: float) -> None:
        """Drops the asks and the grants of a VM that died."""
        for waiting in self._queue:
            if waiting.ask.vm_id == vm_id:
                self._queue.remove(waiting.key)
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

    def _unservable(self, ask: GrantAsk, serving: list[EngineView]) -> Optional[Failure]:
        if not serving:
            detail = f"no engine serves {ask.model} for this account"
            return Failure(ResultCode.NO_ENGINE_AVAILABLE, detail, 5.0)
        needed = ask.prompt_tokens + ask.max_output_tokens
        if all(view.facts.memory_tokens < needed for view in serving):
            detail = f"{needed} tokens exceed the memory of every engine"
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
            latest_start=deadline - prefill - ask.expected_output_tokens * step,
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
                self._queue.remove(waiting.key)
                refused.append(Refused(waiting.key, failure))
        return refused

    def _grant_round(self, now: float) -> list[Decision]:
        """Grants at most one ask of each account and band, the most pressing first."""
        granted: list[Decision] = []
        blocked: set[int] = set()
        for waiting in self._queue.candidates(now):
            if waiting.band in blocked:
                continue
            option = self._best_option(waiting, now)
            if option is not None:
                granted.append(self._grant(waiting, option, now))
            elif not waiting.ask.permitted_engines and not waiting.ask.avoided_engines:
                blocked.add(waiting.band)
        return granted

    def _best_option(self, waiting: Waiting, now: float) -> Optional[Option]:
        needed = waiting.ask.prompt_tokens + waiting.ask.max_output_tokens
        usable = self._engines.usable(waiting.ask, now)
        split = self._split(len(usable), now)
        options = []
        for index, view in enumerate(usable):
            if view.free_memory_tokens < needed:
                continue
            option = self._option(waiting, view, index, split, now)
            if option is not None:
                options.append(option)
        return min(options, key=lambda option: option.cost, default=None)

    def _split(self, engine_count: int, now: float) -> Split:
        queued = self._queue.work_above(0)
        return split_engines(self._policy, self._demand, queued, engine_count, now)

    def _option(
        self, waiting: Waiting, view: EngineView, index: int, split: Split, now: float
    ) -> Optional[Option]:
        prefill = view.uncached_seconds(waiting.ask)
        if waiting.band == 0:
            at_home = index < split.short_until
            return short_option(view, waiting, prefill, self._policy, at_home)
        if index < split.bulk_from:
            return None
        return bulk_option(view, waiting, prefill, self._policy, now)

    def _grant(self, waiting: Waiting, option: Option, now: float) -> Granted:
        self._queue.remove(waiting.key)
        self._queue.charge(waiting)
        self._granted.add(waiting.band, waiting.prefill_seconds, now)
        self._numbers += 1
        ask = waiting.ask
        flight = Flight(
            ask=ask,
            priority=waiting.band,
            number=self._numbers,
            deadline=waiting.deadline,
            prefill_left=option.prefill_seconds,
            output_left=float(ask.expected_output_tokens),
            memory_tokens=ask.prompt_tokens + ask.max_output_tokens,
            alone_seconds=option.prefill_seconds
            + ask.expected_output_tokens * option.view.facts.step_seconds,
        )
        self._engines.add_flight(option.view, waiting.key, flight)
        return Granted(
            Grant(
                waiting.key.request_id,
                waiting.key.attempt,
                option.view.facts.engine_id,
                waiting.band,
                SEND_WITHIN_SECONDS,
            )
        )


def pool_scheduler(policy: Optional[RoutingPolicy] = None) -> PoolScheduler:
    """Returns a scheduler without engines; tell it of them with ``set_engines``.

    Example::

        scheduler = pool_scheduler(RoutingPolicy(slowdown_weight=0.9))
        scheduler.set_engines([EngineFacts(engine_id, frozenset({model}))], now)
    """
    return PoolScheduler(policy or RoutingPolicy())
