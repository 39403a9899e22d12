"""Faults of engines and entry VMs, planned by a seed and brought about during a run."""

import random
from dataclasses import dataclass
from enum import Enum

import trio

from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._fleet import Fleet
from camphordrift.experiments._home_views import vm_id
from camphordrift.standins import InMemoryEngines

#: Time until the other VMs have learnt of a VM's death, in seconds.
DEATH_NOTICED_SECONDS = 3.0


class FaultKind(Enum):
    """What goes wrong."""

    ENGINE_DIES = "engine_dies"
    ENGINE_SILENT = "engine_silent"
    ENGINE_SLOW = "engine_slow"
    ENGINE_REFUSES = "engine_refuses"
    VM_DIES = "vm_dies"
    HOME_SILENT = "home_silent"
    VIEWS_DIFFER = "views_differ"


@dataclass(frozen=True)
class Fault:
    """One fault of a plan."""

    #: When it begins, in seconds.
    at: float

    #: What goes wrong.
    kind: FaultKind

    #: Which engine or VM, by its place.
    index: int

    #: How long it lasts, in seconds.
    seconds: float


def plan_faults(
    deployment: Deployment, seconds: float, mean_interval_seconds: float, seed: int
) -> list[Fault]:
    """Returns random faults; the same seed gives the same plan."""
    rng = random.Random(seed)
    faults = []
    at = rng.expovariate(1.0 / mean_interval_seconds)
    while at < seconds:
        kind = rng.choice(list(FaultKind))
        count = deployment.engine_count if kind.value.startswith("engine") else deployment.vm_count
        faults.append(Fault(at, kind, rng.randrange(count), rng.uniform(2.0, 20.0)))
        at += rng.expovariate(1.0 / mean_interval_seconds)
    return faults


class FaultInjector:
    """Brings the faults of a plan about."""

    def __init__(self, deployment: Deployment, fleet: Fleet, engines: InMemoryEngines) -> None:
        self._deployment = deployment
        self._fleet = fleet
        self._engines = engines

    async def run(self, plan: list[Fault]) -> None:
        """Runs the whole plan and ends once every fault is over."""
        async with trio.open_nursery() as nursery:
            for fault in plan:
                nursery.start_soon(self._run_fault, fault)

    async def _run_fault(self, fault: Fault) -> None:
        await trio.sleep_until(fault.at)
        match fault.kind:
            case FaultKind.VM_DIES:
                await self._kill_vm(fault)
            case FaultKind.HOME_SILENT:
                await self._silence_home(fault)
            case FaultKind.VIEWS_DIFFER:
                await self._mislead(fault)
            case _:
                await self._hurt_engine(fault)

    async def _hurt_engine(self, fault: Fault) -> None:
        engines = self._engines
        engine_id = engines.engine_ids[fault.index]
        if not engines.answers(engine_id):
            return
        match fault.kind:
            case FaultKind.ENGINE_DIES:
                engines.die(engine_id)
                await trio.sleep(fault.seconds)
                engines.restart(engine_id)
            case FaultKind.ENGINE_SILENT:
                engines.freeze(engine_id)
                await trio.sleep(fault.seconds)
                if engines.is_alive(engine_id):
                    engines.freeze(engine_id, frozen=False)
            case FaultKind.ENGINE_SLOW:
                engines.slow(engine_id, 0.25)
                await trio.sleep(fault.seconds)
                if engines.answers(engine_id):
                    engines.slow(engine_id, 1.0)
            case FaultKind.ENGINE_REFUSES:
                engines.refuse(engine_id)
                await trio.sleep(fault.seconds)
                engines.refuse(engine_id, refusing=False)

    async def _kill_vm(self, fault: Fault) -> None:
        fleet, dead = self._fleet, vm_id(fault.index)
        if fleet.bus is None or fault.index in fleet.dead_vms or len(fleet.dead_vms) > 3:
            return
        fleet.dead_vms.add(fault.index)
        fleet.crash_events[fault.index].set()
        fleet.bus.cut_off(dead)
        await trio.sleep(DEATH_NOTICED_SECONDS)
        for source in fleet.schedulers:
            source.remove_vm(dead)
        self._agree_on_live_home()
        await trio.sleep(fault.seconds)
        fleet.bus.reconnect(dead)
        fleet.crash_events[fault.index] = trio.Event()
        fleet.dead_vms.discard(fault.index)
        self._agree_on_live_home()

    async def _silence_home(self, fault: Fault) -> None:
        fleet = self._fleet
        home = fleet.views.home(vm_id(fault.index))
        index = int(home.removeprefix("vm-"))
        if fleet.bus is None or index in fleet.dead_vms:
            return
        fleet.bus.cut_off(home)
        await trio.sleep(fault.seconds)
        if index not in fleet.dead_vms:
            fleet.bus.reconnect(home)

    async def _mislead(self, fault: Fault) -> None:
        viewer = vm_id(fault.index)
        self._fleet.views.mislead(viewer, viewer)
        await trio.sleep(fault.seconds)
        self._agree_on_live_home()

    def _agree_on_live_home(self) -> None:
        live = set(range(self._deployment.vm_count)) - self._fleet.dead_vms
        self._fleet.views.agree_on(vm_id(min(live)))
