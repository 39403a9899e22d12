"""Sends engines the orders that lead to their configured state.

Only the VM that holds the lease ``engine-orders`` sends orders.
"""

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

#: Seconds between two comparisons of the engines with the configuration.
ROUND_SECONDS = 2.0

#: Maximum number of loads from the weight store that the fleet may start per second.
WEIGHT_STORE_LOADS_PER_SECOND = 1.0

#: Maximum number of loads from the weight store that may start at the same time after an idle
#: period.
WEIGHT_STORE_BURST_LOADS = 2.0


@dataclass(frozen=True)
class EngineOrders:
    """Maintains the lease for engine orders, and sends orders while this VM holds it."""

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
        """Returns the leases and the state of the orders to each engine, for the state dump."""
        return {"leases": self.leases.dump_state(), "engines": self.giver.dump_state()}


def engine_orders(
    engines: EngineClient,
    log: RecordLog,
    snapshot: Callable[[], Optional[ConfigurationSnapshot]],
    vm_id: VmId,
    incarnation: Incarnation,
) -> EngineOrders:
    """Returns the component of one VM that sends engine orders. Call it inside the event loop."""
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
    """Returns the configured state of each engine that accepts orders from the fleet."""
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
