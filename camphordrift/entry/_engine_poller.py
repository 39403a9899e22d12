"""Reads the engines' load and cache events, and tells whoever decides for them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from camphordrift.backend_servers import BackendError, EngineClient
from camphordrift.configuration import BackendServer, ConfigurationSnapshot
from camphordrift.identifiers import BackendServerId, Incarnation, ServiceName
from camphordrift.membership import MembershipService
from camphordrift.routing import EngineSpec, LocalGrantSource

#: Time between two readings of one engine's load by the home VM of its pool, in seconds.
LOAD_INTERVAL_SECONDS = 0.5

#: The same by any other VM, which needs the load only if it has to decide alone, in seconds. Below
#: the age at which the scheduler takes a report for stale.
FALLBACK_LOAD_INTERVAL_SECONDS = 4.0

#: Cache events come late anyway, so they are read with each of so many readings of the load only.
LOAD_POLLS_PER_CACHE_POLL = 4

#: An engine that could not be read this many times one after the other has failed.
FAILURES_TO_MARK_FAILED = 2


@dataclass
class _Watched:
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    incarnation: Incarnation = field(default_factory=lambda: Incarnation(0))
    cache_sequence: int = 0
    failures: int = 0
    readings: int = 0
    read_at: float = float("-inf")


class EnginePoller:
    """Watches the engines of the configuration, one task for each.

    Run :meth:`run` in a nursery and call :meth:`configure` with each new configuration. The home VM
    of an engine's pool reads it often; that an engine is leaving reaches the others through the
    membership.
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
        self._facts: Sequence[EngineSpec] = ()
        self._leaving: frozenset[BackendServerId] = frozenset()
        self._watched: dict[BackendServerId, _Watched] = {}
        self._wanted: dict[BackendServerId, BackendServer] = {}
        self._changed = trio.Event()

    @property
    def answering_count(self) -> int:
        """Engines whose load could be read lately."""
        watched = self._watched.values()
        return sum(engine.failures < FAILURES_TO_MARK_FAILED for engine in watched)

    def configure(self, snapshot: ConfigurationSnapshot) -> None:
        """Watches the engines of ``snapshot`` from now on."""
        self._wanted = {server.server_id: server for server in snapshot.engines()}
        self._facts = _facts_of(snapshot)
        self._set_engines()
        self._changed.set()

    async def run(self) -> None:
        """Watches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_leaving)
            while True:
                self._changed = trio.Event()
                self._stop_removed()
                for engine_id in self._wanted.keys() - self._watched.keys():
                    self._watched[engine_id] = _Watched()
                    nursery.start_soon(self._watch, engine_id, self._watched[engine_id])
                await self._changed.wait()

    def _stop_removed(self) -> None:
        for engine_id in self._watched.keys() - self._wanted.keys():
            self._watched.pop(engine_id).scope.cancel()

    async def _follow_leaving(self) -> None:
        """Gives leaving engines no new work, whoever says that they leave, and takes it back."""
        while True:
            await trio.sleep(LOAD_INTERVAL_SECONDS)
            if self._leaving_now() != self._leaving:
                self._set_engines()

    def _leaving_now(self) -> frozenset[BackendServerId]:
        servers = self._membership.servers
        return frozenset(engine_id for engine_id in self._wanted if servers.is_leaving(engine_id))

    def _set_engines(self) -> None:
        self._leaving = self._leaving_now()
        self._grants.set_engines(self._facts)
        for engine_id in self._leaving:
            self._grants.mark_leaving(engine_id)

    async def _watch(self, engine_id: BackendServerId, watched: _Watched) -> None:
        with watched.scope:
            while True:
                if self._is_due(engine_id, watched):
                    watched.read_at = trio.current_time()
                    await self._read_once(engine_id, watched)
                await trio.sleep(LOAD_INTERVAL_SECONDS)

    def _is_due(self, engine_id: BackendServerId, watched: _Watched) -> bool:
        server = self._wanted.get(engine_id)
        if server is None:
            return False
        if self._is_home_of(server.service):
            return True
        return trio.current_time() >= watched.read_at + FALLBACK_LOAD_INTERVAL_SECONDS

    async def _read_once(self, engine_id: BackendServerId, watched: _Watched) -> None:
        try:
            report = await self._engines.read_load(engine_id)
            if report.incarnation != watched.incarnation:
                watched.incarnation = report.incarnation
                watched.cache_sequence = 0
            self._grants.observe_load(report)
            self._membership.on_server_response(engine_id, report.incarnation, report.leaving)
            if watched.readings % LOAD_POLLS_PER_CACHE_POLL == 0:
                await self._read_cache_events(engine_id, watched)
            watched.readings += 1
            watched.failures = 0
        except BackendError:
            watched.failures += 1
            if watched.failures >= FAILURES_TO_MARK_FAILED:
                self._grants.mark_failed(engine_id)

    async def _read_cache_events(self, engine_id: BackendServerId, watched: _Watched) -> None:
        batch = await self._engines.read_cache_events(engine_id, watched.cache_sequence)
        if batch.events:
            watched.cache_sequence = batch.events[-1].sequence
        self._grants.observe_cache_events(engine_id, batch)


def _facts_of(snapshot: ConfigurationSnapshot) -> Sequence[EngineSpec]:
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
