"""Chooses engines for prompts of widely differing lengths.

An engine runs prefill in the same iterations as decode, so a long prompt lengthens the gaps between
the events of every response on that engine. Long prompts are therefore split into parts that
several engines prefill in parallel: the primary engine, which also decodes the output, and its
helpers. The parts must be so short that their prefill keeps the responses on these engines within
their target gaps. Short prompts are packed on few engines, so that the others stay free for long
ones.

At peak load many requests wait, and each request that ends may allow a waiting one to be placed.
Decisions are made in rounds, see :class:`PlacementRound`. To keep a round cheap, the engines for
short prompts are examined in an order that is kept up to date, see :class:`EngineIndex`, the values
that depend only on an engine are computed once per round, and a request is skipped if it needs at
least as much as one that could not be placed in the same round.
"""

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.relay.model import EngineCosts, ServerState
from camphordrift.relay.scheduling._engine_index import EngineIndex
from camphordrift.relay.scheduling._engine_load import EngineLoad
from camphordrift.relay.scheduling._placement_values import PlacementRequest

#: Maximum number of engines that may prefill one prompt (PROTOCOL.md: 16 helpers and the primary
#: engine).
MAX_PARTS = 17

#: Target for the longest prefill of one part in seconds, if enough engines are free.
TARGET_PART_SECONDS = 0.25

#: Share of a response's target gap between events that a decode iteration and the prefill in it may
#: take up together. The rest is a margin for the network and for engines that are slower than
#: estimated.
GAP_SHARE = 0.85

#: A plan for a long prompt meets the target time to the first event if its expected time is at most
#: this share of the target.
OBJECTIVE_SHARE = 0.8

#: Maximum number of short prompts in prefill on one engine. A crashed engine may stay listed for a
#: while, and this limits the requests that are sent to it in that time.
MAX_PREFILLING_REQUESTS = 3

#: Share of an engine's KV memory that one prompt may take before it is split over several engines.
MAX_MEMORY_SHARE = 0.95

#: Factor on the prefill time on idle engines. A plan that misses the target time to the first event
#: is still used if its expected time is at most the product. Otherwise the request waits for a
#: better plan, until its target time has passed.
WAIT_FACTOR = 3.0

#: Engines whose expected time to the first event is within this share of the target are preferred
#: for a short prompt. Among them, an engine that is already in use is chosen.
SHORT_OBJECTIVE_SHARE = 0.6

#: Engines whose pending prefill differs by at most these seconds count as equally loaded, so that
#: the availability zone decides between them.
CROSS_ZONE_SECONDS = 0.004

#: Seconds of pending prefill for which a warm engine is still preferred to a cold one for a part of
#: a long prompt. A cold engine is slower, and the slowest part decides when the first event comes.
COLD_SECONDS = TARGET_PART_SECONDS

#: Maximum number of equally loaded engines among which one in the request's zone is looked for.
MAX_ZONE_CANDIDATES = 16

#: Maximum prefill time in seconds of a prompt that counts as short.
SHORT_PREFILL_SECONDS = 0.1


@dataclass(frozen=True)
class Plan:
    """The engines proposed for one request, with the load that it puts on them."""

    #: The first one is the primary engine; the others are helpers that prefill parts of the prompt.
    engines: tuple[EngineLoad, ...]
    #: Prefill time in seconds on each engine.
    part_seconds: float
    #: Expected seconds from the placement to the first event.
    expected_first_event_seconds: float
    #: Tokens of KV memory taken up on each engine.
    memory_tokens: tuple[int, ...]


@dataclass(frozen=True)
class _EngineSnapshot:
    """The state of one engine at the time of a round. All times are in seconds."""

    engine: EngineLoad
    zone: str
    pending_prefill: float
    latency_factor: float
    #: Expected time to the first event of a new prompt, minus its own prefill time.
    first_event_overhead: float
    #: Maximum prefill time of a part at which the responses decoded here keep their target gaps.
    max_part_seconds: float
    #: Maximum prefill time of a part for another engine at which no prompt in prefill here misses
    #: its target time to the first event. Engines run such parts before their own prompts.
    #: Negative for limited engines: a part is followed by orders that count as requests.
    max_helper_seconds: float
    min_gap_target: Optional[float]
    decoding_requests: int
    free_slots: int
    free_memory: int
    prefilling_requests: int
    #: Whether other engines are preferred.
    is_suspect: bool
    #: Whether the engine is cold. It stores no KV memory for other engines, as the orders that make
    #: and renew a reservation count as requests.
    is_cold: bool

    def expected_first_event_seconds(self, part_seconds: float) -> float:
        """Returns the expected time to the first event of a prompt that is prefilled here."""
        return self.first_event_overhead + part_seconds * self.latency_factor


