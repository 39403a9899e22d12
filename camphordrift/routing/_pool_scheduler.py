"""The scheduler of a pool of engines, with a central queue.

A request is assigned to an engine only when it starts, not when it arrives.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, KvPart, LoadReport
from camphordrift.identifiers import AccountId, BackendServerId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._choice import (
    LONG_ENGINE_SLOWDOWN,
    SHARED_ENGINE_SLOWDOWN,
    Option,
    long_option,
    short_option,
)
from camphordrift.routing._demand import DemandMeter, EngineSplit, split_engines
from camphordrift.routing._engine_view import EngineJob, EngineView
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._home_messages import RunningGrant
from camphordrift.routing._placement import (
    EngineReservation,
    can_ever_fit,
    exceeds_one_engine,
    hold_tokens,
    tokens_needed,
)
from camphordrift.routing._policy import RoutingPolicy
from camphordrift.routing._pool_engines import PoolEngines
from camphordrift.routing._request_queue import QueuedAsk, RequestQueue
from camphordrift.routing._scheduler import AttemptKey, Decision, EngineSpec, Granted, Refused
from camphordrift.routing._shedding import (
    predicted_wait,
    refusal_in_queue,
    refusal_on_arrival,
)

#: Seconds within which a granted attempt must be sent to the engine.
SEND_WITHIN_SECONDS = 1.0

#: Maximum number of seconds between two scheduling rounds while requests are queued.
REVIEW_INTERVAL_SECONDS = 0.1


class PoolScheduler:
    """Decides which queued request of a pool runs next, and on which engine.

    A request stays in the central queue until an engine suits it, so a short prompt never waits
    behind a long prompt that was assigned to its engine earlier. Create it with
    :func:`pool_scheduler`.

    A band is a range of prompt lengths; the first band is "short", all others are "long". The split
    divides the engines, in the order of their ids, between short prompts at the front and long
    prompts at the back, according to the measured demand (:func:`split_engines`). An option is an
    engine that could run a request now, with its estimated cost. A job is the work of a granted
    attempt, or of one part of its prompt, on one engine.
    """

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy
        self._engines = PoolEngines(policy)
        self._queue = RequestQueue(policy.band_count)
        self._demand = DemandMeter(policy.band_count)
        self._granted_demand = DemandMeter(policy.band_count)
        self._reservation = EngineReservation()
        self._refusals: list[Refused] = []
        self._last_number = 0

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def policy(self) -> RoutingPolicy:
        """The tuning parameters in use."""
        return self._policy

    def set_slowdown_weight(self, weight: float) -> None:
        """Sets the weight of slowdown relative to time to first token for later decisions."""
        self._policy = replace(self._policy, slowdown_weight=weight)

    def set_account_weights(self, weights: Mapping[AccountId, float]) -> None:
        """Sets the weights of client accounts; an account without one has weight 1."""
        self._queue.set_weights(dict(weights))

    def submit(self, ask: GrantAsk, now: float) -> None:
        """Submits a grant request; the next or a later ``decide`` returns its decision."""
        key = AttemptKey(ask.request_id, ask.attempt)
        serving = self._engines.serving_engines(ask)
        failure = self._unservable_failure(ask, serving)
        if failure is not None:
            self._refusals.append(Refused(key, failure))
            return
        queued = self._new_queued_ask(key, ask, serving, now)
        self._demand.add(queued.band, queued.prefill_seconds, now)
        failure = self._refusal_on_arrival(queued, len(serving), now)
        if failure is not None:
            self._refusals.append(Refused(key, failure))
            return
        self._queue.add(queued)

    def withdraw(self, key: AttemptKey, now: float) -> None:
        """Removes an undecided grant request; does nothing if there is none."""
        self._dequeue(key)

    def record_first_token(self, key: AttemptKey, now: float) -> None:
        """Records that the prefill of a granted attempt is complete."""
        self._engines.record_first_token(key, now)

    def finish(self, outcome: GrantOutcome, now: float) -> None:
        """Records how a granted attempt ended, or withdraws its grant request if it is queued."""
        key = AttemptKey(outcome.request_id, outcome.attempt)
        self._dequeue(key)
        self._engines.remove_job(key, now)
        if outcome.engine_failed:
            self.mark_failed(outcome.engine_id, now)

    def adopt(self, running: RunningGrant, now: float) -> None:
        """Adds a running attempt that another scheduler has granted."""
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
        job = self._new_job(view, ask, band, deadline, prefill, memory_tokens)
        job.decoding = running.decoding
        self._engines.add_job(view, AttemptKey(grant.request_id, grant.attempt), job)

    def remove_vm(self, vm_id: VmId, now: float) -> None:
        """Removes the queued requests and the granted attempts of a dead VM."""
        for queued in self._queue:
            if queued.ask.vm_id == vm_id:
                self._dequeue(queued.key)
        self._engines.remove_jobs_of(vm_id, now)

    def set_engines(self, engines: Iterable[EngineSpec], now: float) -> None:
        """Replaces the set of engines; engines that remain keep their state."""
        self._engines.set_specs(engines, now)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Applies a load report, which may be delayed."""
        self._engines.observe_load(report, now)

    def observe_cache_events(
        self, engine_id: BackendServerId, batch: CacheEventBatch, now: float
    ) -> None:
        """Applies cache events, which may be delayed or have gaps."""
        self._engines.observe_cache_events(engine_id, batch)

    def mark_leaving(self, engine_id: BackendServerId, now: float) -> None:
        """Marks an engine as draining: no new work until ``set_engines`` lists it again."""
        view = self._engines.view(engine_id)
        if view is not None:
            view.mark_leaving()

    def mark_failed(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until its next report or a timeout."""
        view = self._engines.view(engine_id)
        if view is not None:
            view.mark_failed(now)

    def decide(self, now: float) -> list[Decision]:
        """Returns the decisions that are due now."""
        if not self._queue and not self._refusals:
            return []
        self._engines.advance(now)
        decisions: list[Decision] = list(self._refusals)
        self._refusals = []
        decisions += self._refuse_expired(now)
        while granted := self._grant_round(now):
            decisions += granted
        return decisions

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which ``decide`` must run again even if no event occurs."""
        if not len(self._queue):
            return math.inf
        first_expiry = min(queued.latest_start for queued in self._queue)
        return min(max(now, first_expiry) + 0.001, now + REVIEW_INTERVAL_SECONDS)

    def _expected_output(self, ask: GrantAsk) -> int:
        return min(ask.expected_output_tokens, self._policy.max_expected_output_tokens)

    def _dequeue(self, key: AttemptKey) -> None:
        self._queue.remove(key)
        self._reservation.cancel(key)

    def _unservable_failure(self, ask: GrantAsk, serving: list[EngineView]) -> Optional[Failure]:
        if not serving:
            detail = f"no engine serves {ask.model} for this account"
            return Failure(ResultCode.NO_ENGINE_AVAILABLE, detail, 5.0)
        if not can_ever_fit(ask, serving):
            detail = (
                f"{tokens_needed(ask)} tokens exceed the memory of all engines the request may use"
            )
            return Failure(ResultCode.PROMPT_NEVER_FITS, detail)
        if len(self._queue) >= self._policy.max_queued:
            return Failure(ResultCode.QUEUE_FULL, f"{len(self._queue)} requests are queued", 2.0)
        return None

    def _new_queued_ask(
        self, key: AttemptKey, ask: GrantAsk, serving: list[EngineView], now: float
    ) -> QueuedAsk:
        prefill = min(view.uncached_seconds(ask) for view in serving)
        step = min(view.spec.step_seconds for view in serving)
        deadline = now + ask.remaining_seconds
        return QueuedAsk(
            key=key,
            ask=ask,
            band=self._policy.band_of(ask.prompt_tokens),
            prefill_seconds=prefill,
            queued_at=now,
            deadline=deadline,
            latest_start=deadline - prefill - self._expected_output(ask) * step,
        )

    def _refusal_on_arrival(
        self, queued: QueuedAsk, engine_count: int, now: float
    ) -> Optional[Failure]:
        wait = predicted_wait(queued, self._queue, self._granted_demand, engine_count, now)
        return refusal_on_arrival(queued, wait, now)

    def _refuse_expired(self, now: float) -> list[Decision]:
        refused: list[Decision] = []
        for queued in self._queue:
            failure = refusal_in_queue(queued, now)
            if failure is not None:
                self._dequeue(queued.key)
                refused.append(Refused(queued.key, failure))
        return refused

    def _grant_round(self, now: float) -> list[Decision]:
        """Grants at most one request of each account and band, in the order of the queue.

        If a request that may use all engines gets none, the rest of its band is skipped.
        """
        granted: list[Decision] = []
        blocked: set[int] = set()
        candidates = self._queue.candidates(now)
        urgent_long_count = self._count_urgent_long_prompts(candidates, now)
        for queued in candidates:
            if queued.band in blocked:
                continue
            grant = self._try_grant(queued, urgent_long_count, now)
            if grant is not None:
                granted.append(Granted(grant))
            elif not queued.ask.permitted_engines and not queued.ask.avoided_engines:
                blocked.add(queued.band)
        return granted

    def _try_grant(
        self, queued: QueuedAsk, urgent_long_count: float, now: float
    ) -> Optional[Grant]:
        usable = self._engines.usable_engines(queued.ask, now)
        split = split_engines(self._policy, self._demand, urgent_long_count, len(usable), now)
        if exceeds_one_engine(queued.ask, self._engines.serving_engines(queued.ask)):
            reserved = self._reservation.reserved_engines
            long_engines = [
                view
                for index, view in enumerate(usable)
                if index >= split.long_start or view.spec.engine_id in reserved
            ]
            fits = can_ever_fit(queued.ask, long_engines)
            return self._try_grant_several_engines(queued, long_engines if fits else usable, now)
        option = self._cheapest_option(queued, usable, split, now)
        if option is None:
            return None
        self._record_granted(queued, now)
        self._add_job(queued, option.view, option.prefill_seconds, tokens_needed(queued.ask))
        return _new_grant(queued, option.view.spec.engine_id)

    def _try_grant_several_engines(
        self, queued: QueuedAsk, usable: list[EngineView], now: float
    ) -> Optional[Grant]:
        """Grants several engines for a large prompt, or reserves them until they have memory."""
        placement = self._reservation.place(queued.key, queued.ask, usable)
        if placement is None:
            return None
        self._record_granted(queued, now)
        starts_at = now
        parts = tuple(part for _, part in placement)
        for view, part in placement:
            prefill = view.prefill_seconds(part.token_count)
            job = self._add_job(queued, view, prefill, hold_tokens(queued.ask, part))
            job.starts_at = starts_at
            job.is_part = part is not parts[-1]
            job.remaining_output = 0.0 if job.is_part else job.remaining_output
            starts_at += prefill
        return _new_grant(queued, parts[-1].engine_id, parts)

    def _cheapest_option(
        self, queued: QueuedAsk, usable: list[EngineView], split: EngineSplit, now: float
    ) -> Optional[Option]:
        options = []
        for index, view in enumerate(usable):
            if self._reservation.free_memory(view, queued.band) < tokens_needed(queued.ask):
                continue
            option = self._option_on_engine(queued, view, index, split, now)
            if option is not None:
                options.append(option)
        return min(options, key=lambda option: option.cost, default=None)

    def _count_urgent_long_prompts(self, candidates: list[QueuedAsk], now: float) -> float:
        """Returns the number of urgent long prompts.

        A prompt whose waiting ratio is below ``urgent_waiting_ratio`` counts as a fraction: its
        ratio divided by that value.
        """
        urgent_ratio = self._policy.urgent_waiting_ratio
        return sum(
            min(1.0, queued.waiting_ratio(now) / urgent_ratio)
            for queued in candidates
            if queued.band > 0
        )

    def _option_on_engine(
        self, queued: QueuedAsk, view: EngineView, index: int, split: EngineSplit, now: float
    ) -> Optional[Option]:
        prefill = view.uncached_seconds(queued.ask)
        if queued.band == 0:
            expected_slowdown = _expected_slowdown(index, split)
            return short_option(view, queued, prefill, self._policy, expected_slowdown)
        if index < split.long_start:
            return None
        return long_option(view, queued, prefill, self._policy, now)

    def _record_granted(self, queued: QueuedAsk, now: float) -> None:
        self._queue.remove(queued.key)
        self._reservation.cancel(queued.key)
        self._queue.charge(queued)
        self._granted_demand.add(queued.band, queued.prefill_seconds, now)

    def _add_job(
        self, queued: QueuedAsk, view: EngineView, prefill: float, memory_tokens: int
    ) -> EngineJob:
        job = self._new_job(view, queued.ask, queued.band, queued.deadline, prefill, memory_tokens)
        self._engines.add_job(view, queued.key, job)
        return job

    def _new_job(
        self,
        view: EngineView,
        ask: GrantAsk,
        band: int,
        deadline: float,
        prefill: float,
        memory_tokens: int,
    ) -> EngineJob:
        self._last_number += 1
        output = self._expected_output(ask)
        return EngineJob(
            ask=ask,
            priority=band,
            number=self._last_number,
            deadline=deadline,
            remaining_prefill=prefill,
            remaining_output=float(output),
            memory_tokens=memory_tokens,
            unloaded_seconds=prefill + output * view.spec.step_seconds,
        )


def _expected_slowdown(index: int, split: EngineSplit) -> float:
    """Returns the slowdown to expect from long prefills on the engine at ``index``."""
    if index < split.protected_end:
        return 0.0
    return SHARED_ENGINE_SLOWDOWN if index < split.short_end else LONG_ENGINE_SLOWDOWN


def _new_grant(
    queued: QueuedAsk, engine_id: BackendServerId, parts: tuple[KvPart, ...] = ()
) -> Grant:
    key = queued.key
    return Grant(key.request_id, key.attempt, engine_id, queued.band, SEND_WITHIN_SECONDS, parts)


def pool_scheduler(policy: Optional[RoutingPolicy] = None) -> PoolScheduler:
    """Returns a scheduler without engines; add them with ``set_engines``.

    Example::

        scheduler = pool_scheduler(RoutingPolicy(slowdown_weight=0.9))
        scheduler.set_engines([EngineSpec(engine_id, frozenset({model}))], now)
    """
    return PoolScheduler(policy or RoutingPolicy())
