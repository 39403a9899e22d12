"""Simulated entry VMs of a run: one grant source per VM, and the polling of engine loads."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

import trio

from camphordrift.backend_servers import LoadReport
from camphordrift.experiments import _baselines
from camphordrift.experiments._alternative_sources import EngineHomesSource, partition_engines
from camphordrift.experiments._control_cost import ControlCost
from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._home_views import HomeViews, vm_id
from camphordrift.experiments._messenger import MessageBus
from camphordrift.gateway import AttemptPolicy, BudgetedAttemptPolicy
from camphordrift.identifiers import BackendServerId, Incarnation, VmId
from camphordrift.routing import (
    EngineSpec,
    GrantAsk,
    GrantHome,
    GrantSource,
    LocalGrantSource,
    RemoteGrantSource,
    holding_grant_source,
    local_grant_source,
    pool_scheduler,
    remote_grant_source,
)
from camphordrift.standins import InMemoryEngines

#: Interval between two polls of the engines' load reports, in seconds.
LOAD_POLL_SECONDS = 0.25

#: Number of consecutive missed load reports after which an engine counts as failed.
FAILED_AFTER_MISSED_REPORTS = 2


class Policy(Enum):
    """Routing policies: which VM selects the engine of a request, and by what rule."""

    #: Each VM uses the engines in turn.
    ROUND_ROBIN = "round_robin"

    #: Each VM selects the engine with the least reported load.
    LEAST_LOAD = "least_load"

    #: Each VM selects the engine with the lower reported load of two random ones.
    TWO_CHOICES = "two_choices"

    #: Each VM selects the engine with the least pending work, which it reads without delay.
    SHORTEST_QUEUE = "shortest_queue"

    #: Each VM schedules all engines by itself, without knowing the requests of other VMs.
    ALONE = "alone"

    #: Each VM schedules its own subset of the engines.
    SHARES = "shares"

    #: Each engine has a home VM that schedules it; VMs ask the less loaded of two random engines.
    HOME_ENGINE = "home_engine"

    #: One home VM schedules all engines of the pool.
    HOME_POOL = "home_pool"


@dataclass
class Fleet:
    """Grant sources of the simulated entry VMs of a run, and the state they share."""

    #: The grant source of each VM, by VM index.
    sources: list[GrantSource] = field(default_factory=list)

    #: Callbacks that receive every load report.
    observers: list[Callable[[LoadReport], None]] = field(default_factory=list)

    #: All schedulers of the run; their queues must be empty at the end.
    schedulers: list[LocalGrantSource] = field(default_factory=list)

    #: The VM that each VM takes as the home VM of the pool.
    views: HomeViews = field(default_factory=HomeViews)

    #: Simulated network between the VMs; ``None`` if the policy sends no messages.
    bus: Optional[MessageBus] = None

    #: Grant sources that send their requests to the home VM.
    remote_sources: list[RemoteGrantSource] = field(default_factory=list)

    #: Indexes of the VMs that are currently crashed.
    dead_vms: set[int] = field(default_factory=set)

    #: One event per VM, set when the VM crashes and replaced when it restarts.
    crash_events: list[trio.Event] = field(default_factory=list)

    #: Retry policy for failed attempts.
    retries: AttemptPolicy = field(default_factory=lambda: BudgetedAttemptPolicy(random.Random(0)))

    #: Control messages sent so far.
    cost: ControlCost = field(default_factory=ControlCost)

    async def poll_loads(self, engines: InMemoryEngines) -> None:
        """Polls the engines' delayed load reports and passes them on; runs until cancelled."""
        missed: Counter[BackendServerId] = Counter()
        while self.observers:
            for engine_id in engines.engine_ids:
                if not engines.is_responsive(engine_id):
                    missed[engine_id] += 1
                    self._handle_missed_report(engine_id, missed[engine_id])
                    continue
                missed[engine_id] = 0
                report = engines.state(engine_id).load_report
                for observe in self.observers:
                    observe(report)
                self.cost.add_small(2 * len(self.observers))
            await trio.sleep(LOAD_POLL_SECONDS)

    def _handle_missed_report(self, engine_id: BackendServerId, count: int) -> None:
        if count >= FAILED_AFTER_MISSED_REPORTS:
            for source in self.schedulers:
                source.mark_failed(engine_id)


