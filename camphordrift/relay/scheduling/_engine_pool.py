"""Tracks the requests for one model service and the load of its engines, and places requests."""

import heapq
import itertools
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.model import BackendServer, EngineCosts, EngineReport, ServerState
from camphordrift.relay.scheduling._account_order import AccountOrder, AccountShare
from camphordrift.relay.scheduling._backlog_admission import BacklogAdmission
from camphordrift.relay.scheduling._engine_index import EngineIndex
from camphordrift.relay.scheduling._engine_load import EngineLoad, EngineTask
from camphordrift.relay.scheduling._engine_planner import (
    MAX_MEMORY_SHARE,
    MAX_PARTS,
    PlacementRound,
    Plan,
    is_usable,
    required_memory,
)
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
)
from camphordrift.relay.scheduling._request_limits import (
    LIMITED_WAIT_SHARE,
    RequestLimits,
    total_wait,
)
from camphordrift.relay.scheduling._waiting_requests import (
    WaitingRequest,
    engine_seconds,
    urgency,
    waiting_request,
)
from camphordrift.relay.servers import ServerPause

#: A first event is overdue, which suggests that the engine crashed, after the expected time times
#: :data:`OVERDUE_FACTOR` plus :data:`OVERDUE_SLACK` seconds. Prompts that arrive later may delay a
#: first event.
OVERDUE_FACTOR = 2.0
OVERDUE_SLACK = 0.15

#: Seconds after a request's deadline at which its engines are released if its end has not been
#: reported.
FINISH_REPORT_TIMEOUT = 1.0

#: Seconds after which a caller may retry when no engine is usable.
DEFAULT_RETRY_AFTER = 1.0


@dataclass
class _PlacedRequest:
    request: PlacementRequest
    engine_ids: tuple[str, ...]
    placed_at: float
    engine_seconds: float
    is_prefilled: bool = False


