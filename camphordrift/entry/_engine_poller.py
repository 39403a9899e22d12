"""Polls the engines for load reports and cache events, and passes them to the local scheduler."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from camphordrift.backend_servers import BackendError, EngineClient
from camphordrift.configuration import BackendServer, ConfigurationSnapshot
from camphordrift.identifiers import BackendServerId, Incarnation, ServiceName
from camphordrift.membership import MembershipService
from camphordrift.routing import EngineSpec, LocalGrantSource

#: Seconds between two polls of an engine's load by the home VM of its pool. The home VM schedules
#: requests for the pool; rendezvous hashing chooses it.
LOAD_INTERVAL_SECONDS = 0.5

#: Seconds between two polls by any other VM, which needs the load only for local fallback. Less
#: than the age at which the scheduler treats a load report as stale.
FALLBACK_LOAD_INTERVAL_SECONDS = 4.0

#: Number of load polls for each poll of cache events. Cache events can be polled less often, as
#: engines report them with a lag anyway.
LOAD_POLLS_PER_CACHE_POLL = 4

#: Number of consecutive failed polls after which an engine is marked as failed.
FAILURES_TO_MARK_FAILED = 2


@dataclass
class _PolledEngine:
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    incarnation: Incarnation = field(default_factory=lambda: Incarnation(0))
    cache_sequence: int = 0
    failures: int = 0
    load_polls: int = 0
    last_poll_at: float = float("-inf")


class EnginePoller:
    """Polls the engines of the configuration, with one task for each.

    Run :meth:`run` in a nursery and call :meth:`configure` with each new configuration. The home VM
    of an engine's pool polls the engine often. Other VMs poll it rarely, and are told by the
    membership when it is draining.
    """

    def __init__(
        self,
        engines: EngineClient,
        grants: LocalGrantSource,
        membership: MembershipService,
        is_home_of: Callable[[ServiceName], bool],
    ) -> None:
        self._engines = engines
        self._grants = grants
        self._membership = membership
        self._is_home_of = is_home_of
        self._specs: Sequence[EngineSpec] = ()
        self._draining: frozenset[BackendServerId] = frozenset()
        self._polled: dict[BackendServerId, _PolledEngine] = {}
        self._configured: dict[BackendServerId, BackendServer] = {}
        self._configuration_changed = trio.Event()

    @property
    def reachable_count(self) -> int:
        """Number of engines with fewer than ``FAILURES_TO_MARK_FAILED`` failed polls in a row."""
        polled = self._polled.values()
        return sum(engine.failures < FAILURES_TO_MARK_FAILED for engine in polled)

    def configure(self, snapshot: ConfigurationSnapshot) -> None:
        """Polls the engines of ``snapshot`` from now on, and no others."""
        self._configured = {server.server_id: server for server in snapshot.engines()}
        self._specs = _engine_specs(snapshot)
        self._set_engines()
        self._configuration_changed.set()

    async def run(self) -> None:
        """Polls the load of each configured engine at regular intervals until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_draining)
            while True:
                self._configuration_changed = trio.Event()
                self._stop_polling_removed()
                for engine_id in self._configured.keys() - self._polled.keys():
                    self._polled[engine_id] = _PolledEngine()
                    nursery.start_soon(self._poll_engine, engine_id, self._polled[engine_id])
                await self._configuration_changed.wait()

    def _stop_polling_removed(self) -> None:
        for engine_id in self._polled.keys() - self._configured.keys():
            self._polled.pop(engine_id).scope.cancel()

    async def _follow_draining(self) -> None:
        """Copies the set of draining engines from the membership to the scheduler.

        The membership knows them from the engines' load reports and from the gossip of other VMs.
        """
        while True:
            await trio.sleep(LOAD_INTERVAL_SECONDS)
            if self._current_draining() != self._draining:
                self._set_engines()

    def _current_draining(self) -> frozenset[BackendServerId]:
        servers = self._membership.servers
        return frozenset(
            engine_id for engine_id in self._configured if servers.is_leaving(engine_id)
        )

    def _set_engines(self) -> None:
        self._draining = self._current_draining()
        self._grants.set_engines(self._specs)
        for engine_id in self._draining:
            self._grants.mark_leaving(engine_id)

    async def _poll_engine(self, engine_id: BackendServerId, polled: _PolledEngine) -> None:
        with polled.scope:
            while True:
                if self._is_due(engine_id, polled):
                    polled.last_poll_at = trio.current_time()
                    await self._poll_once(engine_id, polled)
                await trio.sleep(LOAD_INTERVAL_SECONDS)

    def _is_due(self, engine_id: BackendServerId, polled: _PolledEngine) -> bool:
        server = self._configured.get(engine_id)
        if server is None:
            return False
        if self._is_home_of(server.service):
            return True
        return trio.current_time() >= polled.last_poll_at + FALLBACK_LOAD_INTERVAL_SECONDS

    async def _poll_once(self, engine_id: BackendServerId, polled: _PolledEngine) -> None:
        try:
            report = await self._engines.read_load(engine_id)
            if report.incarnation != polled.incarnation:
                polled.incarnation = report.incarnation
                polled.cache_sequence = 0
            self._grants.observe_load(report)
            self._membership.on_server_response(engine_id, report.incarnation, report.leaving)
            if polled.load_polls % LOAD_POLLS_PER_CACHE_POLL == 0:
                await self._read_cache_events(engine_id, polled)
            polled.load_polls += 1
            polled.failures = 0
        except BackendError:
            polled.failures += 1
            if polled.failures >= FAILURES_TO_MARK_FAILED:
                self._grants.mark_failed(engine_id)

    async def _read_cache_events(self, engine_id: BackendServerId, polled: _PolledEngine) -> None:
        batch = await self._engines.read_cache_events(engine_id, polled.cache_sequence)
        if batch.events:
            polled.cache_sequence = batch.events[-1].sequence
        self._grants.observe_cache_events(engine_id, batch)


def _engine_specs(snapshot: ConfigurationSnapshot) -> Sequence[EngineSpec]:
    return [
        EngineSpec(
            engine_id=server.server_id,
            models=frozenset(
                model.name for model in snapshot.models.values() if model.service == server.service
            ),
            memory_tokens=server.memory_tokens,
        )
        for server in snapshot.engines()
    ]
