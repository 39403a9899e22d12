"""Runs a relay with scripted backend servers on loopback sockets, for tests."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Optional

import h11
import testtools
import trio

from camphordrift.relay import Configuration, RelayProcess
from camphordrift.relay.scheduling._placement_values import (
    Grant,
    PlacementDecision,
    PlacementRequest,
)
from camphordrift.relay.store._configuration_lease import boot_time_clock
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    TOPICS,
    InMemoryLog,
    SampleDocuments,
    ScriptedServer,
    adapters,
    attempt_id_of,
    server,
    settings,
)
from camphordrift.testing import HttpRequest, HttpRequestHandler, process_loopback_network

#: Timeout of a test in seconds.
TEST_TIMEOUT = 20.0


@dataclass
class CallerResponse:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    #: Whether the response ended regularly.
    complete: bool


class RelayHarness:
    """A running relay, with methods to configure it and to act as its caller."""

    def __init__(
        self,
        log: InMemoryLog,
        documents: SampleDocuments,
        number: int = 1,
        cores: float = 1.0,
        caller_socket: Optional[socket.socket] = None,
    ) -> None:
        self.log = log
        self.documents = documents
        self.host = f"{process_loopback_network()}.{number}"
        self.port, readiness_port, peers_port, self.metrics_port = free_ports(self.host)
        if caller_socket is not None:
            self.host, self.port = caller_socket.getsockname()
        vm = settings(number, 0)
        vm = replace(
            vm,
            callers=replace(vm.callers, port=self.port),
            readiness=replace(vm.readiness, port=readiness_port),
            peers=replace(vm.peers, port=peers_port),
            metrics=replace(vm.metrics, port=self.metrics_port),
            cores=cores,
        )
        self.process = RelayProcess(vm, adapters(log, documents), caller_socket=caller_socket)

    @property
    def leader(self) -> str:
        """Id of the VM that schedules for this one."""
        return self.process._election.leader

    def publish(self, configuration: Configuration) -> None:
        """Appends a configuration to the log."""
        self.log.put(
            TOPICS.configuration, TOPICS.configuration_key, self.documents.write(configuration)
        )

    def register_server(self, server: ScriptedServer) -> None:
        """Adds a server to the directory."""
        self.log.put(TOPICS.servers, server.entry.id, self.documents.write(server.entry))

    def evacuate(self, zone: str) -> None:
        """Appends the record that evacuates a zone."""
        self.log.put(TOPICS.configuration, TOPICS.evacuation_key_prefix + zone, b"{}")

    def take_back(self, zone: str) -> None:
        """Appends the removal of the record that evacuates a zone."""
        self.log.put(TOPICS.configuration, TOPICS.evacuation_key_prefix + zone, None)

    async def wait_for_evacuated(self, *zones: str) -> None:
        """Waits until exactly these zones are evacuated, as far as the VM knows."""
        while self.process._evacuations.evacuated_zones != set(zones):
            await trio.sleep(0.01)

    async def connect(self) -> trio.SocketStream:
        """Opens a connection as a caller."""
        return await trio.open_tcp_stream(self.host, self.port)

    async def send_request(
        self, path: str, attempt: str = "a1", body: bytes = b"", **headers: str
    ) -> CallerResponse:
        """Sends a request on a new connection and returns the response."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(request_bytes(path, attempt, body, **headers))
            return await read_response(stream)

    async def metrics_page(self) -> str:
        """Returns the text of the metrics page."""
        stream = await trio.open_tcp_stream(self.host, self.metrics_port)
        async with stream:
            await stream.send_all(b"GET /metrics HTTP/1.1\r\nhost: vm\r\n\r\n")
            return (await read_response(stream)).body.decode()

    async def wait_for_version(self, version: int) -> None:
        """Waits until a version of the configuration is active."""
        while (self.process._routing_state.version or 0) < version:
            await trio.sleep(0.01)

    async def wait_until_confirmed(self) -> None:
        """Waits until the store confirms the configuration, as it does not just after a restore."""
        started_at = boot_time_clock()
        while self.process._lease.age(boot_time_clock()) > boot_time_clock() - started_at:
            await trio.sleep(0.01)

    async def wait_until_ready(self) -> None:
        """Waits until the relay accepts connections."""
        while not self.process.ready:
            await trio.sleep(0.01)


