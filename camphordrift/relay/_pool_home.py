"""The pools of engines that one VM decides for, on behalf of several VMs."""

from collections.abc import Callable, Iterable
from typing import Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._engine_pool import EnginePool
from camphordrift.relay._placement_values import Ask, Decision, Grant, Outcome, Refusal
from camphordrift.relay._values import BackendServer, Service

#: Delivers a decision to whoever asked.
Reply = Callable[[Decision], None]


class PoolHome:
    """Keeps a pool for each service of engines, and knows which VM each request belongs to."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._pools: dict[str, EnginePool] = {}
        #: Pool and VM of each ask.
        self._owners: dict[str, tuple[EnginePool, str]] = {}
        self._replies: dict[str, Reply] = {}
        self._held_until = 0.0

    def set_services(self, services: Iterable[Service]) -> None:
        """Takes over the services of a configuration."""
        for service in services:
            if service.engine_costs is None:
                continue
            if pool := self._pools.get(service.name):
                pool.set_costs(service.engine_costs)
            else:
                self._pools[service.name] = EnginePool(service.engine_costs)

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Takes over the directory."""
        by_service: dict[str, list[BackendServer]] = {name: [] for name in self._pools}
        for server in servers:
            if server.service in by_service:
                by_service[server.service].append(server)
        for name, members in by_service.items():
            self._pools[name].set_servers(members)
        self.decide()

    @property
    def load(self) -> tuple[int, int]:
        """Requests that engines work on, and requests that wait, over all pools."""
        pools = self._pools.values()
        return sum(pool.placed for pool in pools), sum(pool.waiting for pool in pools)

    def placed(self, service: str) -> int:
        """Returns how many requests the engines of a service work on."""
        return self._pools[service].placed

    def knows(self, service: str) -> bool:
        """Tells whether there is a pool for a service."""
        return service in self._pools

    def submit(self, owner: str, ask: Ask, reply: Reply) -> None:
        """Takes a request in; ``reply`` is called at once or when an engine is free."""
        pool = self._pools[ask.service]
        self._owners[ask.id] = (pool, owner)
        self._replies[ask.id] = reply
        pool.submit(ask, self._clock())
        self._decide_for(pool)

    def register(self, owner: str, ask: Ask, grant: Grant, reading: bool) -> None:
        """Takes over a request that another VM placed."""
        if pool := self._pools.get(ask.service):
            self._owners[ask.id] = (pool, owner)
            pool.register(ask, grant, reading, self._clock())

    def withdraw(self, ask_id: str) -> None:
        """Forgets a request that waits, and gives its engine back if it was placed."""
        self.finished(ask_id, Outcome.SERVED)

    def first_event(self, ask_id: str) -> None:
        """Notes that a request's prompt has been read."""
        if found := self._owners.get(ask_id):
            found[0].first_event(ask_id, self._clock())
            self._decide_for(found[0])

    def pause_seen(self, ask_id: str, pause: float) -> None:
        """Notes the shortest of some pauses between a request's events."""
        if found := self._owners.get(ask_id):
            found[0].pause_seen(ask_id, pause)

    def finished(self, ask_id: str, outcome: Outcome, at_fault: Optional[str] = None) -> None:
        """Notes that a request's work has ended."""
        self._replies.pop(ask_id, None)
        if found := self._owners.pop(ask_id, None):
            was_placed = found[0].finished(ask_id, outcome, self._clock(), at_fault)
            # The end of a request that only waited makes no room for another one.
            if was_placed:
                self._decide_for(found[0])

    def owner_lost(self, owner: str) -> None:
        """Forgets the requests of a VM that is gone or decides elsewhere."""
        for ask_id in [key for key, (_, vm) in self._owners.items() if vm == owner]:
            self.finished(ask_id, Outcome.SERVED)

    def hold_decisions(self, seconds: float) -> None:
        """Makes no decisions for a while, as other VMs have yet to report their requests."""
        self._held_until = self._clock() + seconds

    def decide(self) -> None:
        """Delivers all decisions that can be made now."""
        for pool in self._pools.values():
            self._decide_for(pool)

    def _decide_for(self, pool: EnginePool) -> None:
        now = self._clock()
        if now < self._held_until:
            return
        for decision in pool.decide(now):
            _log_decision(decision, pool)
            if not isinstance(decision, Grant):
                self._owners.pop(decision.ask_id, None)
            if reply := self._replies.pop(decision.ask_id, None):
                reply(decision)


def _log_decision(decision: Decision, pool: EnginePool) -> None:
    match decision:
        case Grant(ask_id, server, helpers, helper_memory, first_event):
            log_event(
                "engine_granted",
                ask=ask_id,
                server=server.id,
                helpers=",".join(helper.id for helper in helpers),
                reserved=sum(helper_memory),
                expected=first_event,
                placed=pool.placed,
                waiting=pool.waiting,
            )
        case Refusal(ask_id, reason, retry_after, time_left, time_needed):
            log_event(
                "engine_refused",
                level=LogLevel.WARNING,
                ask=ask_id,
                reason=reason,
                retry_after=retry_after,
                time_left=time_left,
                time_needed=time_needed,
                placed=pool.placed,
                waiting=pool.waiting,
            )
