"""Reads the engines' load and cache events, and tells whoever decides for them."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from camphordrift.backend_servers import BackendError, EngineClient
from camphordrift.configuration import BackendServer, ConfigurationSnapshot
from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.membership import MembershipService
from camphordrift.routing import EngineFacts, LocalGrantSource

#: Time between two readings of one engine's load, in seconds.
LOAD_INTERVAL_SECONDS = 0.5

#: An engine that could not be read this many times one after the other has failed.
FAILURES_TO_MARK_FAILED = 2


@dataclass
class _Watched:
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    incarnation: Incarnation = field(default_factory=lambda: Incarnation(0))
    cache_sequence: int = 0
    failures: int = 0


class EngineWatch:
    """Watches the engines of the configuration, one task for each.

    Run :meth:`run` in a nursery and call :meth:`configure` with each new configuration.
    """

    def __init__(
        self,
        engines: EngineClient,
        grants: LocalGrantSource,
        membership: MembershipService,
    ) -> None:
        self._engines = engines
        self._grants = grants
        self._membership = membership
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
        self._grants.set_engines(_facts_of(snapshot))
        self._changed.set()

    async def run(self) -> None:
        """Watches until cancelled."""
        async with trio.open_nursery() as nursery:
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

    async def _watch(self, engine_id: BackendServerId, watched: _Watched) -> None:
        with watched.scope:
            while True:
                await self._read_once(engine_id, watched)
                await trio.sleep(LOAD_INTERVAL_SECONDS)

    async def _read_once(self, engine_id: BackendServerId, watched: _Watched) -> None:
        try:
            report = await self._engines.read_load(engine_id)
            if report.incarnation != watched.incarnation:
                watched.incarnation = report.incarnation
                watched.cache_sequence = 0
            self._grants.observe_load(report)
            self._membership.on_server_answer(engine_id, report.incarnation, report.leaving)
            if self._membership.servers.is_leaving(engine_id):
                self._grants.mark_leaving(engine_id)
            batch = await self._engines.read_cache_events(engine_id, watched.cache_sequence)
            if batch.events:
                watched.cache_sequence = batch.events[-1].sequence
            self._grants.observe_cache_events(engine_id, batch)
            watched.failures = 0
        except BackendError:
            watched.failures += 1
            if watched.failures >= FAILURES_TO_MARK_FAILED:
                self._grants.mark_failed(engine_id)


def _facts_of(snapshot: ConfigurationSnapshot) -> Sequence[EngineFacts]:
    return [
        EngineFacts(
            engine_id=server.server_id,
            models=frozenset(
                model.name for model in snapshot.models.values() if model.service == server.service
            ),
            memory_tokens=server.memory_tokens,
        )
        for server in snapshot.engines()
    ]
