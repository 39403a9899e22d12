"""Tests of a VM's process beside crowds of callers that do not behave.

They run one relay as a real process, with a store and backend servers in the test. They check only
what does not depend on the machine's speed.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import testtools
import trio

from camphordrift.platform._caller_socket import SETTINGS_PATH_VARIABLE
from camphordrift.platform.soak._store import SoakStore
from camphordrift.relay.peers import Member
from camphordrift.relay.peers._message_link import _encode as encode_message
from camphordrift.testing import HttpRequest, process_loopback_network, serve_requests

pytestmark = pytest.mark.crowds

#: Memory of the VM in megabytes, as of the smallest VMs.
MEMORY_MB = 160

#: Descriptors of the VM, of one whose descriptors are scarce, and of one with many for its memory.
MAX_DESCRIPTORS, FEW_DESCRIPTORS, MANY_DESCRIPTORS = 4100, 264, 8192

#: Largest legal body in bytes.
MAX_BODY_BYTES = 4194304

#: Number of callers whose bodies do not fit into the VM's memory all at once.
CROWD = 64

#: Number of callers that exceed a VM's few descriptors.
MANY_CONNECTIONS = 400

#: Number of callers with a large unfinished head for each one with a large unfinished body.
HEADS_PER_BODY = 60

#: Number of requests that occupy all connections of a VM with few descriptors, and of connections
#: of others that introduce themselves as VMs.
WAITING_REQUESTS, INTRODUCED_VMS = 30, 16

#: Bytes that are sent of a body far over the limit.
ENDLESS_BYTES = 2 * MAX_BODY_BYTES

#: Bytes of a chunk's size line that never ends; as many callers send one.
ENDLESS_LINE_BYTES, ENDLESS_LINES = 900_000, 160

#: Seconds after which a test fails whose VM hangs.
HANG_TIMEOUT = 120.0

#: Seconds between two counts of the descriptors.
COUNT_INTERVAL = 0.02

CHUNKED = "transfer-encoding: chunked"

Caller = Callable[["VmProcess"], Awaitable[None]]


class VmProcess:
    """A relay process, which is ended with :meth:`kill`."""

    def __init__(self, directory: Path, max_descriptors: int) -> None:
        network = process_loopback_network()
        self.host = f"{network}.10"
        self.store_host, self.server_host = f"{network}.1", f"{network}.100"
        #: Ports for callers, readiness, other VMs and metrics.
        self.callers, self.readiness, self.peers, self.metrics = 8001, 8002, 8010, 9464
        self.max_descriptors = max_descriptors
        #: Largest number of descriptors that was counted.
        self.peak_descriptors = 0
        self._directory = directory
        self._open_streams: list[trio.SocketStream] = []
        (directory / "settings.json").write_text(json.dumps(self._settings()), encoding="utf-8")
        with (directory / "output").open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "camphordrift.platform"],
                env={**os.environ, SETTINGS_PATH_VARIABLE: str(directory / "settings.json")},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def _settings(self) -> dict[str, object]:
        return {
            "NodeName": "vm-1",
            "Ip": self.host,
            "Zone": "z0",
            "Listen": {
                "Front": f"{self.host}:{self.callers}",
                "ReadinessAddr": f"{self.host}:{self.readiness}",
            },
            "PortRange": [self.peers, self.peers + 10],
            "Platform": {"Address": f"{self.store_host}:8100"},
            "Limits": {"MemoryMb": MEMORY_MB, "MaxFds": self.max_descriptors},
        }

    @property
    def peak_memory(self) -> int:
        """Largest resident memory so far, in bytes; 0 if the process has ended."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        lines = dict(line.split(":", 1) for line in status.splitlines())
        return int(lines.get("VmHWM", "0 kB").split()[0]) * 1024

    @property
    def output(self) -> str:
        """What the process wrote."""
        return (self._directory / "output").read_text(encoding="utf-8", errors="replace")

    def kill(self) -> None:
        """Ends the process, and closes what :meth:`send_and_stay` leaves open."""
        for stream in self._open_streams:
            stream.socket.close()
        self.process.kill()
        self.process.wait()

    async def count_descriptors(self) -> None:
        """Counts the descriptors again and again until cancelled."""
        while self.process.poll() is None:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.peak_descriptors = max(self.peak_descriptors, count)
            await trio.sleep(COUNT_INTERVAL)

    async def wait_until_ready(self) -> None:
        """Waits until the load balancer would send callers here."""
        request = b"GET /v1/readyz HTTP/1.1\r\nhost: vm\r\n\r\n"
        while b" 200 " not in await self.send(self.readiness, request):
            await trio.sleep(0.05)

    async def send_ordinary_request(self) -> bytes:
        """Sends a small request, and returns the response."""
        return await self.send(self.callers, request_head("/office/", "content-length: 2") + b"hi")

    async def send(self, port: int, request: bytes) -> bytes:
        """Sends a request over a new connection; returns the response, or a part of it."""
        received = b""
        try:
            async with await trio.open_tcp_stream(self.host, port) as stream:
                await stream.send_all(request)
                while b"\r\n\r\n" not in received:
                    data = await stream.receive_some()
                    if not data:
                        break
                    received += data
        except (OSError, trio.BrokenResourceError):
            return received
        return received

    async def send_and_stay(self, *pieces: bytes, port: int = 0) -> None:
        """Sends pieces over one connection until the VM closes it; leaves it open."""
        try:
            stream = await trio.open_tcp_stream(self.host, port or self.callers)
            self._open_streams.append(stream)
            for piece in pieces:
                await stream.send_all(piece)
        except (OSError, trio.BrokenResourceError):
            return

    async def wait_until_read(self) -> None:
        """Waits until the VM has accepted all connections and read all that callers sent."""
        while _unread(self.host):
            await trio.sleep(COUNT_INTERVAL)


