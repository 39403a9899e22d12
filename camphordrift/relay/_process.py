"""The relay process: creates all components and runs them in one event loop."""

import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.event_log import (
    BoundedLogHandler,
    LogLevel,
    configure_bounded_logging,
    log_event,
)
from camphordrift.relay._stop_schedule import stop_schedule
from camphordrift.relay.connections import (
    BACKEND_CONNECT_TIMEOUT,
    READ_SIZE,
    SHARED_TURN_INTERVAL,
    BodyBudget,
    CallerConnection,
    CallerRequest,
    ConnectionLimit,
    ConnectionPool,
    ResponseWriter,
    TurnSchedule,
)
from camphordrift.relay.fleet import Dispatcher, LeaderElection, UpdateDistributor
from camphordrift.relay.model import (
    Address,
    CallerLimits,
    DocumentFormat,
    HeaderFormat,
    KeyedLog,
    LogTopics,
    OrderFormat,
    RelaySettings,
    ReportFormat,
)
from camphordrift.relay.peers import (
    NEWER_KINDS,
    CrashMonitor,
    EvacuationSharing,
    Member,
    NoticeDistributor,
    PathSharing,
    PeerLinks,
    TunnelServer,
    fetch_configuration,
)
from camphordrift.relay.requests import (
    Admission,
    CrashChecks,
    EngineInspector,
    RelayMetrics,
    RequestHandler,
    RequestReports,
    ReservationManager,
    RoutingState,
    Sender,
    ServerCalls,
    ServerConnector,
)
from camphordrift.relay.scheduling import EngineScheduler, RequestLimits
from camphordrift.relay.servers import (
    DirectoryChange,
    ServerDirectory,
    ServerNotices,
    ZoneEvacuations,
)
from camphordrift.relay.store import (
    ConfigurationLease,
    ConfigurationWatcher,
    CountedLog,
    EraCheckedLog,
    EvacuationRecords,
    QuarantineRecords,
    ServersWatcher,
    StoreEraTracker,
    boot_time_clock,
)
from camphordrift.resident_memory import open_descriptors, resident_bytes
from camphordrift.telemetry import METRICS_CONTENT_TYPE

#: Seconds between checks of the idle connections in the pool.
IDLE_CONNECTION_CHECK_INTERVAL = 1.0

#: Seconds between runs of the engine scheduler that no event triggers. They are needed because some
#: decisions depend on time alone, such as refusals of requests that cannot meet their deadline.
DECISION_INTERVAL = 0.1

#: Seconds within which the last refusals of a stopping VM are written.
REFUSAL_TIME = 0.1

#: Age of the configuration in seconds at which a VM starts to report that it is not ready.
MAX_READY_CONFIGURATION_AGE = 3.5

#: Seconds between flushes of the log output.
LOG_INTERVAL = 0.05

#: Maximum size in bytes of the load balancer's readiness request.
MAX_READINESS_REQUEST_BYTES = 16384

#: Timeout in seconds for the load balancer's readiness request.
READINESS_REQUEST_TIMEOUT = 2.0

#: Limits for requests to the metrics endpoint, which have no body.
METRICS_LIMITS = CallerLimits(body_bytes=0)


@dataclass(frozen=True)
class Adapters:
    """A deployment's implementations of the interfaces in :mod:`camphordrift.relay.model`."""

    headers: HeaderFormat
    documents: DocumentFormat
    orders: OrderFormat
    reports: ReportFormat
    log: KeyedLog
    topics: LogTopics


