"""A model of owners that place, renew and lose holds while other VMs release lost ones."""

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

#: How late the platform's list of VMs is, in seconds.
LIST_LAG_SECONDS = 15.0


def clocks(now: float) -> ClockReading:
    return ClockReading(monotonic=now, wall=now)


@dataclass
class _Kept:
    hold: MemoryHold
    renewed_at: float


@dataclass
class _Process:
    """One incarnation of a VM's process."""

    vm_id: VmId
    incarnation: Incarnation
    registry: HoldRegistry
    alive: bool = True
    paused_until: float = 0.0


@dataclass
class MemoryModel:
    """Plays owners and reconcilers from a seed; ``decide`` may be a broken one."""

    seed: int
    decide: Decide = find_orphaned_holds
    settings: HoldSettings = field(default_factory=HoldSettings)
    #: Holds that were released although their live owner could use them.
    taken_from_live: list[HoldRelease] = field(default_factory=list)
    released: list[HoldRelease] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.now = 0.0
        self._generator = random.Random(self.seed)
        self._faults = True
        self._numbers = 0
        self._engines: dict[BackendServerId, dict[HoldId, _Kept]] = {e: {} for e in ENGINES}
        self._processes = {vm: self._new_process(vm) for vm in VMS}
        self._missing_since: dict[VmId, float] = {}
        self._silent_until: dict[VmId, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def play(self, seconds: float, faults: bool) -> None:
        """Plays some time, with faults or without."""
        self._faults = faults
        end = self.now + seconds
        next_round = self.now
        while self.now < end:
            self.now += 0.5
            self._run_due()
            if faults:
                self._draw_faults()
            for process in self._processes.values():
                if process.alive and self.now >= process.paused_until:
                    self._act(process, places=faults)
            if self.now >= next_round:
                next_round += self.settings.interval_seconds
                for engine_id in ENGINES:
                    self._begin_round(engine_id)

    def lost_holds(self) -> list[HoldId]:
        """Returns the holds that engines keep and no live owner claims."""
        claimed = {
            hold.hold_id
            for process in self._processes.values()
            for hold in process.registry.claimed
        }
        kept = {hold_id for holds in self._engines.values() for hold_id in holds}
        return sorted(kept - claimed)

    def _new_process(self, vm_id: VmId) -> _Process:
        self._numbers += 1
        incarnation = Incarnation(self._numbers)
        return _Process(vm_id, incarnation, HoldRegistry(incarnation, self.settings))

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        self._numbers += 1
        self._events.append((self.now + delay, self._numbers, action))

    def _run_due(self) -> None:
        due = sorted(event[:2] for event in self._events if event[0] <= self.now)
        for key in due:
            event = next(event for event in self._events if event[:2] == key)
            self._events.remove(event)
            event[2]()

    def _delay(self) -> float:
        if not self._faults:
            return 0.1
        return self._generator.choice((0.1, 0.1, 1.0, 4.5))

    def _lost(self) -> bool:
        return self._faults and self._generator.random() < 0.2

    def _draw_faults(self) -> None:
        for vm_id in VMS:
            process = self._processes[vm_id]
            draw = self._generator.random()
            if draw < 0.004:
                process.alive = False
                replace_in = self._generator.choice((1.0, 30.0, 500.0))
                self._at(replace_in, partial(self._replace, vm_id))
                self._at(LIST_LAG_SECONDS, partial(self._take_off_list, process))
            elif draw < 0.008:
                process.paused_until = self.now + self._generator.uniform(5.0, 60.0)
            elif draw < 0.012:
                self._silent_until[vm_id] = self.now + self._generator.uniform(5.0, 60.0)
            elif draw < 0.016:
                self._missing_since.setdefault(vm_id, self.now)
                self._at(40.0, partial(self._put_on_list, vm_id))

    def _replace(self, vm_id: VmId) -> None:
        if not self._processes[vm_id].alive:
            self._processes[vm_id] = self._new_process(vm_id)
            self._missing_since.pop(vm_id, None)

    def _take_off_list(self, process: _Process) -> None:
        if self._processes[process.vm_id] is process:
            self._missing_since.setdefault(process.vm_id, self.now)

    def _put_on_list(self, vm_id: VmId) -> None:
        if self._processes[vm_id].alive:
            self._missing_since.pop(vm_id, None)

    def _act(self, process: _Process, places: bool) -> None:
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
        self._numbers += 1
        request_id = RequestId(f"request-{self._numbers}")
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
            self._engines[engine_id][hold_id] = _Kept(hold, self.now)
            if not self._lost():
                process.registry.record_confirmed(hold_id, sent_at)

        if not self._lost():
            self._at(self._delay(), take_effect)

    def _send_release(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        if not self._lost():
            self._at(self._delay(), lambda: self._give_back(engine_id, hold_id))

    def _give_back(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        self._engines[engine_id].pop(hold_id, None)

    def _begin_round(self, engine_id: BackendServerId) -> None:
        if self._faults and self._generator.random() < 0.1:
            early = {vm: self._ask(vm) for vm in VMS}
            self._at(2.0, lambda: self._decide(self._list(engine_id), early))
            return
        listing = self._list(engine_id)
        self._at(self._delay(), lambda: self._decide(listing, {vm: self._ask(vm) for vm in VMS}))

    def _list(self, engine_id: BackendServerId) -> EngineListing:
        holds = tuple(
            replace(kept.hold, age_seconds=self.now - kept.renewed_at)
            for kept in self._engines[engine_id].values()
        )
        return EngineListing(engine_id, holds, listed_at=self.now)

    def _ask(self, vm_id: VmId) -> OwnerStatus:
        process = self._processes[vm_id]
        missing_since = self._missing_since.get(vm_id)
        if missing_since is not None:
            return OwnerMissing(self.now - missing_since)
        is_silent = self.now < self._silent_until.get(vm_id, 0.0)
        if not process.alive or is_silent or self.now < process.paused_until:
            return OwnerUnreachable()
        return process.registry.current_claims(asked_at=self.now)

    def _decide(self, listing: EngineListing, owners: Mapping[VmId, OwnerStatus]) -> None:
        for release in self.decide(listing, owners, self.settings):
            if not self._lost():
                self._at(self._delay(), partial(self._release, release))

    def _release(self, release: HoldRelease) -> None:
        if release.hold.hold_id not in self._engines[release.engine_id]:
            return
        process = self._processes[release.hold.owner]
        if process.alive and process.registry.may_use(release.hold.hold_id, clocks(self.now)):
            self.taken_from_live.append(release)
        self.released.append(release)
        self._give_back(release.engine_id, release.hold.hold_id)