def _unread(host: str) -> int:
    """Returns the number of bytes and connections that wait for the process at an address."""
    address = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    fields = [line.split() for line in lines]
    queues = [item[4] for item in fields if int(item[1].partition(":")[0], 16) == address]
    return sum(int(queue.partition(":")[2], 16) for queue in queues)


def request_head(path: str, *lines: str) -> bytes:
    """Returns the request line and headers of a request."""
    head = [
        f"POST {path} HTTP/1.1",
        "host: crowd.example",
        "camphordrift-credential: k1",
        "camphordrift-attempt-id: a1",
        "camphordrift-deadline-ms: 60000",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def repeated(piece: bytes, total: int) -> list[bytes]:
    """Returns a piece as often as it fits into a number of bytes."""
    return [piece] * (total // len(piece))


async def serve_office(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Answers at once."""
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\ncamphordrift-engine-signature: s\r\ncontent-length: 2\r\n"
        b"camphordrift-attempt-id: a1\r\n\r\nok"
    )
    return True


async def serve_bulk(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Never answers."""
    await trio.sleep_forever()
    return False


def publish(store: SoakStore, server_host: str) -> None:
    """Writes a configuration with two services, and a server for each."""
    names = {"office": 8101, "bulk": 8102}
    routes = [
        {
            "Name": name,
            "Host": "crowd.example",
            "PathPrefix": f"/{name}/",
            "Kind": "non_idempotent",
            "TimeoutMs": 60_000,
            "SloMs": 500,
            "Service": name,
            "MaxAttempts": 1,
        }
        for name in names
    ]
    configuration = {
        "Version": 1,
        "Routes": routes,
        "Limits": {"HeaderTimeoutMs": 600_000, "IdleTimeoutMs": 600_000},
        "Services": [{"Name": name} for name in names],
        "Tenants": [{"Name": "school", "ApiKeys": ["k1"]}],
    }
    store.put("keyed.op", "config", configuration)
    for name, port in names.items():
        entry = {
            "Service": name,
            "Address": f"{server_host}:{port}",
            "Zone": "z0",
            "Slots": 1000,
            "State": "ready",
            "born": 1,
        }
        store.put("keyed.servers", name, entry)


@asynccontextmanager
async def open_vm(max_descriptors: int) -> AsyncIterator[VmProcess]:
    """Runs a VM's process for the duration of the block."""
    with tempfile.TemporaryDirectory() as directory:
        vm = VmProcess(Path(directory), max_descriptors)
        try:
            store = SoakStore(vm.store_host, 8100)
            async with trio.open_nursery() as nursery:
                await nursery.start(store.run)
                await nursery.start(serve_requests, vm.server_host, 8101, serve_office)
                await nursery.start(serve_requests, vm.server_host, 8102, serve_bulk)
                publish(store, vm.server_host)
                await vm.wait_until_ready()
                nursery.start_soon(vm.count_descriptors)
                yield vm
                nursery.cancel_scope.cancel()
        finally:
            vm.kill()


class CrowdTest(testtools.TestCase):
    """Guards against callers that end a VM's process or keep it from serving others."""

    def run_crowd(
        self, caller: Caller, count: int = CROWD, max_descriptors: int = MAX_DESCRIPTORS
    ) -> None:
        """Runs a crowd until each caller has sent its part or was closed, and checks the VM."""

        async def main() -> None:
            with trio.fail_after(HANG_TIMEOUT):
                async with open_vm(max_descriptors) as vm:
                    async with trio.open_nursery() as crowd:
                        for _ in range(count):
                            crowd.start_soon(caller, vm)
                    await vm.wait_until_read()
                    answer = await vm.send_ordinary_request()
                    self.check(vm, answer)

        trio.run(main)

    def check(self, vm: VmProcess, answer: bytes) -> None:
        self.assertIs(None, vm.process.poll(), vm.output[-2000:])
        self.assertThat(
            vm.peak_memory, testtools.matchers.LessThan(MEMORY_MB * 1_000_000), "peak memory"
        )
        self.assertThat(
            vm.peak_descriptors, testtools.matchers.LessThan(vm.max_descriptors), "descriptors"
        )
        self.assertEqual(b"HTTP/1.1 200", answer[:12])
        self.assertNotIn("caller_connection_failed", vm.output)

    def test_unfinished_bodies_in_large_chunks(self) -> None:
        pieces = repeated(chunk(b"x" * 65536), MAX_BODY_BYTES - 65536)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(request_head("/bulk/", CHUNKED), *pieces)

        self.run_crowd(caller)

    def test_unfinished_bodies_in_small_chunks(self) -> None:
        pieces = repeated(chunk(b"x" * 512) * 8, MAX_BODY_BYTES)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(request_head("/bulk/", CHUNKED), *pieces)

        self.run_crowd(caller)

    def test_unfinished_bodies_in_chunks_of_one_byte(self) -> None:
        pieces = repeated(chunk(b"x") * 100, 12_000)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(request_head("/bulk/", CHUNKED), *pieces)

        self.run_crowd(caller)

    def test_size_lines_of_chunks_without_end(self) -> None:
        line = b"1;x=" + b"x" * ENDLESS_LINE_BYTES

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(request_head("/bulk/", CHUNKED), line)

        self.run_crowd(caller, ENDLESS_LINES)

    def test_bodies_announced_far_over_the_limit(self) -> None:
        head = request_head("/bulk/", "content-length: 1000000000")
        pieces = repeated(b"x" * 65536, ENDLESS_BYTES)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(head, *pieces)

        self.run_crowd(caller)

    def test_bodies_far_over_the_limit_without_announcement(self) -> None:
        pieces = repeated(chunk(b"x" * 16384), ENDLESS_BYTES)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(request_head("/bulk/", CHUNKED), *pieces)

        self.run_crowd(caller)

    def test_complete_bodies_of_legal_size(self) -> None:
        head = request_head("/bulk/", f"content-length: {MAX_BODY_BYTES}")

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(head + b"x" * MAX_BODY_BYTES)

        self.run_crowd(caller)

    def test_unfinished_bodies_of_legal_size_in_pieces(self) -> None:
        head = request_head("/bulk/", f"content-length: {MAX_BODY_BYTES}")
        pieces = [*repeated(b"x" * 16384, MAX_BODY_BYTES - 16384), b"x" * 16383]

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(head, *pieces)

        self.run_crowd(caller)

    def test_more_idle_connections_than_descriptors(self) -> None:
        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay()

        self.run_crowd(caller, MANY_CONNECTIONS, FEW_DESCRIPTORS)

    def test_more_unfinished_heads_than_descriptors(self) -> None:
        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(b"POST /bulk/ HTTP/1.1\r\nhost:")

        self.run_crowd(caller, MANY_CONNECTIONS, FEW_DESCRIPTORS)

    def test_more_connections_to_the_metrics_port_than_descriptors(self) -> None:
        self.run_idle_crowd("metrics")

    def test_more_connections_to_the_readiness_port_than_descriptors(self) -> None:
        self.run_idle_crowd("readiness")

    def test_more_connections_to_the_port_for_vms_than_descriptors(self) -> None:
        self.run_idle_crowd("peers")

    def run_idle_crowd(self, port: str) -> None:
        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(port=getattr(vm, port))

        self.run_crowd(caller, MANY_CONNECTIONS, FEW_DESCRIPTORS)

    def test_unfinished_bodies_at_the_metrics_port(self) -> None:
        head = b"POST /metrics HTTP/1.1\r\nhost: vm\r\ncontent-length: %d\r\n\r\n"
        pieces = repeated(b"x" * 65536, MAX_BODY_BYTES - 65536)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(head % MAX_BODY_BYTES, *pieces, port=vm.metrics)

        self.run_crowd(caller)

    def test_unfinished_large_heads_and_bodies(self) -> None:
        head = b"POST /bulk/ HTTP/1.1\r\nhost:" + b"x" * 15_000
        pieces = repeated(b"x" * 16384, MAX_BODY_BYTES - 16384)

        async def caller(vm: VmProcess) -> None:
            for _ in range(HEADS_PER_BODY):
                await vm.send_and_stay(head)
            length = f"content-length: {MAX_BODY_BYTES}"
            await vm.send_and_stay(request_head("/bulk/", length), *pieces)

        self.run_crowd(caller, max_descriptors=MANY_DESCRIPTORS)

    def test_unfinished_messages_at_the_port_for_vms(self) -> None:
        pieces = repeated(b"x" * 65536, MAX_BODY_BYTES)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(b"\x01\x00\x00\x00", *pieces, port=vm.peers)

        self.run_crowd(caller)

    def test_more_waiting_requests_than_connections(self) -> None:
        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(request_head("/bulk/", "content-length: 2") + b"hi")

        self.run_crowd(caller, WAITING_REQUESTS, FEW_DESCRIPTORS)

    def test_unfinished_messages_of_introduced_vms(self) -> None:
        introduction = encode_message(Member("vm-x", 1, "127.0.0.1", 9, 0, "z0", ()))
        size_line = (15 << 20).to_bytes(4, "big")
        pieces = repeated(b"x" * 65536, (15 << 20) - 65536)

        async def caller(vm: VmProcess) -> None:
            await vm.send_and_stay(introduction, size_line, *pieces, port=vm.peers)

        self.run_crowd(caller, INTRODUCED_VMS)

    def test_one_large_body_is_served_in_calm(self) -> None:
        """Holds before any limit, and must hold with each."""

        async def main() -> None:
            with trio.fail_after(HANG_TIMEOUT):
                async with open_vm(MAX_DESCRIPTORS) as vm:
                    head = request_head("/office/", f"content-length: {MAX_BODY_BYTES}")
                    answer = await vm.send(vm.callers, head + b"x" * MAX_BODY_BYTES)
                    self.check(vm, answer)

        trio.run(main)