def request_bytes(path: str, attempt: str = "a1", body: bytes = b"", **headers: str) -> bytes:
    """Returns the bytes of a caller's request; ``headers`` override the defaults."""
    lines = {
        "host": "a.example",
        "x-attempt": attempt,
        "x-key": "key-1",
        "x-patience": "10",
        "x-tokens": "5000",
        "content-length": str(len(body)),
    }
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def read_response(stream: trio.SocketStream) -> CallerResponse:
    """Reads a response, complete or truncated."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    protocol.send(h11.EndOfMessage())
    head: Optional[h11.Response] = None
    body = b""
    while True:
        try:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(65536))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            event = h11.ConnectionClosed()
        match event:
            case h11.Response():
                head = event
            case h11.Data():
                body += event.data
            case _:
                status = 0 if head is None else head.status_code
                headers = {} if head is None else {k.decode(): v.decode() for k, v in head.headers}
                return CallerResponse(status, headers, body, isinstance(event, h11.EndOfMessage))


@asynccontextmanager
async def open_relay(
    servers: Sequence[ScriptedServer], configuration: Configuration = CONFIGURATION
) -> AsyncIterator[RelayHarness]:
    """Runs a relay with its servers for the duration of the block."""
    relay = RelayHarness(InMemoryLog(), SampleDocuments())
    with trio.fail_after(TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            for server in servers:
                await nursery.start(server.run)
                relay.register_server(server)
            relay.publish(configuration)
            nursery.start_soon(relay.process.run)
            await relay.wait_until_ready()
            yield relay
            nursery.cancel_scope.cancel()


class RelayFleet:
    """Several relays of one deployment; the first one that starts is the leader."""

    def __init__(self, nursery: trio.Nursery, servers: list[ScriptedServer]) -> None:
        self.servers = servers
        self._nursery = nursery
        self._log, self._documents = InMemoryLog(), SampleDocuments()
        self._count = 0

    async def start(self, cores: float = 1.0) -> RelayHarness:
        """Starts a relay, which registers the servers, and waits until it is ready."""
        self._count += 1
        relay = RelayHarness(self._log, self._documents, self._count, cores)
        if self._count == 1:
            for item in self.servers:
                relay.register_server(item)
            relay.publish(CONFIGURATION)
        self._nursery.start_soon(relay.process.run)
        await relay.wait_until_ready()
        return relay

    async def start_all(self, count: int) -> list[RelayHarness]:
        """Starts relays and waits until all of them have the first one as their leader."""
        relays = [await self.start() for _ in range(count)]
        while any(relay.leader != "vm-1" for relay in relays):
            await trio.sleep(0.01)
        return relays


def free_ports(host: str) -> list[int]:
    """Returns four free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(4)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def events(first: int, last: int) -> bytes:
    """Returns the bytes of the events with ids ``first`` to ``last``."""
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(first, last + 1))


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(request: HttpRequest, signed: bool = True) -> bytes:
    """Returns the status line and headers of a streamed response."""
    signature = b"x-signature: s\r\n" if signed else b""
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        + signature
        + f"x-attempt: {attempt_id_of(request)}\r\n\r\n".encode()
    )


def plain_response(request: HttpRequest, status: str = "200 OK", body: bytes = b"done") -> bytes:
    """Returns the bytes of a complete response that is no stream."""
    head = f"HTTP/1.1 {status}\r\nx-signature: s\r\nx-attempt: {attempt_id_of(request)}\r\n"
    return head.encode() + b"content-length: %d\r\n\r\n" % len(body) + body


async def complete_stream(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Responds with the events up to 5 that follow the caller's last event."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    await stream.send_all(stream_head(request) + chunk(events(first, 5)) + b"0\r\n\r\n")
    return True


async def plain_success(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Responds with a complete response that is no stream."""
    await stream.send_all(plain_response(request))
    return True


async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Responds with the first three events of a stream and closes the connection."""
    await stream.send_all(stream_head(request) + chunk(events(1, 3)))
    return False


async def rejects_request(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Responds that the request was not executed."""
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        f"x-not-run: 1\r\nx-attempt: {attempt_id_of(request)}\r\n"
    )
    await stream.send_all(head.encode() + b"content-length: 0\r\n\r\n")
    return True


def record_grants(case: testtools.TestCase, relay: RelayHarness) -> list[Grant]:
    """Returns a list to which the engines granted to a VM's requests are added."""
    grants: list[Grant] = []
    dispatcher = relay.process._dispatcher
    request_placement = dispatcher.request_placement

    async def record(placement_request: PlacementRequest) -> PlacementDecision:
        decision = await request_placement(placement_request)
        if isinstance(decision, Grant):
            grants.append(decision)
        return decision

    case.patch(dispatcher, "request_placement", record)
    return grants


Scenario = Callable[[RelayHarness, list[ScriptedServer]], Awaitable[None]]


def run_scenario(
    scenario: Scenario, *scripts: HttpRequestHandler, service: str = "engines"
) -> None:
    """Runs a scenario on a relay with one server for each script."""

    async def main() -> None:
        servers = [
            ScriptedServer(server(number, service, port=0), script)
            for number, script in enumerate(scripts)
        ]
        async with open_relay(servers) as relay:
            await scenario(relay, servers)

    trio.run(main)


FleetScenario = Callable[[RelayFleet], Awaitable[None]]


def run_fleet_scenario(
    scenario: FleetScenario, *scripts: HttpRequestHandler, service: str = "engines"
) -> None:
    """Runs a scenario on several relays with one server for each script."""

    async def main() -> None:
        servers = [
            ScriptedServer(server(number, service, port=0), script)
            for number, script in enumerate(scripts)
        ]
        with trio.fail_after(TEST_TIMEOUT):
            async with trio.open_nursery() as nursery:
                for item in servers:
                    await nursery.start(item.run)
                await scenario(RelayFleet(nursery, servers))
                nursery.cancel_scope.cancel()

    trio.run(main)


def first_then(first: HttpRequestHandler, then: HttpRequestHandler) -> HttpRequestHandler:
    """Returns a script that runs ``first`` for the first request and ``then`` for all others.

    Servers that share the script share the count.
    """
    answered = []

    async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
        answered.append(request)
        return await (first if len(answered) == 1 else then)(request, stream)

    return script
