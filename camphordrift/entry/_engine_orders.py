"""Orders engines into the configured state while this VM holds the engine orders lease."""

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

#: The lease that a VM must hold to send orders to engines.
ENGINE_ORDERS_LEASE = LeaseName("engine-orders")

#: Time between two rounds that compare the engines with the configuration, in seconds.
ROUND_SECONDS = 2.0

#: Rate of loads that this fleet may start from the weight store, in loads per second.
WEIGHT_STORE_LOADS_PER_SECOND = 1.0

#: Loads from the weight store that may start at once after an idle period.
WEIGHT_STORE_BURST_LOADS = 2.0


@dataclass(frozen=True)
class EngineOrders:
    """The lease for engine orders, and the component that sends orders while it is held."""

    #: Acquires and renews the lease; only one VM of the fleet holds it at a time.
    leases: LeaseRunner

    #: Sends orders to engines while this VM holds the lease.
    giver: EngineOrderGiver

    #: Returns the current configuration; ``None`` while none is known.
    snapshot: Callable[[], Optional[ConfigurationSnapshot]]

    async def run(self) -> None:
        """Maintains the lease and sends orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.leases.run)
            while True:
                snapshot = self.snapshot()
                if snapshot is not None:
                    await self.giver.run_round(desired_engines(snapshot))
                await trio.sleep(ROUND_SECONDS)

    def dump_state(self) -> object:
        """Returns the leases and the state of orders per engine, for the state dump."""
        return {"leases": self.leases.dump_state(), "engines": self.giver.dump_state()}


def engine_orders(
    engines: EngineClient,
    log: RecordLog,
    snapshot: Callable[[], Optional[ConfigurationSnapshot]],
    vm_id: VmId,
    incarnation: Incarnation,
) -> EngineOrders:
    """Returns the engine orders of one VM. Call it inside the event loop."""
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
    """Returns the configured state of the engines that accept orders from the fleet."""
    return tuple(
        _desired(engine, snapshot)
        for engine in snapshot.engines()
        if OrderGiver.FLEET in engine.order_givers
    )


def _desired(engine: BackendServer, snapshot: ConfigurationSnapshot) -> DesiredEngine:
    models = (model for model in snapshot.models.values() if model.service == engine.service)
    weights = [item for model in models for item in _weights_of(model)]
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