class EnginePool:
    """Places the requests for one service on its engines.

    All points in time are seconds of one monotonic clock and are passed in by the caller.

    Args:
        costs: Capacity and cost model of the engines.
        tie_breaker: Determines the order of equally loaded engines; see :class:`EngineIndex`.
        limits: Limits of requests that engines named; without it, there are none.

    """

    def __init__(
        self,
        costs: EngineCosts,
        tie_breaker: str = "",
        limits: Optional[RequestLimits] = None,
    ) -> None:
        self._costs = costs
        self._limits = RequestLimits(lambda: 1.0) if limits is None else limits
        self._index = EngineIndex(tie_breaker)
        #: Ids of the engines that counted as cold in the last round, and of cold ones elsewhere.
        self._cold_ids: frozenset[str] = frozenset()
        self._draining_count = 0
        #: How accounts stood in the last round, by the ids of the requests that a backlog decided.
        self._shares: dict[str, AccountShare] = {}
        #: Requests of the present round that come first, and that were not placed.
        self._requests_ahead = 0
        #: Usable engines of the present round if all are limited, by the ids of excluded ones.
        self._limited_engines: dict[tuple[str, ...], list[EngineLoad]] = {}
        self._waiting: dict[str, WaitingRequest] = {}
        self._account_order = AccountOrder()
        self._admission = BacklogAdmission(self._account_order)
        self._placed: dict[str, _PlacedRequest] = {}
        #: Heap of the times at which placed requests are released without a report, and their ids;
        #: those of requests that have ended are removed when their time comes.
        self._release_times: list[tuple[float, str]] = []

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for an engine."""
        return len(self._waiting)

    @property
    def placed_count(self) -> int:
        """Number of requests that are placed on engines."""
        return len(self._placed)

    def share_of(self, ask_id: str) -> Optional[AccountShare]:
        """Returns how accounts stood when a request was decided on in the last round.

        ``None`` if no backlog decided.
        """
        return self._shares.get(ask_id)

    def set_costs(self, costs: EngineCosts) -> None:
        """Replaces the engines' costs by those of a new configuration."""
        if costs == self._costs:
            return
        self._costs = costs
        for engine in self._index.engines:
            engine.set_costs(costs)
            self._index.update(engine)
        self._update_needs()

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replaces the list of engines; an engine that restarted starts without load."""
        loads = []
        for server in servers:
            load = self._index.find(server.id)
            if load is None or load.server.started_ms != server.started_ms:
                load = EngineLoad(server, self._costs, self._limits)
                load.is_cold = server.id in self._cold_ids
            load.server = server
            loads.append(load)
        self._draining_count = sum(load.server.state is ServerState.LEAVING for load in loads)
        self._index.replace_all(loads)
        self._update_needs()

    def submit(self, request: PlacementRequest, now: float) -> None:
        """Queues a placement request; :meth:`decide` returns the decision on it."""
        self.withdraw(request.id)
        self._waiting[request.id] = waiting = waiting_request(request, now)
        self._set_needs(waiting)
        self._account_order.add(waiting)
        for pause in request.server_pauses:
            self._add_pause(waiting, pause, now)

    def register(
        self, request: PlacementRequest, grant: Grant, is_prefilling: bool, now: float
    ) -> None:
        """Adds the load of a request that another VM placed.

        Args:
            request: The placement request.
            grant: The other VM's decision.
            is_prefilling: Whether the request's prefill has not finished.
            now: The current time.

        """
        self.withdraw(request.id)
        engines = tuple(
            engine
            for server in (grant.server, *grant.helpers)
            if (engine := self._index.find(server.id)) is not None
        )
        if not engines:
            return
        part_seconds = self._costs.prefill_time(request.prompt_tokens) / (1 + len(grant.helpers))
        primary_memory = required_memory(request) - sum(grant.helper_memory)
        missing = (0,) * (len(grant.helpers) - len(grant.helper_memory))
        memory = (primary_memory, *grant.helper_memory, *missing)[: len(engines)]
        plan = Plan(engines, part_seconds, grant.first_event, memory)
        self._add_placement(request, plan, request.objective, now, is_running=not is_prefilling)
        if not is_prefilling:
            self.record_first_event(request.id, now)

    def withdraw(self, ask_id: str) -> None:
        """Removes a waiting request; unknown ids are ignored."""
        if (waiting := self._waiting.pop(ask_id, None)) is not None:
            self._account_order.remove(waiting)

    def record_pause(self, ask_ids: Iterable[str], pause: ServerPause, now: float) -> None:
        """Records that an engine wants none of some waiting requests; ignores unknown ids."""
        for ask_id in ask_ids:
            if waiting := self._waiting.get(ask_id):
                self._add_pause(waiting, pause, now)

    def record_first_event(self, ask_id: str, now: float) -> None:
        """Records the first event of a response, which shows that prefill has finished."""
        placed = self._placed.get(ask_id)
        if placed is None or placed.is_prefilled:
            return
        placed.is_prefilled = True
        for engine in self._engines_of(placed):
            engine.record_prefilled(ask_id, now)
            self._index.update(engine)

    def record_event_gap(self, ask_id: str, gap: float) -> None:
        """Updates the latency factor of a request's engine.

        Args:
            ask_id: Id of the placement request.
            gap: Seconds of the shortest of several gaps between events; taken as the time of one
                iteration.

        """
        placed = self._placed.get(ask_id)
        engine = None if placed is None else self._index.find(placed.engine_ids[0])
        if engine is not None:
            engine.record_iteration(gap)
            self._index.update(engine)

    def record_finished(
        self, ask_id: str, outcome: AttemptOutcome, now: float, at_fault: Optional[str] = None
    ) -> bool:
        """Removes a request that has ended; returns whether it was placed on engines.

        Args:
            ask_id: Id of the placement request.
            outcome: How the request ended.
            now: The current time.
            at_fault: Id or address of the engine that the response names as the cause of a failure;
                ``None`` or an unknown one stands for the primary engine.

        """
        placed = self._placed.pop(ask_id, None)
        if placed is None:
            self.withdraw(ask_id)
            return False
        duration = now - placed.placed_at
        self._admission.record_ended(placed.request, placed.engine_seconds, duration, now)
        for engine in self._engines_of(placed):
            engine.remove(ask_id, now)
            self._index.update(engine)
        engine_at_fault = self._engine_at_fault(placed, at_fault)
        if engine_at_fault is not None:
            _record_outcome(engine_at_fault, outcome, now)
        return True

    def servers_to_inspect(self, now: float) -> list[BackendServer]:
        """Returns the engines from which a report is needed now; each counts as requested."""
        due = [engine for engine in self._index.engines if engine.health.is_report_due(now)]
        for engine in due:
            engine.health.record_report_requested(now)
        return [engine.server for engine in due]

    def record_report(self, server_id: str, report: Optional[EngineReport], now: float) -> None:
        """Records an engine's report, or that it did not answer; unknown engines are ignored."""
        engine = self._index.find(server_id)
        if engine is not None:
            engine.health.record_report(report, len(engine.tasks), now)

    def restart_estimates(self, now: float) -> None:
        """Forgets how fast requests were served, as this VM begins to decide for others."""
        self._admission.restart_estimates(now)

    def decide(self, now: float) -> list[PlacementDecision]:
        """Returns decisions on all waiting requests that can be placed or must be refused now.

        Under overload, requests that can still meet their target time are placed before those that
        are already late. Otherwise every request would be served just after it became late.
        """
        self._release_unreported(now)
        self._shares.clear()
        if not self._waiting:
            return []
        self._update_cold_engines(now)
        placement_round = PlacementRound(self._index, self._costs, now)
        self._limited_engines.clear()
        self._requests_ahead = 0
        by_urgency = sorted(self._waiting.values(), key=urgency)
        in_order = self._account_order.arrange(by_urgency, self._count_free_slots, now)
        decisions: list[PlacementDecision] = []
        for _, group in itertools.groupby(in_order, key=lambda waiting: waiting.request.priority):
            decisions += self._decide_group(group, placement_round, now)
        for decision in decisions:
            self.withdraw(decision.ask_id)
        for refusal in self._refuse_behind_backlog(now):
            self.withdraw(refusal.ask_id)
            decisions.append(refusal)
        for waiting in self._waiting.values():
            waiting.was_left = True
        return decisions

    def _update_cold_engines(self, now: float) -> None:
        """Moves engines to their places after they became cold or warm."""
        cold_ids = self._limits.cold.ids(now)
        if cold_ids is self._cold_ids:
            return
        for server_id in cold_ids ^ self._cold_ids:
            if (engine := self._index.find(server_id)) is not None:
                engine.is_cold = server_id in cold_ids
                self._index.update(engine)
        self._cold_ids = cold_ids

    def _decide_group(
        self, group: Iterable[WaitingRequest], placement_round: PlacementRound, now: float
    ) -> Iterator[PlacementDecision]:
        """Yields the decisions on requests of one priority, given in the order to place them."""
        deferred: list[tuple[WaitingRequest, PlacementRequest]] = []
        for waiting in group:
            request = waiting.at(now) if waiting.paused_until else waiting.request
            refusal = self._refusal_for(waiting, request, now)
            limited = self._limited_engines_for(request, now)
            if limited and (refusal is None or refusal.reason is RefusalReason.TOO_LATE):
                refusal = self._refusal_by_limits(waiting, limited, now)
            if refusal is not None:
                yield refusal
                continue
            self._requests_ahead += 1
            objective = waiting.first_event_due_at - now
            is_deferral_over = now >= waiting.deferral_ends_at
            # Requests that limited engines take in time are served in the order in which that was
            # decided.
            may_be_deferred = not is_deferral_over and not limited
            if may_be_deferred and objective <= 0:
                deferred.append((waiting, request))
                continue
            plan = placement_round.plan(request, objective, may_delay_others=is_deferral_over)
            if (
                plan is not None
                and may_be_deferred
                and plan.expected_first_event_seconds > objective
            ):
                deferred.append((waiting, request))
            elif plan is not None:
                yield self._place_in_round(placement_round, waiting, plan, now)
        for waiting, request in deferred:
            plan = placement_round.plan(request, waiting.first_event_due_at - now)
            if plan is not None:
                yield self._place_in_round(placement_round, waiting, plan, now)

    def _refuse_behind_backlog(self, now: float) -> Iterator[PlacementRefusal]:
        """Yields refusals of new requests that cannot be served before their deadline."""
        arrived = [waiting for waiting in self._waiting.values() if not waiting.was_left]
        if not arrived or self._has_free_slots(now):
            return
        for waiting in arrived:
            if not self._limited_engines_for(waiting.request, now) and (
                refusal := self._admission.refusal(waiting, now)
            ):
                self._shares[refusal.ask_id] = self._account_order.share_of(waiting)
                yield refusal

    def _place_in_round(
        self, placement_round: PlacementRound, waiting: WaitingRequest, plan: Plan, now: float
    ) -> Grant:
        objective = waiting.first_event_due_at - now
        grant = self._add_placement(waiting.request, plan, objective, now)
        if self._account_order.is_contested:
            self._shares[waiting.request.id] = self._account_order.share_of(waiting)
        self._account_order.record_placed(waiting)
        self._requests_ahead -= 1
        placement_round.record_placement(plan)
        return grant

    def _release_unreported(self, now: float) -> None:
        """Releases the engines of requests whose end was not reported in time."""
        while self._release_times and self._release_times[0][0] < now:
            _, ask_id = heapq.heappop(self._release_times)
            # The outcome is unknown; SERVED starts no backoff of the engine.
            self.record_finished(ask_id, AttemptOutcome.SERVED, now)

    def _refusal_for(
        self, waiting: WaitingRequest, request: PlacementRequest, now: float
    ) -> Optional[PlacementRefusal]:
        """Returns a refusal of a waiting request that cannot be served; ``None`` otherwise."""
        if self._excludes_all_engines(request):
            retry_after = self._retry_after(waiting, now)
            return PlacementRefusal(request.id, RefusalReason.NO_ENGINE, retry_after)
        if not waiting.can_ever_fit:
            return PlacementRefusal(request.id, RefusalReason.NEVER_FITS, None)
        if request.preferred is not None and (
            request.preferred in request.excluded or not self._is_usable(request.preferred, now)
        ):
            return PlacementRefusal(request.id, RefusalReason.NO_ENGINE, DEFAULT_RETRY_AFTER)
        time_left = waiting.deadline - now
        if time_left < waiting.minimum_time:
            return PlacementRefusal(
                request.id, RefusalReason.TOO_LATE, None, time_left, waiting.minimum_time
            )
        patience_left = waiting.leaves_at - now
        if patience_left < waiting.minimum_prefill:
            return PlacementRefusal(
                request.id,
                RefusalReason.TOO_LATE,
                DEFAULT_RETRY_AFTER,
                patience_left,
                waiting.minimum_prefill,
            )
        return None

    def _limited_engines_for(self, request: PlacementRequest, now: float) -> list[EngineLoad]:
        """Returns the engines that a request may use if all of them are limited; else nothing."""
        if not self._limits.may_limit(now):
            return []
        if request.excluded not in self._limited_engines:
            engines = [
                engine
                for engine in self._index.engines
                if engine.server.state is ServerState.READY
                and engine.server.id not in request.excluded
            ]
            all_limited = all(engine.has_limit(now) for engine in engines)
            self._limited_engines[request.excluded] = engines if all_limited else []
        return self._limited_engines[request.excluded]

    def _refusal_by_limits(
        self, waiting: WaitingRequest, limited: list[EngineLoad], now: float
    ) -> Optional[PlacementRefusal]:
        """Returns a refusal of a request that limited engines do not take before its deadline.

        Requests that are more urgent come first.
        """
        engines = [engine for engine in limited if not engine.health.is_backing_off(now)]
        rates = [self._limits.rate(engine.server, now) for engine in engines]
        # Placements of this round have been taken from the limits already.
        waits = [self._limits.expected_wait(engine.server, now) for engine in engines]
        wait = total_wait(waits, rates, self._requests_ahead)
        # Cold engines become warm by themselves.
        ends = (self._limits.time_left(engine.server, now) for engine in engines)
        wait = min(wait, min(ends, default=float("inf")))
        time_left = waiting.deadline - now - waiting.minimum_time
        if not engines or wait <= time_left * LIMITED_WAIT_SHARE:
            return None
        retry_after = self._limits.promise([engine.server for engine in engines], wait, now)
        return PlacementRefusal(waiting.request.id, RefusalReason.LIMITED, retry_after)

    def _excludes_all_engines(self, request: PlacementRequest) -> bool:
        """Returns whether all engines that are not draining are excluded."""
        engines = self._index.engines
        if len(request.excluded) + self._draining_count < len(engines):
            return False
        return all(
            engine.server.state is ServerState.LEAVING or engine.server.id in request.excluded
            for engine in engines
        )

    def _retry_after(self, waiting: WaitingRequest, now: float) -> float:
        """Returns after how many seconds an engine may accept a request that was refused."""
        pauses = [
            waiting.paused_until.get(engine.server.id, now) - now
            for engine in self._index.engines
            if engine.server.state is ServerState.READY
        ]
        shortest = min(pauses, default=0.0)
        return shortest if shortest > 0 else DEFAULT_RETRY_AFTER

    def _add_pause(self, waiting: WaitingRequest, pause: ServerPause, now: float) -> None:
        server_id, until = pause.start.server_id, now + pause.seconds
        engine = self._index.find(server_id)
        if engine is None or engine.server.started_ms <= pause.start.started_ms:
            waiting.add_pause(server_id, until)

    def _update_needs(self) -> None:
        """Updates what waiting requests need after the engines or their costs changed."""
        for waiting in self._waiting.values():
            self._set_needs(waiting)

    def _set_needs(self, waiting: WaitingRequest) -> None:
        waiting.can_ever_fit = self._can_ever_fit(waiting.request)
        waiting.minimum_prefill = self._minimum_prefill(waiting.request)
        waiting.minimum_time = waiting.minimum_prefill + self._minimum_decode(waiting.request)
        waiting.engine_seconds = engine_seconds(waiting.request, self._costs)

    def _can_ever_fit(self, request: PlacementRequest) -> bool:
        engines = min(MAX_PARTS, len(self._index.engines))
        return required_memory(request) <= engines * int(
            self._costs.memory_tokens * MAX_MEMORY_SHARE
        )

    def _minimum_prefill(self, request: PlacementRequest) -> float:
        """Returns the seconds until the first event of a request if all engines are idle."""
        parts = max(1, min(MAX_PARTS, len(self._index.engines)))
        return self._costs.prefill_time(request.prompt_tokens) / parts

    def _minimum_decode(self, request: PlacementRequest) -> float:
        """Returns the seconds from the first event to the end if all engines are idle."""
        # The remaining length of a resumed output is unknown, but it is at least one event.
        answer_tokens = 1 if request.resumed else max(1, request.answer_tokens // 2)
        iterations = math.ceil(answer_tokens / self._costs.decode_steps_per_iteration)
        return self._costs.iteration_time(1, request.prompt_tokens) * iterations

    def _count_free_slots(self) -> int:
        return sum(engine.free_slots for engine in self._index.engines if engine.free_slots > 0)

    def _has_free_slots(self, now: float) -> bool:
        return any(is_usable(engine, now) for engine in self._index.in_order_for_short_prompts())

    def _is_usable(self, server_id: str, now: float) -> bool:
        engine = self._index.find(server_id)
        if engine is None:
            return False
        # A cold engine takes the request after a short time.
        return is_usable(engine, now, is_limit_kept=not engine.is_cold or engine.is_limited)

    def _add_placement(
        self,
        request: PlacementRequest,
        plan: Plan,
        objective: float,
        now: float,
        is_running: bool = False,
    ) -> Grant:
        overdue_at = now + plan.expected_first_event_seconds * OVERDUE_FACTOR + OVERDUE_SLACK
        for index, engine in enumerate(plan.engines):
            is_helper = index > 0
            task = EngineTask(
                memory_tokens=plan.memory_tokens[index],
                context_tokens=plan.memory_tokens[index],
                gap_target=request.pause,
                prefill_seconds=plan.part_seconds,
                is_prefilling=True,
                is_helper=is_helper,
                is_isolated=request.isolated,
                overdue_at=overdue_at,
                first_event_due_at=now + objective,
            )
            engine.add(request.id, task, now, is_running)
            self._index.update(engine)
        servers = tuple(engine.server for engine in plan.engines)
        ids = tuple(server.id for server in servers)
        work = engine_seconds(request, self._costs)
        if (former := self._placed.get(request.id)) is None:
            self._admission.record_placed(request, work, now)
        else:
            # Another VM registered the request once more; it is counted already.
            work = former.engine_seconds
        self._placed[request.id] = _PlacedRequest(request, ids, now, work)
        release_at = now + request.time_left + FINISH_REPORT_TIMEOUT
        heapq.heappush(self._release_times, (release_at, request.id))
        return Grant(
            request.id,
            servers[0],
            servers[1:],
            plan.memory_tokens[1:],
            plan.expected_first_event_seconds,
        )

    def _engine_at_fault(
        self, placed: _PlacedRequest, named_server: Optional[str]
    ) -> Optional[EngineLoad]:
        for engine in self._engines_of(placed):
            if named_server in (engine.server.id, engine.server.address):
                return engine
        return self._index.find(placed.engine_ids[0])

    def _engines_of(self, placed: _PlacedRequest) -> Iterator[EngineLoad]:
        for server_id in placed.engine_ids:
            if (engine := self._index.find(server_id)) is not None:
                yield engine


def _record_outcome(engine: EngineLoad, outcome: AttemptOutcome, now: float) -> None:
    if outcome is AttemptOutcome.SERVED:
        engine.health.record_success()
    elif outcome is AttemptOutcome.REJECTED:
        engine.health.record_rejection(now)
    elif outcome in (AttemptOutcome.FAILED, AttemptOutcome.SILENT):
        engine.health.record_failure(now)
