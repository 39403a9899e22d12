"""Creates and connects the components of an entry VM's process, and runs them."""

import random
import time
from typing import Any

import trio

from camphordrift.account_limits import LimiterSettings, account_limit_service
from camphordrift.backend_http import HttpEngineClient
from camphordrift.configuration import ConfigurationKeeper, KeeperSettings
from camphordrift.draining import DrainController
from camphordrift.engine_memory import HoldRegistry, HoldSettings
from camphordrift.entry._backend_connections import BackendAddresses, backend_connections
from camphordrift.entry._configuration_sharing import ConfigurationSharing
from camphordrift.entry._engine_memory import EngineMemoryReconciler
from camphordrift.entry._engine_orders import engine_orders
from camphordrift.entry._engine_poller import EnginePoller
from camphordrift.entry._gauges import GaugeSources, observe_gauges
from camphordrift.entry._graceful_shutdown import GracefulShutdown, ShutdownActions, drain_settings
from camphordrift.entry._grants import PoolGrants
from camphordrift.entry._limits_gate import LimitsGate
from camphordrift.entry._log_access import call_coordinator, log_access
from camphordrift.entry._peer_access import peer_access
from camphordrift.entry._readiness import ReadinessCheck
from camphordrift.gateway import (
    ActiveRequests,
    BodyMemory,
    BudgetedAttemptPolicy,
    FailedAttempt,
    GatewayContext,
    GatewayLimits,
    RequestRecorder,
    ServerSelector,
    ServiceCaller,
    gateway_app,
)
from camphordrift.http_server import ServeOptions, serve_http
from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.operations import ConfigurationOperations, OperatorServices, operators_app
from camphordrift.security import FleetKeys
from camphordrift.settings import EntrySettings
from camphordrift.telemetry import (
    DecisionRecord,
    Metrics,
    StateDump,
    log_event,
    measure_loop_lag,
    process_usage,
)


