"""The entry VMs of a run: a grant source for each, and the feeds that keep them informed."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

import trio

from camphordrift.backend_servers import LoadReport
from camphordrift.experiments import _baselines
from camphordrift.experiments._control_cost import ControlCost
from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._divided import EngineHomesSource, shares_of
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

#: Load reports are read this often, in seconds.
LOAD_READ_SECONDS = 0.25

#: An engine whose load could not be read this many times has failed.
MISSED_READS = 2


class Policy(Enum):
    """Who decides for the engines, and how."""

    ROUND_ROBIN = "round_robin"
    LEAST_LOAD = "least_load"
    TWO_CHOICES = "two_choices"
    SHORTEST_QUEUE = "shortest_queue"
    ALONE = "alone"
    SHARES = "shares"
    HOME_ENGINE = "home_engine"
    HOME_POOL = "home_pool"


@dataclass
class Fleet:
    """What the entry VMs of a run decide with."""

    #: The grant source of each VM.
    sources: list[GrantSource] = field(default_factory=list)

    #: Who takes load reports.
    observers: list[Callable[[LoadReport], None]] = field(default_factory=list)

    #: Schedulers whose queues must be empty at the end.
    schedulers: list[LocalGrantSource] = field(default_factory=list)

    #: Whom the VMs take for home.
    views: HomeViews = field(default_factory=HomeViews)

    #: The network between the VMs, if the policy uses one.
    bus: Optional[MessageBus] = None

    #: The sources that ask the home VM.
    remote_sources: list[RemoteGrantSource] = field(default_factory=list)

    #: VMs that are dead at this instant, by their place.
    dead_vms: set[int] = field(default_factory=set)

    #: Set when a VM dies; replaced when it is back.
    crash_events: list[trio.Event] = field(default_factory=list)

    #: What follows a failed attempt.
    retries: AttemptPolicy = field(default_factory=lambda: BudgetedAttemptPolicy(random.Random(0)))

    #: What the control messages cost.
    cost: ControlCost = field(default_factory=ControlCost)

    async def feed_loads(self, engines: InMemoryEngines) -> None:
        """Reads the engines' late load reports for all observers; runs until cancelled."""
        missed: Counter[BackendServerId] = Counter()
        while self.observers:
            for engine_id in engines.engine_ids:
                if not engines.answers(engine_id):
                    missed[engine_id] += 1
                    self._note_missed(engine_id, missed[engine_id])
                    continue
                missed[engine_id] = 0
                report = engines.state(engine_id).load_report
                for observe in self.observers:
                    observe(report)
                self.cost.add_small(2 * len(self.observers))
            await trio.sleep(LOAD_READ_SECONDS)

    def _note_missed(self, engine_id: BackendServerId, count: int) -> None:
        if count >= MISSED_READS:
            for source in self.schedulers:
                source.mark_failed(engine_id)


def engine_facts(deployment: Deployment) -> list[EngineSpec]:
    """Returns what schedulers are told of the deployment's engines."""
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
    """Returns the entry VMs of a run under ``policy``; background work goes to ``nursery``."""
    fleet = Fleet()
    fleet.crash_events = [trio.Event() for _ in range(deployment.vm_count)]
    match policy:
        case Policy.ALONE:
            for _ in range(deployment.vm_count):
                facts = engine_facts(deployment)
                fleet.sources.append(_add_scheduler(fleet, facts, nursery))
        case Policy.SHARES:
            for share in shares_of(engine_facts(deployment), deployment.vm_count):
                fleet.sources.append(_add_scheduler(fleet, share, nursery))
        case Policy.HOME_ENGINE:
            _open_engine_homes(fleet, deployment, nursery, seed)
        case Policy.HOME_POOL:
            _open_home_pool(fleet, deployment, engines, nursery)
        case _:
            for index in range(deployment.vm_count):
                choose = _baseline(policy, fleet, engines, index, seed)
                memory = deployment.engine_models()[0].memory_tokens
                fleet.sources.append(_baselines.ChoosingSource(choose, memory))
    nursery.start_soon(fleet.feed_loads, engines)
    return fleet


def _open_home_pool(
    fleet: Fleet, deployment: Deployment, engines: InMemoryEngines, nursery: trio.Nursery
) -> None:
    bus = MessageBus(deployment.hop_seconds, fleet.cost, nursery)
    fleet.bus = bus
    for index in range(deployment.vm_count):
        local = _add_scheduler(fleet, engine_facts(deployment), nursery)
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
    facts = engine_facts(deployment)
    homes = {each.engine_id: _add_scheduler(fleet, [each], nursery) for each in facts}
    for index in range(deployment.vm_count):
        source = EngineHomesSource(
            homes,
            deployment.hop_seconds,
            facts[0].memory_tokens,
            fleet.cost,
            random.Random(seed * 1000 + index),
        )
        fleet.observers.append(source.observe)
        fleet.sources.append(source)


def _add_scheduler(
    fleet: Fleet, facts: list[EngineSpec], nursery: trio.Nursery
) -> LocalGrantSource:
    source = local_grant_source(pool_scheduler())
    source.set_engines(facts)
    nursery.start_soon(source.run)
    fleet.observers.append(source.observe_load)
    fleet.schedulers.append(source)
    return source


def _baseline(
    policy: Policy, fleet: Fleet, engines: InMemoryEngines, vm_index: int, seed: int
) -> _baselines.Choose:
    engine_ids = engines.engine_ids
    if policy is Policy.ROUND_ROBIN:
        return _baselines.round_robin(engine_ids, vm_index)
    if policy is Policy.SHORTEST_QUEUE:
        return _baselines.shortest_queue(engines)
    loads = _baselines.ReportedLoads(engine_ids)
    fleet.observers.append(loads.observe)
    if policy is Policy.LEAST_LOAD:
        return _baselines.least_reported(loads, engine_ids)
    return _baselines.two_choices(loads, engine_ids, random.Random(seed * 1000 + vm_index))
