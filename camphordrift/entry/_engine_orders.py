"""Brings the engines to the state that the configuration wants, while this VM holds the lease."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.backend_servers import EngineClient, EngineRole, OrderKind
from camphordrift.configuration import BackendServer, ConfigurationSnapshot, Model, OrderGiver
from camphordrift.engine_orders import (
    DesiredEngine,
    DesiredWeights,
    EngineOrderGiver,
    WeightStoreBudget,
)
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.leases import LeaseHolder, LeaseName, LeaseRunner, LeaseSettings
from camphordrift.record_log import RecordLog

#: The lease under which orders are given.
ENGINE_ORDERS_LEASE = LeaseName("engine-orders")

#: Time between two looks at the engines, in seconds.
ROUND_SECONDS = 2.0

#: Loads that the weight store takes a second from this fleet, and at once after a pause.
WEIGHT_STORE_LOADS_PER_SECOND = 1.0
WEIGHT_STORE_BURST_LOADS = 2.0


@dataclass(frozen=True)
class EngineOrders:
    """The lease and the giver of orders."""

    #: Keeps the lease, on whichever VM has it.
    leases: LeaseRunner

    #: Gives orders under it.
    giver: EngineOrderGiver

    #: The configuration in force.
    snapshot: Callable[[], Optional[ConfigurationSnapshot]]

    async def run(self) -> None:
        """Keeps the lease and gives orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.leases.run)
            while True:
                snapshot = self.snapshot()
                if snapshot is not None:
                    await self.giver.run_round(desired_engines(snapshot))
                await trio.sleep(ROUND_SECONDS)

    def dump_state(self) -> object:
        """Returns what a state dump shows."""
        return {"leases": self.leases.dump_state(), "engines": self.giver.dump_state()}


def engine_orders(
    engines: EngineClient,
    log: RecordLog,
    snapshot: Callable[[], Optional[ConfigurationSnapshot]],
    vm_id: VmId,
    incarnation: Incarnation,
) -> EngineOrders:
    """Returns the giver of orders of one VM. Call it inside the loop."""
    leases = LeaseRunner(
        log,
        LeaseHolder(vm_id, incarnation),
        (ENGINE_ORDERS_LEASE,),
        LeaseSettings(),
        time.time,
        random.Random(),
    )
    budget = WeightStoreBudget(
        WEIGHT_STORE_LOADS_PER_SECOND, WEIGHT_STORE_BURST_LOADS, 1.0, trio.current_time()
    )
    giver = EngineOrderGiver(engines, leases, ENGINE_ORDERS_LEASE, budget)
    return EngineOrders(leases, giver, snapshot)


def desired_engines(snapshot: ConfigurationSnapshot) -> tuple[DesiredEngine, ...]:
    """Returns what the configuration wants of the engines that the fleet gives orders to."""
    return tuple(
        _desired(engine, snapshot)
        for engine in snapshot.engines()
        if OrderGiver.FLEET in engine.order_givers
    )


def _desired(engine: BackendServer, snapshot: ConfigurationSnapshot) -> DesiredEngine:
    models = (model for model in snapshot.models.values() if model.service == engine.service)
    weights = [part for model in models for part in _weights_of(model)]
    return DesiredEngine(
        engine_id=engine.server_id,
        configuration_version=snapshot.version,
        role=EngineRole.FULL,
        weights=tuple(weights),
        checks_fencing=engine.checks_fencing,
        allowed_orders=engine.allowed_orders,
    )


def _weights_of(model: Model) -> tuple[DesiredWeights, ...]:
    adapters = (adapter.partition("@") for adapter in model.adapters)
    return (
        DesiredWeights(OrderKind.LOAD_MODEL, model.name, model.version),
        *(DesiredWeights(OrderKind.LOAD_ADAPTER, name, version) for name, _, version in adapters),
    )