#: Pairs of measures of what requests need, by the ids of the engines that must not be chosen.
_FailedDemands = defaultdict[tuple[str, ...], list[tuple[float, float]]]


class PlacementRound:
    """Plans placements of several requests for the same point in time.

    Each plan that is used must be applied to the engines, and reported with
    :meth:`record_placement`, before the next call of :meth:`plan`.
    """

    def __init__(self, index: EngineIndex, costs: EngineCosts, now: float) -> None:
        self._index = index
        self._costs = costs
        self._now = now
        #: Snapshots of the engines that this round has examined; ``None`` for unusable ones.
        self._snapshots: dict[str, Optional[_EngineSnapshot]] = {}
        #: Demands of short prompts that could not be placed in this round, by whether their target
        #: time has passed and by excluded engines: tokens of KV memory, and prefill seconds.
        self._failed_short: dict[bool, _FailedDemands] = {
            False: defaultdict(list),
            True: defaultdict(list),
        }
        #: Demands of long prompts that could not be placed in this round, by whether they may delay
        #: others and by excluded engines: prefill seconds, and the negated seconds until the first
        #: event is due, so that a greater value is more urgent.
        self._failed_long: dict[bool, _FailedDemands] = {
            False: defaultdict(list),
            True: defaultdict(list),
        }

    def plan(
        self, request: PlacementRequest, objective: float, may_delay_others: bool = False
    ) -> Optional[Plan]:
        """Returns a plan for a request; ``None`` if it should wait.

        Args:
            request: The placement request.
            objective: Seconds until the first event is due; negative once it is overdue.
            may_delay_others: Whether the prefill of a long prompt may make responses and other
                prompts on its engines late, because it would otherwise wait until its deadline.

        """
        prefill = self._costs.prefill_time(request.prompt_tokens)
        is_short = prefill <= SHORT_PREFILL_SECONDS
        if is_short and not self._index.has_free_slots:
            return None
        failed = (
            self._failed_short[objective <= 0] if is_short else self._failed_long[may_delay_others]
        )
        demand = (required_memory(request), prefill) if is_short else (prefill, -objective)
        # Capacity only shrinks during a round, so a request whose demands are both at least those
        # of a request that could not be placed on the same or more engines cannot be placed either.
        comparable = failed[()] + failed[request.excluded] if request.excluded else failed[()]
        for failed_demand in comparable:
            if failed_demand[0] <= demand[0] and failed_demand[1] <= demand[1]:
                return None
        if is_short:
            plan = self._plan_short(request, prefill, objective)
        else:
            plan = self._plan_long(request, prefill, objective, may_delay_others)
        if plan is None and request.preferred is None:
            failed[request.excluded].append(demand)
        return plan

    def record_placement(self, plan: Plan) -> None:
        """Drops the snapshots of a plan's engines after its tasks were added to them."""
        for engine in plan.engines:
            del self._snapshots[engine.server.id]

    def _usable_snapshot(self, engine: EngineLoad) -> Optional[_EngineSnapshot]:
        """Returns a snapshot of an engine; ``None`` if it may not get new requests."""
        server_id = engine.server.id
        if server_id not in self._snapshots:
            usable = is_usable(engine, self._now)
            self._snapshots[server_id] = self._snapshot(engine) if usable else None
        return self._snapshots[server_id]

    def _snapshot(self, engine: EngineLoad) -> _EngineSnapshot:
        decoding, latency_factor = engine.decoding_requests, engine.latency_factor
        gap_target, pending_prefill = engine.min_gap_target, engine.pending_prefill(self._now)
        running_iteration = engine.iteration_time()
        max_part_seconds = float("inf")
        if gap_target is not None:
            max_part_seconds = (
                gap_target * GAP_SHARE - pending_prefill - running_iteration
            ) / latency_factor
        own_iteration = self._costs.iteration_time(decoding + 1, 0) * latency_factor
        return _EngineSnapshot(
            engine=engine,
            zone=engine.server.zone,
            pending_prefill=pending_prefill,
            latency_factor=latency_factor,
            first_event_overhead=(running_iteration if decoding else 0.0)
            + pending_prefill
            + own_iteration,
            max_part_seconds=max_part_seconds,
            max_helper_seconds=_max_helper_seconds(engine, self._now),
            min_gap_target=gap_target,
            decoding_requests=decoding,
            free_slots=engine.free_slots,
            free_memory=engine.free_memory,
            prefilling_requests=engine.prefilling_requests,
            is_suspect=engine.is_suspect(self._now),
            is_cold=engine.is_cold,
        )

    def _plan_short(
        self, request: PlacementRequest, prefill: float, objective: float
    ) -> Optional[Plan]:
        """Packs short prompts on the engines that already decode responses with short target gaps.

        The other engines then have no short target gaps, and can prefill large parts of long
        prompts. The first engine in order of preference that fits is used; among equally loaded
        ones, one in the zone of the request. Engines that are suspect, or would miss a share of the
        target time, are used only if no other one fits. Engines whose pending prefill lasts beyond
        the target time are not used before that has passed: until then another one may be free
        earlier, and a prompt that was placed there would not be prefilled sooner.
        """
        memory = required_memory(request)
        if request.isolated:
            candidates = self._candidates_for_short_prompt(request, memory, prefill)
            least_loaded = min(candidates, key=_rank_for_isolation, default=None)
            return None if least_loaded is None else _short_plan(least_loaded, prefill, memory)
        latest = objective * SHORT_OBJECTIVE_SHARE
        can_meet_target = prefill <= latest
        best: Optional[_EngineSnapshot] = None
        fallback: Optional[_EngineSnapshot] = None
        equally_loaded = 0
        for snapshot in self._candidates_for_short_prompt(request, memory, prefill):
            if 0 < objective <= snapshot.pending_prefill:
                continue
            misses_target = snapshot.expected_first_event_seconds(prefill) > latest
            if snapshot.is_suspect or (misses_target and can_meet_target):
                if fallback is None or (fallback.is_suspect and not snapshot.is_suspect):
                    fallback = snapshot
                continue
            if best is None:
                best = snapshot
            elif not _is_equally_loaded(best, snapshot):
                break
            elif snapshot.zone == request.zone:
                best = snapshot
            equally_loaded += 1
            if best.zone == request.zone or equally_loaded == MAX_ZONE_CANDIDATES:
                break
        chosen = best or fallback
        return None if chosen is None else _short_plan(chosen, prefill, memory)

    def _candidates_for_short_prompt(
        self, request: PlacementRequest, memory: int, prefill: float
    ) -> Iterator[_EngineSnapshot]:
        """Yields the engines that can take a short prompt now, in order of preference."""
        for engine in self._index.in_order_for_short_prompts():
            if engine.server.id in request.excluded:
                continue
            snapshot = self._usable_snapshot(engine)
            if (
                snapshot is not None
                and snapshot.free_memory >= memory
                and prefill <= snapshot.max_part_seconds
                and snapshot.prefilling_requests < _max_prefilling_requests(snapshot)
            ):
                yield snapshot

    def _plan_long(
        self,
        request: PlacementRequest,
        prefill: float,
        objective: float,
        may_delay_others: bool,
    ) -> Optional[Plan]:
        snapshots = [
            snapshot
            for engine in self._index.engines
            if engine.server.id not in request.excluded
            and (snapshot := self._usable_snapshot(engine)) is not None
        ]
        healthy = [snapshot for snapshot in snapshots if not snapshot.is_suspect]
        plan = self._plan_long_on(request, prefill, healthy, objective)
        if plan is None and len(healthy) < len(snapshots):
            plan = self._plan_long_on(request, prefill, snapshots, objective)
        if plan is None and may_delay_others:
            unlimited = [
                replace(
                    item,
                    max_part_seconds=float("inf"),
                    max_helper_seconds=(
                        item.max_helper_seconds if item.engine.is_limited else float("inf")
                    ),
                )
                for item in snapshots
            ]
            plan = self._plan_long_on(request, prefill, unlimited, objective)
        return plan

    def _plan_long_on(
        self,
        request: PlacementRequest,
        prefill: float,
        snapshots: list[_EngineSnapshot],
        objective: float,
    ) -> Optional[Plan]:
        if not snapshots:
            return None
        wanted_parts = min(
            MAX_PARTS, len(snapshots), max(1, math.ceil(prefill / TARGET_PART_SECONDS))
        )
        ranked = sorted(snapshots, key=lambda snapshot: _rank_for_long_prompt(snapshot, request))
        best: Optional[Plan] = None
        best_cost = float("inf")
        for parts in range(wanted_parts, 0, -1):
            chosen = self._choose_engines(request, prefill / parts, parts, ranked)
            if chosen is None:
                continue
            plan = _plan_of(request, prefill / parts, *chosen)
            # Engines run a new part first, so prefills that are running there are delayed by it.
            delays_other_prefills = any(snapshot.pending_prefill > 0 for snapshot in chosen[0])
            cost = plan.expected_first_event_seconds + (
                plan.part_seconds if delays_other_prefills else 0.0
            )
            if cost < best_cost:
                best, best_cost = plan, cost
        if best is None or best.expected_first_event_seconds <= objective * OBJECTIVE_SHARE:
            return best
        idle_prefill = prefill / wanted_parts
        worth_waiting = best.expected_first_event_seconds > idle_prefill * WAIT_FACTOR
        return None if worth_waiting and objective > 0 else best

    def _choose_engines(
        self,
        request: PlacementRequest,
        part_seconds: float,
        parts: int,
        ranked: list[_EngineSnapshot],
    ) -> Optional[tuple[tuple[_EngineSnapshot, ...], int]]:
        """Returns the engines for the parts, and how many of them store KV memory.

        The engines that store KV memory come first.
        """
        fitting = [
            snapshot
            for snapshot in ranked
            if part_seconds <= snapshot.max_part_seconds
            and (parts == 1 or part_seconds <= snapshot.max_helper_seconds)
        ]
        if len(fitting) < parts:
            return None
        storing = self._choose_storing_engines(request, fitting, parts)
        if storing is None:
            return None
        helpers = [snapshot for snapshot in fitting if snapshot not in storing]
        return (*storing, *helpers)[:parts], len(storing)

    def _choose_storing_engines(
        self, request: PlacementRequest, fitting: list[_EngineSnapshot], max_count: int
    ) -> Optional[tuple[_EngineSnapshot, ...]]:
        """Returns engines that store equal shares of the KV memory; the first is the primary."""
        needed = required_memory(request)
        min_count = -(-needed // int(self._costs.memory_tokens * MAX_MEMORY_SHARE))
        for count in range(min_count, max_count + 1):
            share = -(-needed // count)
            with_memory = [snapshot for snapshot in fitting if snapshot.free_memory >= share]
            with_slot = (snapshot for snapshot in with_memory if snapshot.free_slots > 0)
            primary = next(
                (
                    snapshot
                    for snapshot in with_slot
                    if request.preferred in (None, snapshot.engine.server.id)
                ),
                None,
            )
            others = [item for item in with_memory if item is not primary and not item.is_cold]
            if primary is not None and len(others) >= count - 1:
                return (primary, *others[: count - 1])
        return None


def is_usable(engine: EngineLoad, now: float, is_limit_kept: bool = True) -> bool:
    """Returns whether an engine may get new requests, its limit of requests considered or not."""
    return (
        engine.server.state is ServerState.READY
        and not engine.health.is_backing_off(now)
        and not (is_limit_kept and engine.limit_wait(now) > 0.0)
    )


def _max_helper_seconds(engine: EngineLoad, now: float) -> float:
    if engine.is_limited:
        return -1.0
    slack = engine.first_event_due_at - now - engine.pending_prefill(now)
    return max(0.0, slack) / engine.latency_factor


def required_memory(request: PlacementRequest) -> int:
    """Returns the tokens of KV memory that a request needs for its prompt and its output."""
    return request.prompt_tokens + request.answer_tokens


def _is_equally_loaded(first: _EngineSnapshot, second: _EngineSnapshot) -> bool:
    return (
        first.min_gap_target == second.min_gap_target
        and first.decoding_requests == second.decoding_requests
        and first.is_cold == second.is_cold
        and abs(first.pending_prefill - second.pending_prefill) <= CROSS_ZONE_SECONDS
    )


def _max_prefilling_requests(snapshot: _EngineSnapshot) -> int:
    return 1 if snapshot.is_suspect else MAX_PREFILLING_REQUESTS


def _short_plan(snapshot: _EngineSnapshot, prefill: float, memory: int) -> Plan:
    first_event_seconds = snapshot.expected_first_event_seconds(prefill)
    return Plan((snapshot.engine,), prefill, first_event_seconds, (memory,))


def _rank_for_isolation(snapshot: _EngineSnapshot) -> tuple[bool, int, int, bool]:
    """Sort key for isolated prompts: healthy engines with the fewest requests first."""
    load = snapshot.decoding_requests, snapshot.prefilling_requests
    return snapshot.is_suspect, *load, snapshot.is_cold


def _plan_of(
    request: PlacementRequest,
    part_seconds: float,
    chosen: tuple[_EngineSnapshot, ...],
    storing_count: int,
) -> Plan:
    share = -(-required_memory(request) // storing_count)
    return Plan(
        engines=tuple(snapshot.engine for snapshot in chosen),
        part_seconds=part_seconds,
        expected_first_event_seconds=max(
            snapshot.expected_first_event_seconds(part_seconds) for snapshot in chosen
        ),
        memory_tokens=(share,) * storing_count + (0,) * (len(chosen) - storing_count),
    )


def _rank_for_long_prompt(
    snapshot: _EngineSnapshot, request: PlacementRequest
) -> tuple[int, bool, float, bool]:
    """Sort key for long prompts: engines without short target gaps, then least pending prefill."""
    gap_target = snapshot.min_gap_target
    has_short_gaps = gap_target is not None and gap_target < request.pause
    others = snapshot.decoding_requests if request.isolated else 0
    busy_seconds = snapshot.pending_prefill + (COLD_SECONDS if snapshot.is_cold else 0.0)
    return others, has_short_gaps, busy_seconds, snapshot.zone != request.zone
