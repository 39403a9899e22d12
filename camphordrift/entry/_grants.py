"""Chooses the engine for a request: on the pool's home VM, or locally if that is unreachable.

The home VM of a pool coordinates its engines; rendezvous hashing selects it among the live VMs.
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
    HoldingGrantSource,
    LocalGrantSource,
    PoolScheduler,
    RemoteGrantSource,
    holding_grant_source,
    local_grant_source,
    pool_scheduler,
    remote_grant_source,
)

#: Time between two checks for dead VMs, in seconds.
CHECK_INTERVAL_SECONDS = 0.5


class RegisteredClaims:
    """Claims in the hold registry, with times read from the clocks of this process."""

    def __init__(self, registry: HoldRegistry) -> None:
        self._registry = registry

    def claim(self, part: KvPart, request_id: RequestId, remaining_seconds: float) -> None:
        """Claims a hold, for at most ``remaining_seconds``, before it is placed on the engine."""
        until = _now().plus(remaining_seconds)
        self._registry.claim(part.hold_id, part.engine_id, request_id, until)

    def record_confirmed(self, hold_id: HoldId, sent_at: float) -> None:
        """Records that the engine confirmed a placement or renewal sent at ``sent_at``.

        ``sent_at`` is a time of the event loop's clock, in seconds.
        """
        self._registry.record_confirmed(hold_id, _now().plus(sent_at - trio.current_time()))

    def drop_claim(self, hold_id: HoldId) -> None:
        """Ends the claim of a hold."""
        self._registry.drop_claim(hold_id)


class PoolGrants:
    """The grant source of an entry VM, with its local and remote schedulers.

    All engines of one model service form a pool. The pool's home VM, chosen by rendezvous hashing
    among the live VMs, queues the grant requests for all of its engines.
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
        self._source: HoldingGrantSource = holding_grant_source(
            self._remote, engines, own.vm_id, own.incarnation, claims
        )

    @property
    def source(self) -> HoldingGrantSource:
        """The grant source that requests use; it also places holds on the granted engine."""
        return self._source

    @property
    def local(self) -> LocalGrantSource:
        """The scheduler of this VM, for pools it is home VM of and for local fallback."""
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
        """Waits until no grant request is queued here; new ones go to the next home VM."""
        while self._local.waiting_count:
            await trio.sleep(CHECK_INTERVAL_SECONDS / 10)

    def dump_state(self) -> object:
        """Returns the home VMs of pools and counts of grants, for the state dump."""
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
