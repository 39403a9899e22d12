"""Fault injection for routing runs: random faults of engines and entry VMs."""

import random
from dataclasses import dataclass
from enum import Enum

import trio

from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._fleet import Fleet
from camphordrift.experiments._home_views import vm_id
from camphordrift.standins import InMemoryEngines

#: Time until the other VMs detect the crash of a VM, in seconds.
CRASH_DETECTION_SECONDS = 3.0


class FaultKind(Enum):
    """Kinds of faults; values that start with "engine" affect an engine, the others a VM."""

    ENGINE_DIES = "engine_dies"
    ENGINE_SILENT = "engine_silent"
    ENGINE_SLOW = "engine_slow"
    ENGINE_REFUSES = "engine_refuses"
    VM_DIES = "vm_dies"
    HOME_SILENT = "home_silent"
    VIEWS_DIFFER = "views_differ"


@dataclass(frozen=True)
class Fault:
    """One planned fault."""

    #: Start time, in seconds from the start of the run.
    at: float

    #: Kind of the fault.
    kind: FaultKind

    #: Index of the affected engine or VM.
    index: int

    #: Duration, in seconds.
    seconds: float


def plan_faults(
    deployment: Deployment, seconds: float, mean_interval_seconds: float, seed: int
) -> list[Fault]:
    """Returns random faults in start order; the same seed gives the same plan."""
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
    """Injects the faults of a plan."""

    def __init__(self, deployment: Deployment, fleet: Fleet, engines: InMemoryEngines) -> None:
        self._deployment = deployment
        self._fleet = fleet
        self._engines = engines

    async def run(self, plan: list[Fault]) -> None:
        """Injects all faults of the plan; returns when the last one has ended."""
        async with trio.open_nursery() as nursery:
            for fault in plan:
                nursery.start_soon(self._run_fault, fault)

    async def _run_fault(self, fault: Fault) -> None:
        await trio.sleep_until(fault.at)
        match fault.kind:
            case FaultKind.VM_DIES:
                await self._kill_vm(fault)
            case FaultKind.HOME_SILENT:
                await self._disconnect_home(fault)
            case FaultKind.VIEWS_DIFFER:
                await self._diverge_view(fault)
            case _:
                await self._run_engine_fault(fault)

    async def _run_engine_fault(self, fault: Fault) -> None:
        engines = self._engines
        engine_id = engines.engine_ids[fault.index]
        if not engines.is_responsive(engine_id):
            return
        match fault.kind:
            case FaultKind.ENGINE_DIES:
                engines.kill(engine_id)
                await trio.sleep(fault.seconds)
                engines.restart(engine_id)
            case FaultKind.ENGINE_SILENT:
                engines.freeze(engine_id)
                await trio.sleep(fault.seconds)
                if engines.is_alive(engine_id):
                    engines.freeze(engine_id, frozen=False)
            case FaultKind.ENGINE_SLOW:
                engines.set_speed(engine_id, 0.25)
                await trio.sleep(fault.seconds)
                if engines.is_responsive(engine_id):
                    engines.set_speed(engine_id, 1.0)
            case FaultKind.ENGINE_REFUSES:
                engines.set_refusing(engine_id)
                await trio.sleep(fault.seconds)
                engines.set_refusing(engine_id, refusing=False)

    async def _kill_vm(self, fault: Fault) -> None:
        fleet, crashed = self._fleet, vm_id(fault.index)
        if fleet.bus is None or fault.index in fleet.dead_vms or len(fleet.dead_vms) > 3:
            return
        fleet.dead_vms.add(fault.index)
        fleet.crash_events[fault.index].set()
        fleet.bus.disconnect(crashed)
        await trio.sleep(CRASH_DETECTION_SECONDS)
        for source in fleet.schedulers:
            source.remove_vm(crashed)
        self._restore_home_views()
        await trio.sleep(fault.seconds)
        fleet.bus.reconnect(crashed)
        fleet.crash_events[fault.index] = trio.Event()
        fleet.dead_vms.discard(fault.index)
        self._restore_home_views()

    async def _disconnect_home(self, fault: Fault) -> None:
        fleet = self._fleet
        home = fleet.views.home(vm_id(fault.index))
        index = int(home.removeprefix("vm-"))
        if fleet.bus is None or index in fleet.dead_vms:
            return
        fleet.bus.disconnect(home)
        await trio.sleep(fault.seconds)
        if index not in fleet.dead_vms:
            fleet.bus.reconnect(home)

    async def _diverge_view(self, fault: Fault) -> None:
        viewer = vm_id(fault.index)
        self._fleet.views.set_view(viewer, viewer)
        await trio.sleep(fault.seconds)
        self._restore_home_views()

    def _restore_home_views(self) -> None:
        live = set(range(self._deployment.vm_count)) - self._fleet.dead_vms
        self._fleet.views.set_all_views(vm_id(min(live)))
