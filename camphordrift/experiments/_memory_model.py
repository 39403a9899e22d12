"""Model of owners that place, renew and drop memory holds while VMs release orphaned holds.

A hold is memory reserved on an engine for one request; its owner is the VM that runs the request.
A hold is orphaned if its owner no longer claims it.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial

from camphordrift.backend_servers import MemoryHold
from camphordrift.clocks import ClockReading
from camphordrift.engine_memory import (
    EngineListing,
    HoldRegistry,
    HoldRelease,
    HoldSettings,
    OwnerMissing,
    OwnerStatus,
    OwnerUnreachable,
    find_orphaned_holds,
)
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId

Decide = Callable[
    [EngineListing, Mapping[VmId, OwnerStatus], HoldSettings], tuple[HoldRelease, ...]
]

ENGINES = tuple(BackendServerId(f"engine-{number}") for number in range(3))
VMS = tuple(VmId(f"vm-{number}") for number in range(3))

#: Delay of the platform's list of VMs, in seconds.
LIST_LAG_SECONDS = 15.0


def clocks(now: float) -> ClockReading:
    return ClockReading(monotonic=now, wall=now)


@dataclass
class _EngineHold:
    hold: MemoryHold
    renewed_at: float


@dataclass
class _Process:
    """One process of a VM."""

    vm_id: VmId
    incarnation: Incarnation
    registry: HoldRegistry
    alive: bool = True
    paused_until: float = 0.0


@dataclass
class MemoryModel:
    """Simulates owners and reconcilers from a seed; tests replace ``decide`` by broken rules."""

    seed: int
    decide: Decide = find_orphaned_holds
    settings: HoldSettings = field(default_factory=HoldSettings)
    #: Holds that were released while their live owner could still use them.
    wrongly_released: list[HoldRelease] = field(default_factory=list)
    released: list[HoldRelease] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.now = 0.0
        self._generator = random.Random(self.seed)
        self._faults = True
        self._next_number = 0
        self._engines: dict[BackendServerId, dict[HoldId, _EngineHold]] = {e: {} for e in ENGINES}
        self._processes = {vm: self._new_process(vm) for vm in VMS}
        self._missing_since: dict[VmId, float] = {}
        self._unresponsive_until: dict[VmId, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def simulate(self, seconds: float, faults: bool) -> None:
        """Simulates ``seconds``, with or without faults; without them no new holds are placed."""
        self._faults = faults
        end = self.now + seconds
        next_round = self.now
        while self.now < end:
            self.now += 0.5
            self._run_due_events()
            if faults:
                self._draw_faults()
            for process in self._processes.values():
                if process.alive and self.now >= process.paused_until:
                    self._step_process(process, places=faults)
            if self.now >= next_round:
                next_round += self.settings.interval_seconds
                for engine_id in ENGINES:
                    self._reconcile(engine_id)

    def orphaned_holds(self) -> list[HoldId]:
        """Returns the ids of holds on engines that no owner claims, sorted."""
        claimed = {
            hold.hold_id
            for process in self._processes.values()
            for hold in process.registry.claimed
        }
        engine_holds = {hold_id for holds in self._engines.values() for hold_id in holds}
        return sorted(engine_holds - claimed)

    def _new_process(self, vm_id: VmId) -> _Process:
        self._next_number += 1
        incarnation = Incarnation(self._next_number)
        return _Process(vm_id, incarnation, HoldRegistry(incarnation, self.settings))

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        self._next_number += 1
        self._events.append((self.now + delay, self._next_number, action))

    def _run_due_events(self) -> None:
        due = sorted(event[:2] for event in self._events if event[0] <= self.now)
        for key in due:
            event = next(event for event in self._events if event[:2] == key)
            self._events.remove(event)
            event[2]()

    def _delay(self) -> float:
        if not self._faults:
            return 0.1
        return self._generator.choice((0.1, 0.1, 1.0, 4.5))

    def _is_lost(self) -> bool:
        return self._faults and self._generator.random() < 0.2

    def _draw_faults(self) -> None:
        for vm_id in VMS:
            process = self._processes[vm_id]
            draw = self._generator.random()
            if draw < 0.004:
                process.alive = False
                replace_in = self._generator.choice((1.0, 30.0, 500.0))
                self._schedule(replace_in, partial(self._replace, vm_id))
                self._schedule(LIST_LAG_SECONDS, partial(self._remove_from_list, process))
            elif draw < 0.008:
                process.paused_until = self.now + self._generator.uniform(5.0, 60.0)
            elif draw < 0.012:
                self._unresponsive_until[vm_id] = self.now + self._generator.uniform(5.0, 60.0)
            elif draw < 0.016:
                self._missing_since.setdefault(vm_id, self.now)
                self._schedule(40.0, partial(self._add_to_list, vm_id))

    def _replace(self, vm_id: VmId) -> None:
        if not self._processes[vm_id].alive:
            self._processes[vm_id] = self._new_process(vm_id)
            self._missing_since.pop(vm_id, None)

    def _remove_from_list(self, process: _Process) -> None:
        if self._processes[process.vm_id] is process:
            self._missing_since.setdefault(process.vm_id, self.now)

    def _add_to_list(self, vm_id: VmId) -> None:
        if self._processes[vm_id].alive:
            self._missing_since.pop(vm_id, None)

    def _step_process(self, process: _Process, places: bool) -> None:
        now = clocks(self.now)
        for hold in process.registry.drop_expired_claims(now):
            self._send_release(hold.engine_id, hold.hold_id)
        for hold in process.registry.renewals_due(now):
            self._send_place(process, hold.engine_id, hold.hold_id, hold.request_id)
        if places and self._generator.random() < 0.1:
            self._place_over_two_engines(process)
        held = process.registry.claimed
        if held and self._generator.random() < 0.05:
            for hold in process.registry.drop_claims_of_request(held[0].request_id):
                self._send_release(hold.engine_id, hold.hold_id)

    def _place_over_two_engines(self, process: _Process) -> None:
        self._next_number += 1
        request_id = RequestId(f"request-{self._next_number}")
        until = clocks(self.now + self._generator.uniform(10.0, 120.0))
        for engine_id in sorted(self._generator.sample(ENGINES, 2)):
            hold_id = HoldId(f"{request_id}-{engine_id}")
            process.registry.claim(hold_id, engine_id, request_id, until)
            self._send_place(process, engine_id, hold_id, request_id)

    def _send_place(
        self, process: _Process, engine_id: BackendServerId, hold_id: HoldId, request: RequestId
    ) -> None:
        hold = MemoryHold(
            hold_id=hold_id,
            token_count=1,
            owner=process.vm_id,
            owner_incarnation=process.incarnation,
            request_id=request,
            exported=self._generator.random() < 0.3,
        )
        sent_at = clocks(self.now)

        def take_effect() -> None:
            self._engines[engine_id][hold_id] = _EngineHold(hold, self.now)
            if not self._is_lost():
                process.registry.record_confirmed(hold_id, sent_at)

        if not self._is_lost():
            self._schedule(self._delay(), take_effect)

    def _send_release(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        if not self._is_lost():
            self._schedule(self._delay(), lambda: self._free_hold(engine_id, hold_id))

    def _free_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        self._engines[engine_id].pop(hold_id, None)

    def _reconcile(self, engine_id: BackendServerId) -> None:
        if self._faults and self._generator.random() < 0.1:
            # The owners respond before the engine is listed, so their claims may be out of date.
            owners = {vm: self._query_owner(vm) for vm in VMS}
            self._schedule(2.0, lambda: self._decide(self._list_holds(engine_id), owners))
            return
        listing = self._list_holds(engine_id)
        self._schedule(
            self._delay(), lambda: self._decide(listing, {vm: self._query_owner(vm) for vm in VMS})
        )

    def _list_holds(self, engine_id: BackendServerId) -> EngineListing:
        holds = tuple(
            replace(engine_hold.hold, age_seconds=self.now - engine_hold.renewed_at)
            for engine_hold in self._engines[engine_id].values()
        )
        return EngineListing(engine_id, holds, listed_at=self.now)

    def _query_owner(self, vm_id: VmId) -> OwnerStatus:
        process = self._processes[vm_id]
        missing_since = self._missing_since.get(vm_id)
        if missing_since is not None:
            return OwnerMissing(self.now - missing_since)
        is_unresponsive = self.now < self._unresponsive_until.get(vm_id, 0.0)
        if not process.alive or is_unresponsive or self.now < process.paused_until:
            return OwnerUnreachable()
        return process.registry.current_claims(asked_at=self.now)

    def _decide(self, listing: EngineListing, owners: Mapping[VmId, OwnerStatus]) -> None:
        for release in self.decide(listing, owners, self.settings):
            if not self._is_lost():
                self._schedule(self._delay(), partial(self._release, release))

    def _release(self, release: HoldRelease) -> None:
        if release.hold.hold_id not in self._engines[release.engine_id]:
            return
        process = self._processes[release.hold.owner]
        if process.alive and process.registry.may_use(release.hold.hold_id, clocks(self.now)):
            self.wrongly_released.append(release)
        self.released.append(release)
        self._free_hold(release.engine_id, release.hold.hold_id)
