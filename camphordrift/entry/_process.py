"""Puts the parts of an entry VM's process together and runs them."""

import random
import time
from typing import Any, Optional

import trio

from camphordrift.backend_http import HttpConnections, HttpEngineClient
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.entry._engine_watch import EngineWatch
from camphordrift.entry._log_access import call_coordinator, log_access
from camphordrift.gateway import (
    ActiveRequests,
    BodyMemory,
    BudgetedAttemptPolicy,
    FailedAttempt,
    GatewayContext,
    GatewayLimits,
    OpenGate,
    RequestJournal,
    ServerChoice,
    ServiceCaller,
    gateway_app,
)
from camphordrift.http_server import serve_http
from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.routing import local_grant_source, pool_scheduler
from camphordrift.settings import EntrySettings
from camphordrift.telemetry import DecisionRecord, Metrics


class EntryProcess:
    """An entry VM's process.

    Example::

        process = EntryProcess(settings)
        await nursery.start(process.run)
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._snapshot: Optional[ConfigurationSnapshot] = None
        idle_seconds = settings.limits.between_bytes_timeout_seconds
        self._connections = HttpConnections(idle_seconds)
        self._engines = HttpEngineClient(self._connections, self._address_of)
        self._grants = local_grant_source(pool_scheduler())
        incarnation = Incarnation(int(time.time() * 1000))
        vm_id = settings.vm.vm_id
        self._log = log_access(self._connections, settings.platform.log_url, vm_id)
        self._calls = call_coordinator(self._log, vm_id, incarnation)
        self._watch = EngineWatch(self._engines, self._grants, self._grants.mark_leaving)
        self._active = ActiveRequests()
        self._metrics = Metrics(settings.vm.vm_id)
        self._decisions = DecisionRecord()
        self._journal = RequestJournal(self._metrics, self._decisions)
        self._body_memory = BodyMemory(settings.limits.max_held_body_bytes)

    @property
    def body_memory(self) -> BodyMemory:
        """Memory for callers' bodies."""
        return self._body_memory

    def apply(self, snapshot: ConfigurationSnapshot) -> None:
        """Puts ``snapshot`` in force."""
        self._snapshot = snapshot
        self._watch.configure(snapshot)

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._grants.run)
            nursery.start_soon(self._watch.run)
            nursery.start_soon(self._log.run)
            nursery.start_soon(self._calls.run)
            app = gateway_app(self._context())
            await nursery.start(serve_http, app, self._settings.listen.callers)
            task_status.started()

    def _context(self) -> GatewayContext:
        limits = self._settings.limits
        choice = ServerChoice(self._address_of, lambda server: True, random.Random())
        return GatewayContext(
            vm_id=self._settings.vm.vm_id,
            snapshot=lambda: self._snapshot,
            grants=self._grants,
            engines=self._engines,
            services=ServiceCaller(self._connections, choice, random.Random()),
            server_choice=choice,
            calls=self._calls,
            connections=self._connections,
            attempt_policy=BudgetedAttemptPolicy(random.Random(), self._note_failed),
            gate=OpenGate(),
            active=self._active,
            body_memory=self._body_memory,
            limits=GatewayLimits(
                max_body_bytes=limits.max_body_bytes,
                body_timeout_seconds=limits.body_timeout_seconds,
            ),
            journal=self._journal,
        )

    def _note_failed(self, failed: FailedAttempt) -> None:
        self._journal.attempt_failed(
            failed.request_id, failed.engine_id, failed.attempt, failed.error
        )

    def _address_of(self, server_id: BackendServerId) -> Optional[str]:
        if self._snapshot is None:
            return None
        server = self._snapshot.server_named(server_id)
        if server is None:
            return None
        host = f"[{server.address}]" if ":" in server.address else server.address
        return f"http://{host}:{server.port}"