class RelayProcess:
    """Creates the components of one VM's relay and runs them."""

    def __init__(
        self,
        settings: RelaySettings,
        adapters: Adapters,
        log_output: Optional[BoundedLogHandler] = None,
        caller_socket: Optional[socket.socket] = None,
    ) -> None:
        self._settings = settings
        self._caller_socket = caller_socket
        self._started_ms = int(time.time() * 1000)
        self._metrics = RelayMetrics(settings.vm)
        self._log_output = log_output
        self._stopping = False
        self._accept_scope = trio.CancelScope()
        self._callers: set[CallerConnection] = set()
        self._bodies = BodyBudget(settings.body_budget)
        self._caller_limit = ConnectionLimit(settings.max_callers, busy_weight=2)
        self._caller_turns = TurnSchedule(SHARED_TURN_INTERVAL)
        self._metrics_limit = ConnectionLimit(settings.max_probes)
        self._readiness_limit = ConnectionLimit(settings.max_probes)
        self._responses = BodyBudget(settings.response_budget)
        self._directory = ServerDirectory()
        self._notices = ServerNotices()
        self._evacuations = ZoneEvacuations()
        self._lease = ConfigurationLease(settings.key_revocation_delay)
        self._request_limits = RequestLimits(
            lambda: self._election.limit_share, phase=lambda: self._election.limit_phase
        )
        self._scheduler = EngineScheduler(settings.vm, trio.current_time, self._request_limits)
        self._dispatcher = Dispatcher(
            settings.vm,
            self._scheduler,
            trio.current_time,
            lambda service: self._notices.pauses_of(service, trio.current_time()),
        )
        links = PeerLinks()
        self._notice_distributor = NoticeDistributor(
            self._notices,
            self._request_limits,
            trio.current_time,
            on_leaving=self._refresh_pools,
            on_pause=self._dispatcher.report_pause,
            links=links,
        )
        evacuation_sharing = EvacuationSharing(
            self._evacuations,
            links,
            lambda: self._lease.read_age(boot_time_clock()),
            self._refresh_pools,
        )
        eras = StoreEraTracker()
        log = EraCheckedLog(CountedLog(adapters.log, self._metrics.store_calls), eras)
        self._configuration = ConfigurationWatcher(
            log,
            eras,
            adapters.topics,
            adapters.documents,
            self._lease,
            self._configuration_changed,
            fetch_configuration,
            settings.configuration_apply_delay,
            self._evacuation_records(adapters.topics, evacuation_sharing),
        )
        self._servers = ServersWatcher(
            log,
            eras,
            adapters.topics,
            adapters.documents,
            self._directory,
            self._servers_changed,
            lambda: self._configuration.store_reachable,
            self._notice_distributor.record_entries,
        )
        self._crashes = CrashMonitor(settings.vm, trio.current_time, links)
        own_member = self._own_member()
        paths = PathSharing(own_member, trio.current_time, links)
        self._connector = ServerConnector(
            paths, self._listed_addresses, lambda server: self._connections.close_idle(server)
        )
        self._tunnels = TunnelServer(
            lambda server: server in self._usable_addresses(),
            self._connector.connect_for_other_vm,
        )
        self._crash_checks = CrashChecks(
            self._crashes, self._directory, self._connector.connect, trio.current_time
        )
        self._updates = UpdateDistributor(
            self._configuration, self._servers, self._lease, eras, self._crashes, paths
        )
        quarantine_records = QuarantineRecords(
            log, adapters.topics.members, self._crashes, eras, lambda: self._election.is_leader
        )
        self._election = LeaderElection(
            own_member,
            log,
            eras,
            adapters.topics,
            self._dispatcher,
            self._scheduler,
            self._updates,
            quarantine_records,
            self._notice_distributor,
            evacuation_sharing,
            paths,
            self._tunnels,
            links,
            ConnectionLimit(settings.max_new_peers, busy_weight=0),
        )
        self._connections = ConnectionPool(
            BACKEND_CONNECT_TIMEOUT,
            self._connector.connect,
            self._connector.check,
            settings.max_idle_servers,
        )
        calls = ServerCalls(
            self._connections,
            adapters.headers,
            self._notices,
            self._evacuations,
            self._request_limits,
            self._notice_distributor.observe,
            self._dispatcher.report_limited_request,
        )
        self._inspector = EngineInspector(
            self._scheduler,
            calls,
            adapters.reports,
            lambda: self._election.is_leader,
        )
        self._routing_state = RoutingState(
            table=lambda: self._configuration.table,
            lease=self._lease,
            pending=self._configuration.pending,
            directory=self._directory,
            notices=self._notices,
            evacuations=self._evacuations,
            limits=self._request_limits,
            budget_settings=settings.budget,
            vm_count=lambda: self._election.member_count,
            crashes=self._crashes,
        )
        reports = RequestReports(self._routing_state, self._metrics)
        self._reservations = ReservationManager(calls, adapters.orders)
        sender = Sender(
            settings.vm,
            settings.zone,
            self._routing_state,
            self._dispatcher,
            self._connections,
            self._reservations,
            adapters.headers,
            self._notice_distributor.observe,
            reports,
            self._responses,
            self._crash_checks,
        )
        self._handler = RequestHandler(
            self._routing_state, Admission(self._routing_state), sender, adapters.headers, reports
        )
        self._register_gauges()

    async def run(self) -> None:
        """Runs until a stop signal was received and the graceful shutdown is complete."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._configuration.run)
                nursery.start_soon(self._servers.run)
                nursery.start_soon(self._election.run)
                nursery.start_soon(self._connector.run)
                nursery.start_soon(self._crash_checks.run)
                nursery.start_soon(self._inspector.run)
                nursery.start_soon(self._reservations.run)
                nursery.start_soon(self._run_periodic_tasks)
                nursery.start_soon(self._flush_log)
                nursery.start_soon(self._serve_readiness)
                nursery.start_soon(self._serve_metrics)
                nursery.start_soon(self._metrics.load_when_needed)
                nursery.start_soon(self._serve_callers)
                log_event("started", vm=self._settings.vm, callers=self._settings.callers)
                await self._wait_for_stop(signals)
                await self._drain()
                nursery.cancel_scope.cancel()
        log_event("stopped", vm=self._settings.vm, callers=len(self._callers))
        if self._log_output is not None:
            self._log_output.drain()

    @property
    def ready(self) -> bool:
        """Whether this VM accepts new connections."""
        return (
            not self._stopping
            and self._configuration.table is not None
            and bool(self._directory.servers)
            and self._lease.age(boot_time_clock()) < MAX_READY_CONFIGURATION_AGE
            and not self._routing_state.is_overdue()
        )

    def _listed_addresses(self) -> set[Address]:
        return {Address(item.host, item.port) for item in self._directory.servers.values()}

    def _usable_addresses(self) -> set[Address]:
        """Returns the addresses of the servers whose zones are not evacuated."""
        return {
            Address(item.host, item.port)
            for item in self._directory.servers.values()
            if not self._evacuations.is_evacuated(item)
        }

    def _evacuation_records(
        self, topics: LogTopics, sharing: EvacuationSharing
    ) -> Optional[EvacuationRecords]:
        """Returns the reader of evacuations; ``None`` if the deployment has none."""
        delay = self._settings.evacuation_delay
        if delay is None:
            return None
        return EvacuationRecords(
            topics.evacuation_key_prefix,
            delay,
            self._evacuations,
            lambda statements: sharing.handle(statements, "store"),
        )

    def _own_member(self) -> Member:
        peers = self._settings.peers
        capacity = self._settings.capacity
        return Member(
            self._settings.vm,
            self._started_ms,
            peers.host,
            peers.port,
            capacity,
            self._settings.zone,
            NEWER_KINDS,
        )

    def _register_gauges(self) -> None:
        gauge = self._metrics.gauge
        gauge("relay_ready", "1 while the VM accepts new connections.", lambda: self.ready)
        gauge("relay_callers", "Open connections from callers.", lambda: len(self._callers))
        gauge(
            "relay_unfinished_body_bytes",
            "Bytes held of request bodies whose end has not arrived.",
            lambda: self._bodies.unfinished_bytes,
        )
        gauge(
            "relay_complete_body_bytes",
            "Bytes of the bodies of requests in progress.",
            lambda: self._bodies.complete_bytes,
        )
        gauge(
            "relay_idle_callers",
            "Open connections from callers without a request.",
            lambda: self._caller_limit.idle_count,
        )
        gauge(
            "relay_receiving_callers",
            "Open connections from callers whose request has not arrived completely.",
            lambda: self._caller_limit.receiving_count,
        )
        gauge(
            "relay_callers_closed",
            "Connections from callers that were closed to make room for others.",
            lambda: self._caller_limit.closed_count,
        )
        gauge(
            "relay_response_bytes",
            "Bytes held of incomplete heads, buffered responses and unfinished events.",
            lambda: self._responses.unfinished_bytes + self._responses.complete_bytes,
        )
        gauge("relay_open_descriptors", "Open descriptors of the process.", open_descriptors)
        gauge("relay_members", "Known VMs, this one included.", lambda: self._election.member_count)
        gauge(
            "relay_followers_of_other_builds",
            "Followers that understand other kinds of messages than this VM.",
            lambda: self._election.other_build_count,
        )
        gauge(
            "relay_decides_alone",
            "1 while no other VM schedules engines for this one.",
            lambda: self._dispatcher.schedules_locally,
        )
        gauge(
            "relay_requests_placed",
            "Requests assigned to engines.",
            lambda: self._scheduler.request_counts[0],
        )
        gauge(
            "relay_requests_waiting",
            "Requests that wait for an engine.",
            lambda: self._scheduler.request_counts[1],
        )
        gauge(
            "relay_configuration_version",
            "Version of the active configuration; 0 before the first.",
            lambda: self._routing_state.version or 0,
        )
        gauge(
            "relay_configuration_age_seconds",
            "Time since the configuration was last confirmed to be current.",
            self._routing_state.configuration_age,
        )
        gauge(
            "relay_configuration_waiting_seconds",
            "Time since the VM learned of a version that is not in force yet; 0 without one.",
            self._configuration.waiting_time,
        )
        gauge(
            "relay_servers",
            "Backend servers in the directory.",
            lambda: len(self._directory.servers),
        )
        gauge(
            "relay_evacuated_zones",
            "Availability zones whose servers get no requests, by order of the operator.",
            lambda: len(self._evacuations.evacuated_zones),
        )
        gauge(
            "relay_quarantined_traits",
            "Traits of requests that are not sent, as servers crash on them.",
            lambda: len(self._crashes.quarantined_traits()),
        )
        gauge(
            "relay_limited_servers",
            "Servers that named how many requests per second they take.",
            lambda: self._request_limits.limited_count,
        )
        gauge(
            "relay_cold_servers",
            "Servers that are cold, and so slow and sensitive to load for some seconds.",
            lambda: len(self._request_limits.cold.ids(trio.current_time())),
        )
        gauge(
            "relay_lost_paths",
            "Servers that this VM reaches only through other VMs.",
            lambda: self._connector.lost_count,
        )
        gauge(
            "relay_cut_off",
            "1 while this VM presumably reaches no server by itself.",
            lambda: self._connector.is_cut_off,
        )
        gauge(
            "relay_tunnels",
            "Connections to servers that this VM holds for other VMs.",
            lambda: self._tunnels.count,
        )
        gauge("relay_resident_bytes", "Resident memory of the process.", resident_bytes)
        gauge(
            "relay_log_lines_left_out",
            "Log lines dropped by the rate limit or a full buffer.",
            self._dropped_log_lines,
        )

    def _dropped_log_lines(self) -> float:
        return 0 if self._log_output is None else self._log_output.dropped_lines

    async def _flush_log(self) -> None:
        while self._log_output is not None:
            self._log_output.drain()
            await trio.sleep(LOG_INTERVAL)

    async def _serve_metrics(self) -> None:
        address = self._settings.metrics
        await trio.serve_tcp(self._serve_metrics_connection, address.port, host=address.host)

    async def _serve_metrics_connection(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            lambda: METRICS_LIMITS,
            self._handle_metrics_request,
            lambda: True,
            connections=self._metrics_limit,
        )
        try:
            await connection.serve()
        except Exception as error:
            # A fault on one connection must not end the process.
            log_event("metrics_connection_failed", level=LogLevel.ERROR, error=repr(error))

    async def _handle_metrics_request(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        if request.target.partition(b"?")[0] != b"/metrics":
            await response.send_complete(404, [], b"")
            return
        await self._metrics.load_in_steps()
        content_type = (b"content-type", METRICS_CONTENT_TYPE.encode())
        await response.send_complete(200, [content_type], self._metrics.render())

    def _refresh_pools(self) -> None:
        table = self._configuration.table
        if table is not None:
            services = table.configuration.services.values()
            self._request_limits.cold.set_services(services)
            self._notice_distributor.record_listed(self._directory.servers.values())
            self._scheduler.set_services(services)
            servers = self._notices.apply_to(self._directory.servers.values())
            self._scheduler.set_servers(self._evacuations.apply_to(servers))

    def _configuration_changed(self) -> None:
        self._refresh_pools()
        self._updates.announce_configuration()

    def _servers_changed(self, changes: list[DirectoryChange]) -> None:
        self._refresh_pools()
        self._crash_checks.review_entries()
        self._updates.announce_servers(changes)

    def _limits(self) -> CallerLimits:
        table = self._configuration.table
        return CallerLimits() if table is None else table.configuration.limits

    async def _run_periodic_tasks(self) -> None:
        last_check = trio.current_time()
        while True:
            await trio.sleep(DECISION_INTERVAL)
            self._scheduler.decide()
            self._notice_distributor.log_warm_servers()
            if trio.current_time() - last_check > IDLE_CONNECTION_CHECK_INTERVAL:
                last_check = trio.current_time()
                self._connections.close_expired()
                self._notices.forget_unlisted(self._directory.servers, last_check)
                self._request_limits.forget_unlisted(self._directory.servers, last_check)

    async def _wait_for_stop(self, signals: AsyncIterator[int]) -> None:
        async for signal_number in signals:
            name = signal.Signals(signal_number).name
            log_event("signal", signal=name)
            if signal_number != signal.SIGHUP:
                return

    async def _drain(self) -> None:
        """Lets requests in flight finish; returns before the grace period ends.

        If most VMs of an availability zone stop at the same time, the load balancer keeps sending
        callers here. New connections are therefore refused once it has had time to remove this VM,
        and, a little earlier, requests that may not end in time.
        """
        self._stopping = True
        self._tunnels.stop()
        signalled_at = trio.current_time()
        schedule = stop_schedule(self._settings.shutdown_grace_period)
        exit_at = signalled_at + schedule.exit
        await trio.sleep_until(signalled_at + schedule.late_refusal)
        self._handler.refuse_late(exit_at)
        await trio.sleep_until(signalled_at + schedule.deregistration)
        self._accept_scope.cancel()
        await self._wait_for_callers(signalled_at + schedule.last_refusal)
        self._handler.refuse_unstarted()
        # The last refusals are written even if the VM woke up late.
        await self._wait_for_callers(max(exit_at, trio.current_time() + REFUSAL_TIME))
        self._handler.record_exit(signalled_at)

    async def _wait_for_callers(self, until: float) -> None:
        """Closes idle connections until a time, or until no caller and no tunnel is left."""
        while (self._callers or self._tunnels.count) and trio.current_time() < until:
            self._close_idle_callers()
            await trio.sleep(min(DECISION_INTERVAL, max(0.0, until - trio.current_time())))

    def _close_idle_callers(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()

    async def _serve_callers(self) -> None:
        listeners = await self._open_caller_listeners()
        async with trio.open_nursery() as connections:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve_caller, listeners, handler_nursery=connections
                )

    async def _open_caller_listeners(self) -> list[trio.SocketListener]:
        if self._caller_socket is not None:
            return [trio.SocketListener(trio.socket.from_stdlib_socket(self._caller_socket))]
        address = self._settings.callers
        return await trio.open_tcp_listeners(address.port, host=address.host)

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        caller = CallerConnection(
            stream,
            self._limits,
            self._handler.handle,
            lambda: self._stopping,
            self._bodies,
            self._caller_limit,
            self._caller_turns,
        )
        self._callers.add(caller)
        try:
            await caller.serve()
        except Exception as error:
            self._log_failed_connection(caller.current_request, error)
        finally:
            self._callers.discard(caller)

    def _log_failed_connection(self, request: Optional[CallerRequest], error: Exception) -> None:
        log_event(
            "caller_connection_failed",
            level=LogLevel.ERROR,
            method=None if request is None else request.method.decode("latin-1"),
            target=None if request is None else request.target.decode("latin-1"),
            chunked=None if request is None else request.is_chunked,
            body_bytes=None if request is None else len(request.body),
            error=repr(error),
        )

    async def _serve_readiness(self) -> None:
        address = self._settings.readiness
        await trio.serve_tcp(self._serve_readiness_request, address.port, host=address.host)

    async def _serve_readiness_request(self, stream: trio.SocketStream) -> None:
        with trio.move_on_after(READINESS_REQUEST_TIMEOUT) as scope:
            connection = self._readiness_limit.add(close=scope.cancel)
            try:
                request_head = b""
                while b"\r\n\r\n" not in request_head:
                    data = await stream.receive_some(READ_SIZE)
                    if not data or len(request_head) > MAX_READINESS_REQUEST_BYTES:
                        return
                    request_head += data
                status = b"200 OK" if self.ready else b"503 Service Unavailable"
                await stream.send_all(
                    b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            finally:
                connection.remove()


def run_relay(
    settings: RelaySettings, adapters: Adapters, caller_socket: Optional[socket.socket] = None
) -> None:
    """Runs a relay until a stop signal; logs go to standard output.

    Args:
        settings: Settings of this VM.
        adapters: Formats and store of the deployment.
        caller_socket: Listens for callers already; without it, the relay opens a socket.

    """
    log_output = configure_bounded_logging(LogLevel.INFO.value, sys.stdout.fileno())
    try:
        trio.run(RelayProcess(settings, adapters, log_output, caller_socket).run)
    finally:
        log_output.drain()
