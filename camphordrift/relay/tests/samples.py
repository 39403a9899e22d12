"""Sample values and test doubles for the relay's tests."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Optional

import trio

from camphordrift.relay import (
    Account,
    Adapters,
    Address,
    BackendServer,
    Batch,
    Configuration,
    EngineCosts,
    EngineReport,
    ForwardingMetadata,
    Headers,
    HistoryLostError,
    KeyedRecord,
    LogTopics,
    RelaySettings,
    RequestMetadata,
    Reservation,
    ResponseMetadata,
    RetryBudgetSettings,
    Route,
    RunRule,
    ServerState,
    Service,
    ServiceShare,
    StoreError,
)
from camphordrift.relay.connections._connection_pool import ConnectionPool
from camphordrift.relay.peers._notice_distribution import NoticeDistributor
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.requests._server_calls import ServerCalls
from camphordrift.relay.scheduling._placement_values import PlacementRequest
from camphordrift.relay.scheduling._request_limits import RequestLimits
from camphordrift.relay.servers._server_notices import ServerNotices
from camphordrift.relay.servers._zone_evacuations import ZoneEvacuations
from camphordrift.testing import (
    HttpRequest,
    HttpRequestHandler,
    handle_requests,
    process_loopback_network,
)

#: Engines of the current deployments, from the service documents of both sites.
COSTS = EngineCosts(
    slots=8,
    memory_tokens=315_000,
    decode_steps_per_iteration=51,
    decode_step_time=0.00085,
    decode_step_time_per_request=0.0000085,
    decode_step_time_per_context_token=2.85e-9,
    prefill_time_per_token=1 / 177_000,
    prefill_time_per_token_pair=0.184e-9,
)

TOPICS = LogTopics("operators", "configuration", "servers", "members")

STREAM = Route(
    name="quick",
    host="a.example",
    path_prefix="/quick/",
    shares=(ServiceShare("engines", 1.0),),
    run_rule=RunRule.ONCE,
    streams=True,
    resumable=True,
    timeout=10.0,
    latency_objective=0.3,
    event_gap_objective=0.25,
    max_attempts=2,
    priority=1,
    allows_anonymous=False,
)

ONCE = replace(
    STREAM,
    name="book",
    path_prefix="/book/",
    shares=(ServiceShare("office", 1.0),),
    streams=False,
    resumable=False,
    timeout=2.0,
    max_attempts=1,
)

REPEATABLE = replace(ONCE, name="look", path_prefix="/look/", run_rule=RunRule.REPEATABLE)
REPEATABLE = replace(REPEATABLE, max_attempts=2)

CONFIGURATION = Configuration(
    version=3,
    routes=(STREAM, ONCE, REPEATABLE),
    services={
        "engines": Service("engines", 264, COSTS),
        "office": Service("office", 100, None),
    },
    accounts={"key-1": Account("school", None)},
)


def server(number: int, service: str = "engines", port: int = 1) -> BackendServer:
    """Returns the directory entry of a server that accepts requests."""
    return BackendServer(
        id=f"{service}-{number}",
        service=service,
        host=f"{process_loopback_network()}.{100 + number}",
        port=port,
        zone="z1",
        slots=8,
        state=ServerState.READY,
    )


def placement_request(
    ask_id: str, prompt_tokens: int = 5000, **changes: object
) -> PlacementRequest:
    """Returns a placement request with the usual targets for a prompt of this length."""
    if prompt_tokens < 25_000:
        objective, pause = 0.3, 0.25
    elif prompt_tokens < 120_000:
        objective, pause = 1.5, 0.6
    else:
        objective, pause = 3.0, 1.0
    sample = PlacementRequest(
        id=ask_id,
        service="engines",
        zone="z1",
        prompt_tokens=prompt_tokens,
        answer_tokens=1000,
        objective=objective,
        pause=pause,
        time_left=10.0,
        priority=1,
    )
    return replace(sample, **changes)  # type: ignore[arg-type]


class InMemoryLog:
    """Implements :class:`KeyedLog` in memory; can be restored from an older copy.

    Args:
        latency: Seconds that each call takes.

    """

    def __init__(self, latency: float = 0.0) -> None:
        self._records: dict[str, list[KeyedRecord]] = {}
        self._changed = trio.Event()
        self._latency = latency
        #: Whether all calls raise StoreError.
        self.is_down = False
        #: Number of times that the log was restored from an older copy, plus one.
        self.era = 1
        #: Number of calls of each operation, by its name.
        self.calls: Counter[str] = Counter()

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key."""
        await self._start_call("newest")
        newest = {record.key: record for record in self._records.get(topic, [])}
        kept = tuple(record for record in newest.values() if record.value is not None)
        return Batch(kept, len(self._records.get(topic, [])), era=self.era)

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records starting at ``offset``."""
        await self._start_call("read")
        era = self.era
        if offset > len(self._records.get(topic, [])):
            raise HistoryLostError(topic, self.era)
        with trio.move_on_after(wait):
            while len(self._records.get(topic, [])) <= offset and self.era == era:
                await self._changed.wait()
        await self._check()
        if self.era != era:
            raise StoreError("the connection broke")
        records = tuple(self._records.get(topic, [])[offset:])
        return Batch(records, offset + len(records), era=self.era)

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Appends a record."""
        await self._start_call("append")
        self.put(topic, record.key, record.value)
        return self.era

    def put(self, topic: str, key: str, value: Optional[bytes]) -> None:
        """Appends a record without a checkpoint, also while the log is down."""
        records = self._records.setdefault(topic, [])
        records.append(KeyedRecord(key, value, len(records)))
        self._signal_change()

    def keys(self, topic: str) -> set[str]:
        """Returns the keys of a topic's records."""
        return {record.key for record in self._records.get(topic, [])}

    def copy(self) -> dict[str, list[KeyedRecord]]:
        """Returns a copy of all records."""
        return {topic: list(records) for topic, records in self._records.items()}

    def restore(self, copy: dict[str, list[KeyedRecord]]) -> None:
        """Replaces all records by those of an older copy; calls in progress fail."""
        self._records = {topic: list(records) for topic, records in copy.items()}
        self.era += 1
        self._signal_change()

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _start_call(self, operation: str) -> None:
        self.calls[operation] += 1
        await trio.sleep(self._latency)
        await self._check()

    async def _check(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise StoreError("down")


class SampleDocuments:
    """Implements :class:`DocumentFormat`; a document is the index of a stored value."""

    def __init__(self) -> None:
        self._values: list[object] = []

    def write(self, value: object) -> bytes:
        """Stores ``value`` and returns its document."""
        self._values.append(value)
        return str(len(self._values) - 1).encode()

    def configuration(self, document: bytes) -> Configuration:
        """Returns the configuration of a document."""
        value = self._values[int(document)]
        assert isinstance(value, Configuration)
        return value

    def configuration_version(self, document: bytes) -> int:
        """Returns the version of a document's configuration."""
        value = self._values[int(document)]
        assert isinstance(value, Configuration)
        return value.version

    def server(self, server_id: str, document: bytes) -> BackendServer:
        """Returns the server entry of a document."""
        value = self._values[int(document)]
        if not isinstance(value, BackendServer):
            raise ValueError("not a server")
        return value


class SampleHeaders:
    """Implements :class:`HeaderFormat` with ``x-`` headers."""

    def request_metadata(self, headers: Headers) -> RequestMetadata:
        """Parses the headers of a caller's request."""
        found = {name: value.decode() for name, value in headers}
        return RequestMetadata(
            attempt_id=found.get(b"x-attempt", ""),
            caller_timeout=float(found[b"x-patience"]) if b"x-patience" in found else None,
            key=found.get(b"x-key"),
            prompt_tokens=int(found.get(b"x-tokens", "0")),
            max_output_tokens=100,
            last_event_id=found.get(b"last-event-id"),
            prompt_parts=tuple(found.get(b"x-parts", "").split()),
        )

    def response_metadata(self, headers: Headers) -> ResponseMetadata:
        """Parses the headers of a backend server's response."""
        found = {name: value.decode() for name, value in headers}
        return ResponseMetadata(
            attempt_id=found.get(b"x-attempt"),
            signed=b"x-signature" in found,
            not_run=b"x-not-run" in found,
            server_at_fault=found.get(b"x-at-fault"),
            leaving=b"x-leaving" in found,
            retry_after=float(found[b"retry-after"]) if b"retry-after" in found else None,
            request_limit=float(found[b"x-limit"]) if b"x-limit" in found else None,
            cold_left=float(found[b"x-cold"]) if b"x-cold" in found else None,
        )

    def outgoing_headers(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a caller's request in the form to forward to a server."""
        hop_by_hop = (b"connection", b"transfer-encoding", b"trailer", b"expect")
        removed = (b"x-key", b"last-event-id", *hop_by_hop)
        sent = [(name, value) for name, value in headers if name not in removed]
        sent.append((b"x-server", metadata.server_id.encode()))
        sent.append((b"x-time-left", str(metadata.remaining_time).encode()))
        sent.append((b"x-account", (metadata.account or "").encode()))
        if metadata.last_event_id is not None:
            sent.append((b"last-event-id", metadata.last_event_id.encode()))
        return sent


class SampleReports:
    """Implements :class:`ReportFormat`; a report is two numbers."""

    path = b"/report"

    def parse(self, content: bytes) -> EngineReport:
        """Parses a report."""
        running, waiting = content.split()
        return EngineReport(int(running), int(waiting))


class SampleOrders:
    """Implements :class:`OrderFormat` with plain text."""

    path = b"/order"
    content_type = b"text/plain"

    def reserve(self, reservation: Reservation) -> bytes:
        """Returns the body of an order that reserves memory."""
        return f"reserve {reservation.id} {reservation.tokens}".encode()

    def release(self, reservation_id: str) -> bytes:
        """Returns the body of an order that releases a reservation."""
        return f"release {reservation_id}".encode()


def server_calls(notices: Optional[ServerNotices] = None) -> ServerCalls:
    """Returns the calls of a VM without leader and followers."""
    notices = ServerNotices() if notices is None else notices
    limits = RequestLimits(lambda: 1.0)
    distributor = NoticeDistributor(
        notices, limits, trio.current_time, lambda: None, lambda service, pause: None, PeerLinks()
    )
    return ServerCalls(
        ConnectionPool(0.5),
        SampleHeaders(),
        notices,
        ZoneEvacuations(),
        limits,
        distributor.observe,
        lambda server_id: None,
    )


def attempt_id_of(request: HttpRequest) -> str:
    """Returns the attempt id of a request that a server received."""
    return request.headers.get("x-attempt", "")


class ScriptedServer:
    """A backend server whose script writes the bytes of each response.

    The script returns whether the connection stays open.
    """

    def __init__(self, entry: BackendServer, script: HttpRequestHandler) -> None:
        self.entry = entry
        self.script = script
        #: Requests of callers, without the reports that the relay requested.
        self.requests: list[HttpRequest] = []
        self.connections = 0
        self.report = b"0 0"
        self.report_status = b"200 OK"
        self.report_count = 0
        #: Lines that the response to a report has besides its length.
        self.report_headers = b""
        self._listening = trio.CancelScope()
        self._down = (0.0, lambda: None)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as connections:
            await self._listen(connections, task_status.started)
            while True:
                seconds, on_restart = self._down
                await trio.sleep(seconds)
                await self._listen(connections, on_restart)

    def refuse_connections(self, seconds: float, on_restart: Callable[[], None]) -> None:
        """Stops listening for some seconds.

        Args:
            seconds: Seconds for which connections are refused; open ones are left alone.
            on_restart: Called when the server listens again.

        """
        self._down = seconds, on_restart
        self._listening.cancel()

    async def _listen(self, connections: trio.Nursery, on_listening: Callable[[], None]) -> None:
        """Accepts connections until they are to be refused."""
        listeners = await trio.open_tcp_listeners(self.entry.port, host=self.entry.host)
        self.entry = replace(self.entry, port=listeners[0].socket.getsockname()[1])
        on_listening()
        with trio.CancelScope() as self._listening:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=connections)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1

        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.target.encode() == SampleReports.path:
                self.report_count += 1
                head = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n"
                head = head % (self.report_status, len(self.report)) + self.report_headers
                await stream.send_all(head + b"\r\n" + self.report)
                return True
            self.requests.append(request)
            return await self.script(request, stream)

        await handle_requests(stream, answer)


def settings(number: int, ports: int) -> RelaySettings:
    """Returns the settings of a VM, on loopback addresses of this test process."""
    host = f"{process_loopback_network()}.{number}"
    return RelaySettings(
        vm=f"vm-{number}",
        zone="z1",
        callers=Address(host, ports),
        readiness=Address(host, ports + 1),
        peers=Address(host, ports + 2),
        metrics=Address(host, ports + 3),
        store=Address(host, ports + 4),
        shutdown_grace_period=8.0,
        key_revocation_delay=5.0,
        configuration_apply_delay=2.0,
        budget=RetryBudgetSettings(0.2, 100.0, 10.0),
        evacuation_delay=5.0,
    )


def adapters(log: InMemoryLog, documents: SampleDocuments) -> Adapters:
    """Returns adapters that use the sample formats and the given log."""
    return Adapters(
        headers=SampleHeaders(),
        documents=documents,
        orders=SampleOrders(),
        reports=SampleReports(),
        log=log,
        topics=TOPICS,
    )
