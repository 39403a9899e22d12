"""Schedules requests on the engines of all model services, on behalf of one or more VMs."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.model import BackendServer, EngineReport, Service
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    PlacementRequest,
)
from camphordrift.relay.scheduling._request_limits import Permit, RequestLimits
from camphordrift.relay.servers import ServerPause

#: Delivers a decision to the VM that made the placement request.
DecisionCallback = Callable[[PlacementDecision], None]


class EngineScheduler:
    """Schedules requests on one engine pool for each model service.

    The owner of a request is the VM, or the follower connection, that submitted or registered it.

    Args:
        vm: Id of this VM.
        clock: Returns the seconds of a monotonic clock.
        limits: Limits of requests that servers named; without it, there are none.

    """

    def __init__(
        self, vm: str, clock: Callable[[], float], limits: Optional[RequestLimits] = None
    ) -> None:
        self._vm = vm
        #: Limits of requests that servers named.
        self.limits = RequestLimits(lambda: 1.0) if limits is None else limits
        self._clock = clock
        self._pools: dict[str, EnginePool] = {}
        #: Engine pool and id of the owner, by the id of the placement request.
        self._owners: dict[str, tuple[EnginePool, str]] = {}
        self._replies: dict[str, DecisionCallback] = {}
        self._suspended_until = 0.0

    def set_services(self, services: Iterable[Service]) -> None:
        """Adds and updates engine pools for the model services of a configuration."""
        for service in services:
            if service.engine_costs is None:
                continue
            if pool := self._pools.get(service.name):
                pool.set_costs(service.engine_costs)
            else:
                self._pools[service.name] = EnginePool(service.engine_costs, self._vm, self.limits)

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replaces the engines of all pools by the servers listed in the directory."""
        servers_by_service: dict[str, list[BackendServer]] = {name: [] for name in self._pools}
        for server in servers:
            if server.service in servers_by_service:
                servers_by_service[server.service].append(server)
        for name, engines in servers_by_service.items():
            self._pools[name].set_servers(engines)
        self.decide()

    @property
    def request_counts(self) -> tuple[int, int]:
        """Numbers of placed and of waiting requests over all pools."""
        pools = self._pools.values()
        return sum(pool.placed_count for pool in pools), sum(pool.waiting_count for pool in pools)

    def placed_count(self, service: str) -> int:
        """Returns the number of requests that are placed on a service's engines."""
        return self._pools[service].placed_count

    def has_pool(self, service: str) -> bool:
        """Returns whether there is an engine pool for a service."""
        return service in self._pools

    def submit(self, owner: str, request: PlacementRequest, reply: DecisionCallback) -> None:
        """Queues a placement request.

        Args:
            owner: Id of the owner, by which :meth:`remove_owner` removes the request.
            request: The placement request.
            reply: Called with the decision, before this method returns or later; not called if the
                request is withdrawn first.

        """
        pool = self._pools[request.service]
        self._owners[request.id] = (pool, owner)
        self._replies[request.id] = reply
        pool.submit(request, self._clock())
        self._decide_for(pool)

    def register(
        self, owner: str, request: PlacementRequest, grant: Grant, is_prefilling: bool
    ) -> None:
        """Adds the load of a request that another VM placed; see :meth:`EnginePool.register`."""
        if pool := self._pools.get(request.service):
            self._owners[request.id] = (pool, owner)
            pool.register(request, grant, is_prefilling, self._clock())

    def withdraw(self, ask_id: str) -> None:
        """Removes a waiting request; releases its engines if it has been placed."""
        self.record_finished(ask_id, AttemptOutcome.SERVED)

    def record_first_event(self, ask_id: str) -> None:
        """Records the first event of a response, which shows that prefill has finished."""
        if entry := self._owners.get(ask_id):
            entry[0].record_first_event(ask_id, self._clock())
            self._decide_for(entry[0])

    def record_event_gap(self, ask_id: str, gap: float) -> None:
        """Records the shortest of several gaps, in seconds, between events of a request."""
        if entry := self._owners.get(ask_id):
            entry[0].record_event_gap(ask_id, gap)

    def record_finished(
        self, ask_id: str, outcome: AttemptOutcome, at_fault: Optional[str] = None
    ) -> None:
        """Removes a request that has ended; see :meth:`EnginePool.record_finished`."""
        self._replies.pop(ask_id, None)
        if entry := self._owners.pop(ask_id, None):
            was_placed = entry[0].record_finished(ask_id, outcome, self._clock(), at_fault)
            # The end of a request that only waited frees no capacity for another one.
            if was_placed:
                self._decide_for(entry[0])

    def record_pause(self, owner: str, service: str, pause: ServerPause) -> None:
        """Records that an engine wants no requests of an owner, also of those that wait."""
        if pool := self._pools.get(service):
            ask_ids = [key for key, entry in self._owners.items() if entry == (pool, owner)]
            pool.record_pause(ask_ids, pause, self._clock())
            self._decide_for(pool)

    def remove_owner(self, owner: str) -> None:
        """Removes the requests of an owner that disconnected."""
        for ask_id in [key for key, (_, vm) in self._owners.items() if vm == owner]:
            self.record_finished(ask_id, AttemptOutcome.SERVED)

    def reserve(self, service: str, server_ids: Sequence[str], max_delay: float) -> Permit:
        """Grants a request to one of several limited servers of a plain service.

        See :meth:`RequestLimits.reserve`.
        """
        return self.limits.reserve(service, server_ids, max_delay, self._clock())

    def record_limited_request(self, server_id: str) -> None:
        """Records a request that a VM has sent to a limited server without a grant."""
        self.limits.take_by_id(server_id, self._clock())

    def servers_to_inspect(self) -> list[BackendServer]:
        """Returns the engines from which a report is needed now; each counts as requested."""
        now = self._clock()
        return [s for pool in self._pools.values() for s in pool.servers_to_inspect(now)]

    def record_report(self, server: BackendServer, report: Optional[EngineReport]) -> None:
        """Records an engine's report; ``None`` if it did not answer."""
        if pool := self._pools.get(server.service):
            pool.record_report(server.id, report, self._clock())
            self._decide_for(pool)

    def suspend_decisions(self, seconds: float) -> None:
        """Suspends decisions for some seconds, until other VMs have reported their requests."""
        now = self._clock()
        self._suspended_until = now + seconds
        for pool in self._pools.values():
            pool.restart_estimates(now)

    def decide(self) -> None:
        """Makes and delivers all decisions that are possible now."""
        self.limits.observe_share(self._clock())
        for pool in self._pools.values():
            self._decide_for(pool)

    def _decide_for(self, pool: EnginePool) -> None:
        now = self._clock()
        if now < self._suspended_until:
            return
        for decision in pool.decide(now):
            _log_decision(decision, pool)
            if not isinstance(decision, Grant):
                self._owners.pop(decision.ask_id, None)
            if reply := self._replies.pop(decision.ask_id, None):
                reply(decision)


def _log_decision(decision: PlacementDecision, pool: EnginePool) -> None:
    match decision:
        case Grant(ask_id, server, helpers, helper_memory, first_event):
            log_event(
                "engine_granted",
                ask=ask_id,
                server=server.id,
                helpers=",".join(helper.id for helper in helpers),
                reserved=sum(helper_memory),
                expected=first_event,
                placed=pool.placed_count,
                waiting=pool.waiting_count,
                **_share_fields(pool, ask_id),
            )
        case PlacementRefusal(ask_id, reason, retry_after, time_left, time_needed):
            log_event(
                "engine_refused",
                level=LogLevel.WARNING,
                ask=ask_id,
                reason=reason,
                retry_after=retry_after,
                time_left=time_left,
                time_needed=time_needed,
                placed=pool.placed_count,
                waiting=pool.waiting_count,
                **_share_fields(pool, ask_id),
            )


def _share_fields(pool: EnginePool, ask_id: str) -> dict[str, Any]:
    """Returns the log fields of a decision that depends on the order between accounts."""
    share = pool.share_of(ask_id)
    if share is None:
        return {}
    return {
        "account": share.account,
        "share": share.served_share,
        "entitled": share.entitled_share,
        "accounts": share.accounts,
    }
