"""Connects the schedulers that grant requests permission to run on an engine.

A grant is the permission to run one attempt of a request on one engine. The engines of one model
service form a pool. The home VM of a pool coordinates its engines; rendezvous hashing selects it
among the live VMs. If the home VM is unreachable, a VM schedules its requests locally.
"""

import time

import trio

from camphordrift.backend_servers import EngineClient, KvPart
from camphordrift.clocks import ClockReading
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.engine_memory import HoldRegistry
from camphordrift.identifiers import HoldId, RequestId, ServiceName, VmId
from camphordrift.membership import MembershipView
from camphordrift.peers import PeerNetwork
from camphordrift.routing import (
    GrantAsk,
    GrantHome,
    HoldPlacingGrantSource,
    LocalGrantSource,
    PoolScheduler,
    RemoteGrantSource,
    holding_grant_source,
    local_grant_source,
    pool_scheduler,
    remote_grant_source,
)

#: Seconds between two checks for dead VMs.
CHECK_INTERVAL_SECONDS = 0.5


class RegisteredClaims:
    """Claims holds in the registry of this process, whose clocks it reads.

    A hold is KV memory reserved on an engine. The owner of a hold claims it; a hold that nobody
    claims is released.
    """

    def __init__(self, registry: HoldRegistry) -> None:
        self._registry = registry

    def claim(self, part: KvPart, request_id: RequestId, remaining_seconds: float) -> None:
        """Registers that this process will own a hold, for at most ``remaining_seconds``.

        Call it before placing the hold, so that the hold is not released as unclaimed.
        """
        until = _now().plus(remaining_seconds)
        self._registry.claim(part.hold_id, part.engine_id, request_id, until)

    def record_confirmed(self, hold_id: HoldId, sent_at: float) -> None:
        """Records that the engine confirmed a placement or renewal sent at ``sent_at``.

        ``sent_at`` is in seconds of the event loop's clock.
        """
        self._registry.record_confirmed(hold_id, _now().plus(sent_at - trio.current_time()))

    def drop_claim(self, hold_id: HoldId) -> None:
        """Removes the claim of a hold, which may then be released."""
        self._registry.drop_claim(hold_id)


class PoolGrants:
    """Grants requests of this VM an engine, and grants other VMs the engines of its own pools.

    The home VM of a pool queues the grant requests of all VMs for the pool's engines.
    """

    def __init__(
        self,
        engines: EngineClient,
        network: PeerNetwork,
        view: MembershipView,
        registry: HoldRegistry,
    ) -> None:
        own = network.own
        self._view = view
        self._own = own.vm_id
        self._pools: dict[str, str] = {}
        self._scheduler: PoolScheduler = pool_scheduler()
        self._local: LocalGrantSource = local_grant_source(self._scheduler)
        GrantHome(self._local, self._is_home).register(network)
        self._remote: RemoteGrantSource = remote_grant_source(
            own.vm_id, self._local, network, self._pool_of, self._home_of
        )
        claims = RegisteredClaims(registry)
        self._source: HoldPlacingGrantSource = holding_grant_source(
            self._remote, engines, own.vm_id, own.incarnation, claims
        )

    @property
    def source(self) -> HoldPlacingGrantSource:
        """The source of grants for this VM's requests; it also places holds on the engines."""
        return self._source

    @property
    def local(self) -> LocalGrantSource:
        """The scheduler for the pools whose home VM this is, and for local fallback."""
        return self._local

    def configure(self, snapshot: ConfigurationSnapshot) -> None:
        """Applies the models, account weights and slowdown weight of ``snapshot``."""
        self._pools = {str(model.name): str(model.service) for model in snapshot.models.values()}
        self._scheduler.set_slowdown_weight(snapshot.tuning.slowdown_weight)
        weights = {name: limits.weight for name, limits in snapshot.limits.items()}
        self._scheduler.set_account_weights(weights)

    async def run(self) -> None:
        """Schedules grant requests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._local.run)
            nursery.start_soon(self._remote.run)
            await nursery.start(self._source.run)
            await self._remove_dead_vms()

    def is_home_of(self, service: ServiceName) -> bool:
        """Returns whether this VM is the home VM for the engines of ``service``."""
        return self._is_home(str(service))

    async def hand_over(self) -> None:
        """Waits until no grant request is queued on this VM.

        Call it while draining, when new grant requests already go to the next home VM.
        """
        while self._local.waiting_count:
            await trio.sleep(CHECK_INTERVAL_SECONDS / 10)

    def dump_state(self) -> object:
        """Returns the home VM of each pool and the numbers of grants, for the state dump."""
        return {
            "home_of_pools": {pool: self._home_of(pool) for pool in set(self._pools.values())},
            "queued": self._scheduler.queued_count,
            "running": self._remote.running_count,
            "decided_alone": self._remote.local_fallback_count,
            "held_grants": self._source.held_grants,
        }

    async def _remove_dead_vms(self) -> None:
        removed: set[VmId] = set()
        while True:
            dead = set(self._view.dead_vms)
            for vm_id in dead - removed:
                self._local.remove_vm(vm_id)
            removed = dead
            await trio.sleep(CHECK_INTERVAL_SECONDS)

    def _pool_of(self, request: GrantAsk) -> str:
        return self._pools.get(str(request.model), str(request.model))

    def _home_of(self, pool: str) -> VmId:
        return self._view.home_of(f"pool\0{pool}", trio.current_time())

    def _is_home(self, pool: str) -> bool:
        return self._home_of(pool) == self._own


def _now() -> ClockReading:
    return ClockReading(monotonic=trio.current_time(), wall=time.time())
