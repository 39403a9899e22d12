"""The entry VMs of a run: a grant source for each, and the feeds that keep them informed."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio
from returns import result

from camphordrift.backend_servers import LoadReport
from camphordrift.experiments import _baselines
from camphordrift.experiments._control_cost import ControlCost
from camphordrift.experiments._deployments import Deployment
from camphordrift.gateway import AttemptPolicy, BudgetedAttemptPolicy
from camphordrift.results import Failure
from camphordrift.routing import (
    EngineFacts,
    Grant,
    GrantAsk,
    GrantOutcome,
    GrantSource,
    LocalGrantSource,
    local_grant_source,
    pool_scheduler,
)
from camphordrift.standins import InMemoryEngines

#: Load reports are read this often, in seconds.
LOAD_READ_SECONDS = 0.25


class Policy(Enum):
    """Who decides for the engines, and how."""

    ROUND_ROBIN = "round_robin"
    LEAST_LOAD = "least_load"
    TWO_CHOICES = "two_choices"
    SHORTEST_QUEUE = "shortest_queue"
    ALONE = "alone"
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

    #: What follows a failed attempt.
    retries: AttemptPolicy = field(default_factory=lambda: BudgetedAttemptPolicy(random.Random(0)))

    #: What the control messages cost.
    cost: ControlCost = field(default_factory=ControlCost)

    async def feed_loads(self, engines: InMemoryEngines) -> None:
        """Reads the engines' late load reports for all observers; runs until cancelled."""
        while self.observers:
            for engine_id in engines.engine_ids:
                if not engines.answers(engine_id):
                    continue
                report = engines.state(engine_id).load_report
                for observe in self.observers:
                    observe(report)
                self.cost.add_small(2 * len(self.observers))
            await trio.sleep(LOAD_READ_SECONDS)


class HopSource:
    """A grant source on another VM, one message away each way."""

    def __init__(
        self, source: GrantSource, hop_seconds: float, cost: ControlCost, nursery: trio.Nursery
    ) -> None:
        self._source = source
        self._hop_seconds = hop_seconds
        self._cost = cost
        self._nursery = nursery

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Asks the other VM."""
        self._cost.add_ask(ask)
        await trio.sleep(self._hop_seconds)
        answer = await self._source.acquire(ask)
        self._cost.add_small()
        with trio.CancelScope(shield=True):
            await trio.sleep(self._hop_seconds)
        return answer

    def report_first_token(self, grant: Grant) -> None:
        """Tells the other VM, which learns of it a hop later."""
        self._send(lambda: self._source.report_first_token(grant))

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Tells the other VM, which learns of it a hop later."""
        self._send(lambda: self._source.finish(grant, outcome))

    def _send(self, deliver: Callable[[], None]) -> None:
        self._cost.add_small()
        self._nursery.start_soon(self._deliver_later, deliver)

    async def _deliver_later(self, deliver: Callable[[], None]) -> None:
        await trio.sleep(self._hop_seconds)
        deliver()


def engine_facts(deployment: Deployment) -> list[EngineFacts]:
    """Returns what schedulers are told of the deployment's engines."""
    return [
        EngineFacts(
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
    match policy:
        case Policy.ALONE:
            for _ in range(deployment.vm_count):
                fleet.sources.append(_add_scheduler(fleet, deployment, nursery))
        case Policy.HOME_POOL:
            _open_home_pool(fleet, deployment, nursery)
        case _:
            for index in range(deployment.vm_count):
                choose = _baseline(policy, fleet, engines, index, seed)
                memory = deployment.engine_models()[0].memory_tokens
                fleet.sources.append(_baselines.ChoosingSource(choose, memory))
    nursery.start_soon(fleet.feed_loads, engines)
    return fleet


def _open_home_pool(fleet: Fleet, deployment: Deployment, nursery: trio.Nursery) -> None:
    home = _add_scheduler(fleet, deployment, nursery)
    fleet.sources.append(home)
    for _ in range(deployment.vm_count - 1):
        fleet.sources.append(HopSource(home, deployment.hop_seconds, fleet.cost, nursery))


def _add_scheduler(fleet: Fleet, deployment: Deployment, nursery: trio.Nursery) -> LocalGrantSource:
    source = local_grant_source(pool_scheduler())
    source.set_engines(engine_facts(deployment))
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