class EntryProcess:
    """The process of an entry VM, which serves callers, operators and other VMs.

    Create it inside the event loop.

    Example::

        process = EntryProcess(settings, keys)
        await nursery.start(process.run)
    """

    def __init__(self, settings: EntrySettings, keys: FleetKeys) -> None:
        self._settings = settings
        vm_id = settings.vm.vm_id
        incarnation = Incarnation(int(time.time() * 1000))
        self._incarnation = incarnation
        rng = random.Random()
        self._metrics = Metrics(vm_id)
        self._decisions = DecisionRecord()
        self._dump = StateDump()
        self._recorder = RequestRecorder(self._metrics, self._decisions)
        self._active = ActiveRequests()
        self._body_memory = BodyMemory(settings.limits.max_held_body_bytes)
        self._connections = backend_connections(settings)
        self._peers = peer_access(settings, incarnation, keys, self._connections)
        self._log = log_access(self._connections, settings.platform.log_url, vm_id)
        self._keeper = ConfigurationKeeper(
            self._log.transport,
            self._log.writer,
            KeeperSettings(),
            trio.current_time,
            time.time,
            rng,
            self._peers.schema_versions,
        )
        addresses = BackendAddresses(lambda: self._keeper.snapshot)
        self._sharing = ConfigurationSharing(
            self._keeper, self._peers.network, self._peers.other_vms, rng
        )
        self._limits = account_limit_service(
            vm_id, LimiterSettings(), self._peers.membership.view, self._peers.network
        )
        self._gate = LimitsGate(self._limits)
        self._calls = call_coordinator(self._log, vm_id, incarnation)
        self._engines = HttpEngineClient(self._connections, addresses.address_of)
        self._holds = HoldRegistry(incarnation, HoldSettings())
        self._memory = EngineMemoryReconciler(
            self._holds,
            self._engines,
            self._peers.network,
            self._peers.membership.view,
            addresses.engine_ids,
            self._metrics,
        )
        self._orders = engine_orders(
            self._engines, self._log.records, lambda: self._keeper.snapshot, vm_id, incarnation
        )
        self._grants = PoolGrants(
            self._engines, self._peers.network, self._peers.membership.view, self._holds
        )
        self._engine_poller = EnginePoller(
            self._engines, self._grants.local, self._peers.membership, self._grants.is_home_of
        )
        self._server_selector = ServerSelector(addresses.address_of, self._accepts_requests, rng)
        self._services = ServiceCaller(self._connections, self._server_selector, rng)
        self._attempt_policy = BudgetedAttemptPolicy(rng, self._record_failed_attempt)
        self._shutdown = GracefulShutdown(
            drain_settings(settings.draining),
            self._active,
            ShutdownActions(
                announce_draining=self._peers.membership.announce_leaving,
                hand_over=self._grants.hand_over,
                flush=self._flush,
            ),
        )
        self._readiness = ReadinessCheck(lambda: self._keeper.readiness, self._drain_controller)
        self._register_dump_components()
        observe_gauges(self._metrics, self._gauge_sources())

    @property
    def body_memory(self) -> BodyMemory:
        """Memory budget for the bodies of requests."""
        return self._body_memory

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this process: its start time in milliseconds since 1970."""
        return self._incarnation

    @property
    def active_count(self) -> int:
        """Number of requests of authenticated callers that have not ended."""
        return self._active.count

    @property
    def configuration_keeper(self) -> ConfigurationKeeper:
        """The component that follows the fleet's configuration in the log."""
        return self._keeper

    @property
    def graceful_shutdown(self) -> GracefulShutdown:
        """The graceful shutdown; once started, it drains the process and ends :meth:`run`."""
        return self._shutdown

    @property
    def dump(self) -> StateDump:
        """The state dump, with every component of this process registered."""
        return self._dump

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> bool:
        """Serves until a graceful shutdown has ended; returns whether it completed all its steps.

        ``False`` means that running requests were aborted, or that a step reached its time limit.
        """
        clean = False
        async with trio.open_nursery() as nursery:
            for task in self._background_tasks():
                nursery.start_soon(task)
            await self._serve_ports(nursery)
            log_event("vm_started", vm=self._settings.vm.vm_id)
            task_status.started()
            clean = await self._shutdown.run()
            nursery.cancel_scope.cancel()
        log_event("vm_stopped", vm=self._settings.vm.vm_id, clean=clean)
        return clean

    async def _serve_ports(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        idle_seconds = settings.limits.caller_idle_timeout_seconds
        operators = operators_app(self._operator_services())
        operator_options = ServeOptions(idle_seconds, settings.tls.operators)
        await nursery.start(serve_http, operators, settings.listen.operators, operator_options)
        callers = gateway_app(self._gateway_context())
        caller_options = ServeOptions(idle_seconds, settings.tls.callers)
        await nursery.start(serve_http, callers, settings.listen.callers, caller_options)

    def _background_tasks(self) -> tuple[Any, ...]:
        return (
            self._peers.run,
            self._log.run,
            self._keeper.run,
            self._sharing.run,
            self._calls.run,
            self._limits.run,
            self._grants.run,
            self._engine_poller.run,
            self._memory.run,
            self._orders.run,
            self._apply_configuration,
            self._measure_loop_lag,
            self._engines.run,
        )

    async def _apply_configuration(self) -> None:
        """Passes each new configuration to the components that keep data derived from it."""
        applied_version = 0
        while True:
            snapshot = self._keeper.snapshot
            if snapshot is not None and snapshot.version > applied_version:
                applied_version = snapshot.version
                self._grants.configure(snapshot)
                self._engine_poller.configure(snapshot)
                self._gate.configure(snapshot)
                log_event("configuration_applied", version=snapshot.version, offset=snapshot.offset)
            await self._keeper.wait_for_change()

    async def _measure_loop_lag(self) -> None:
        await measure_loop_lag(self._metrics)

    def _gateway_context(self) -> GatewayContext:
        limits = self._settings.limits
        return GatewayContext(
            vm_id=self._settings.vm.vm_id,
            refusal=self._readiness.refusal_for_request,
            is_draining=lambda: self._shutdown.controller.is_draining,
            snapshot=lambda: self._keeper.snapshot,
            grants=self._grants.source,
            engines=self._engines,
            services=self._services,
            server_selector=self._server_selector,
            calls=self._calls,
            connections=self._connections,
            attempt_policy=self._attempt_policy,
            gate=self._gate,
            active=self._active,
            body_memory=self._body_memory,
            limits=GatewayLimits(
                max_body_bytes=limits.max_body_bytes,
                body_timeout_seconds=limits.body_timeout_seconds,
            ),
            recorder=self._recorder,
        )

    def _operator_services(self) -> OperatorServices:
        return OperatorServices(
            vm_id=self._settings.vm.vm_id,
            key_hashes=self._settings.operator_key_hashes,
            readiness=self._readiness.refusal_for_balancer,
            metrics=self._metrics,
            dump=self._dump,
            decisions=self._decisions,
            configuration=ConfigurationOperations(self._keeper, self._peers.schema_versions),
            drain=self._shutdown,
        )

    def _gauge_sources(self) -> GaugeSources:
        return GaugeSources(
            readiness=self._readiness,
            shutdown=self._shutdown,
            active=self._active,
            body_memory=self._body_memory,
            grants=self._grants.local,
            engine_poller=self._engine_poller,
            keeper=self._keeper,
            log=self._log,
            peers=self._peers,
        )

    def _register_dump_components(self) -> None:
        self._dump.register("configuration", lambda: self._keeper.status)
        self._dump.register("membership", self._peers.membership.dump_state)
        self._dump.register("peers", self._peers.network.dump_state)
        self._dump.register("log_writer", lambda: self._log.writer.statistics)
        self._dump.register("requests", self._active.all)
        self._dump.register("body_bytes", lambda: self._body_memory.used_bytes)
        self._dump.register("calls", self._calls.dump_state)
        self._dump.register("routing", self._grants.dump_state)
        self._dump.register("engine_memory", self._memory.dump_state)
        self._dump.register("engine_orders", self._orders.dump_state)
        self._dump.register("account_limits", self._limits.dump_state)
        self._dump.register("retries", self._attempt_policy.dump_state)
        self._dump.register("service_retries", self._services.dump_state)
        self._dump.register("circuit_breakers", self._server_selector.breakers.dump_state)
        self._dump.register("stop", self._shutdown.progress)
        self._dump.register("process", process_usage)
        self._dump.register("decisions", self._decisions.snapshot)

    def _drain_controller(self) -> DrainController:
        return self._shutdown.controller

    async def _flush(self) -> None:
        await self._orders.leases.release_all()
        await self._calls.flush()

    def _accepts_requests(self, server_id: BackendServerId) -> bool:
        return not self._peers.membership.servers.is_leaving(server_id)

    def _record_failed_attempt(self, failed: FailedAttempt) -> None:
        self._recorder.record_failed_attempt(
            failed.request_id, failed.engine_id, failed.attempt, failed.error
        )