def engine_specs(deployment: Deployment) -> list[EngineSpec]:
    """Returns the specifications of the deployment's engines for schedulers."""
    return [
        EngineSpec(
            model.engine_id,
            frozenset(model.models),
            model.memory_tokens,
            model.prefill_tokens_per_second,
            model.prefill_chunk_tokens,
            model.step_seconds + model.step_seconds_per_request,
        )
        for model in deployment.engine_models()
    ]


def open_fleet(
    policy: Policy,
    deployment: Deployment,
    engines: InMemoryEngines,
    nursery: trio.Nursery,
    seed: int,
) -> Fleet:
    """Creates the entry VMs of a run under ``policy``; background tasks run in ``nursery``."""
    fleet = Fleet()
    fleet.crash_events = [trio.Event() for _ in range(deployment.vm_count)]
    match policy:
        case Policy.ALONE:
            for _ in range(deployment.vm_count):
                specs = engine_specs(deployment)
                fleet.sources.append(_add_scheduler(fleet, specs, nursery))
        case Policy.SHARES:
            for share in partition_engines(engine_specs(deployment), deployment.vm_count):
                fleet.sources.append(_add_scheduler(fleet, share, nursery))
        case Policy.HOME_ENGINE:
            _open_engine_homes(fleet, deployment, nursery, seed)
        case Policy.HOME_POOL:
            _open_home_pool(fleet, deployment, engines, nursery)
        case _:
            for index in range(deployment.vm_count):
                choose = _baseline(policy, fleet, engines, index, seed)
                memory = deployment.engine_models()[0].memory_tokens
                fleet.sources.append(_baselines.BaselineGrantSource(choose, memory))
    nursery.start_soon(fleet.poll_loads, engines)
    return fleet


def _open_home_pool(
    fleet: Fleet, deployment: Deployment, engines: InMemoryEngines, nursery: trio.Nursery
) -> None:
    bus = MessageBus(deployment.hop_seconds, fleet.cost, nursery)
    fleet.bus = bus
    for index in range(deployment.vm_count):
        local = _add_scheduler(fleet, engine_specs(deployment), nursery)
        source = _home_source(vm_id(index), local, fleet.views, bus)
        holding = holding_grant_source(source, engines, vm_id(index), Incarnation(1))
        nursery.start_soon(source.run)
        nursery.start_soon(holding.run)
        fleet.remote_sources.append(source)
        fleet.sources.append(holding)


def _home_source(
    own: VmId, local: LocalGrantSource, views: HomeViews, bus: MessageBus
) -> RemoteGrantSource:
    def home_of(pool: str) -> VmId:
        return views.home(own)

    def is_home(pool: str) -> bool:
        return views.home(own) == own

    def pool_of(ask: GrantAsk) -> str:
        return ask.model

    messenger = bus.messenger(own)
    GrantHome(local, is_home).register(messenger)
    return remote_grant_source(own, local, messenger, pool_of, home_of)


def _open_engine_homes(
    fleet: Fleet, deployment: Deployment, nursery: trio.Nursery, seed: int
) -> None:
    specs = engine_specs(deployment)
    homes = {each.engine_id: _add_scheduler(fleet, [each], nursery) for each in specs}
    for index in range(deployment.vm_count):
        source = EngineHomesSource(
            homes,
            deployment.hop_seconds,
            specs[0].memory_tokens,
            fleet.cost,
            random.Random(seed * 1000 + index),
        )
        fleet.observers.append(source.observe)
        fleet.sources.append(source)


def _add_scheduler(
    fleet: Fleet, specs: list[EngineSpec], nursery: trio.Nursery
) -> LocalGrantSource:
    source = local_grant_source(pool_scheduler())
    source.set_engines(specs)
    nursery.start_soon(source.run)
    fleet.observers.append(source.observe_load)
    fleet.schedulers.append(source)
    return source


def _baseline(
    policy: Policy, fleet: Fleet, engines: InMemoryEngines, vm_index: int, seed: int
) -> _baselines.EngineChooser:
    engine_ids = engines.engine_ids
    if policy is Policy.ROUND_ROBIN:
        return _baselines.round_robin(engine_ids, vm_index)
    if policy is Policy.SHORTEST_QUEUE:
        return _baselines.shortest_queue(engines)
    loads = _baselines.ReportedLoads(engine_ids)
    fleet.observers.append(loads.observe)
    if policy is Policy.LEAST_LOAD:
        return _baselines.least_load(loads, engine_ids)
    return _baselines.two_choices(loads, engine_ids, random.Random(seed * 1000 + vm_index))
