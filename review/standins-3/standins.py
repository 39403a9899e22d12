"""Stand-ins for the platform, servers and clients; the cases of this review start them.

They use the standard library only, listen on loopback addresses, and behave as the platform's pages
say (PROTOCOL.md, DEPLOY.md and the news). A case runs as one asyncio program, and the relays run as
separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Optional
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

#: Whether the case runs with its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: The relay's metrics port, as deploy/system.toml declares it.
METRICS_PORT = 9464

#: Seconds between two heartbeats of a server (HeartbeatMs).
HEARTBEAT = 1.2

#: Figures of a small deployment, as ``fleetbench wire`` shows them.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "StrictRevoke": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetrySlack": 100,
    "RecoveryS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "stall_ms": 1500,
    "HoldMaxMs": 20000,
    "FreeMs": 4000,
    "MaxIdleMs": 9000,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Writes a line with the time in seconds."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


def free_hosts(count: int) -> list[str]:
    """Returns loopback addresses on which the metrics port is free."""
    hosts: list[str] = []
    prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
    for octet in range(10, 250):
        if len(hosts) == count:
            break
        host = f"{prefix}.{octet}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, METRICS_PORT))
            hosts.append(host)
    return hosts


def free_port(host: str) -> int:
    """Returns a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass
class Message:
    """An HTTP request or response."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader, until_end: bool = False) -> Optional[Message]:
    """Reads an HTTP message; returns ``None`` if the channel ends before a complete one.

    Args:
        reader: The channel.
        until_end: Whether a body without a length lasts until the channel ends.

    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head.strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif until_end:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        # Ended, also in the middle of a chunk's size line.
        return None
    return Message(first_line, headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a channel with a reset, and drops what was not sent yet."""
    channel = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpServer:
    """Serves HTTP/1.1 on a loopback address; ``handle`` returns whether the channel is kept."""

    def __init__(
        self, host: str, handle: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
    ) -> None:
        self.host = host
        self.port = free_port(host)
        self._handle = handle
        self._server: Optional[asyncio.Server] = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self) -> None:
        """Refuses new channels and resets the open ones, like a process that is killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            # The peer left, or the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class _Entry:
    key: str
    value: bytes
    written_at: float


class Store:
    """The platform's store: a keyed log in memory, with the header ``Store-Era``."""

    def __init__(self, host: str, record: Record) -> None:
        self.server = HttpServer(host, self.handle)
        self.era = 1
        self._record = record
        self._topics: dict[str, list[_Entry]] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start()

    def put(self, topic: str, key: str, value: Optional[dict[str, object]]) -> None:
        """Appends a document; ``None`` removes the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self._append(topic, key, content)

    async def go_away(self) -> None:
        """Ends all channels and accepts none."""
        self._record.write("store: away")
        await self.server.stop()

    async def come_back(self, copy_at: float) -> None:
        """Comes back from a copy, without what was written after ``copy_at``."""
        for entries in self._topics.values():
            entries[:] = [entry for entry in entries if entry.written_at <= copy_at]
        self.era += 1
        await self.server.start()
        age = self._record.now() - copy_at
        self._record.write(f"store: back from a copy {age:.2f} s old, Store-Era {self.era}")

    def _append(self, topic: str, key: str, content: bytes) -> None:
        self._topics.setdefault(topic, []).append(_Entry(key, content, self._record.now()))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answers a call."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic, era = query["Topic"], self.era
        status, content = "200 OK", b"{}"
        if parts.path == "/v1/log-append":
            key_end = 5 + request.body[4]
            key = request.body[5:key_end].decode()
            self._append(topic, key, request.body[key_end:])
            entries = self._topics[topic]
            content = json.dumps({"Offset": len(entries) - 1, "EndOffset": len(entries)}).encode()
        elif parts.path == "/v1/log-newest":
            content = self._newest(topic)
        else:
            found = await self._read(topic, int(query["From"]), int(query["WaitMs"]) / 1000)
            status, content = (
                ("410 Gone", b'{"FirstOffset":0}') if found is None else (status, found)
            )
        if era != self.era:
            return False
        head = f"HTTP/1.1 {status}\r\nStore-Era: {era}\r\nContent-Length: {len(content)}\r\n\r\n"
        writer.write(head.encode() + content)
        await writer.drain()
        return True

    def _newest(self, topic: str) -> bytes:
        entries = self._topics.get(topic, [])
        newest = {entry.key: (offset, entry) for offset, entry in enumerate(entries)}
        items = [
            {"Key": key, "Value": base64.b64encode(entry.value).decode(), "Offset": offset}
            for key, (offset, entry) in sorted(newest.items())
            if entry.value
        ]
        page = {"Items": items, "HasMore": False, "EndOffset": len(entries)}
        return json.dumps(page).encode()

    async def _read(self, topic: str, offset: int, wait: float) -> Optional[bytes]:
        entries = self._topics.setdefault(topic, [])
        if offset > len(entries):
            return None
        ends_at = time.monotonic() + wait
        while len(entries) <= offset and (left := ends_at - time.monotonic()) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        content = struct.pack(">qq", len(entries), 0)
        for entry in entries[offset:]:
            data = bytes((len(entry.key),)) + entry.key.encode() + entry.value
            content += struct.pack(">I", len(data)) + data
        return content


@dataclass
class Run:
    """A request that a server began to run."""

    attempt_id: str
    server: str
    tenant: str
    at: float


@dataclass
class Backend:
    """A sound server of a plain service; records each run."""

    id: str
    service: str
    host: str
    zone: str
    record: Record
    runs: list[Run] = field(default_factory=list)
    #: Seconds that a request takes.
    work: float = 0.02
    state: str = "ready"

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)
        self.server = HttpServer(self.host, self.handle)

    def entry(self, sequence_number: int) -> dict[str, object]:
        """Returns the server's entry in the store."""
        return {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": 6,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": sequence_number,
            "born": self.born,
        }

    def extra_headers(self) -> str:
        """Returns further headers of all answers, each with its line end."""
        return ""

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answers a request."""
        attempt_id = request.headers.get("camphordrift-attempt-id", "")
        if request.headers.get("camphordrift-expect-instance") != self.id:
            head = (
                "HTTP/1.1 421 Misdirected Request\r\n"
                f"Camphordrift-Attempt-Id: {attempt_id}\r\n{self.extra_headers()}"
                "Camphordrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            writer.write(head.encode())
            return True
        tenant = request.headers.get("camphordrift-tenant", "")
        self.runs.append(Run(attempt_id, self.id, tenant, self.record.now()))
        self.record.write(f"{self.id}: runs {attempt_id} for tenant {tenant or '-'}")
        return await self.respond(request, attempt_id, writer)

    async def respond(
        self, request: Message, attempt_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Works on a request and answers it."""
        await asyncio.sleep(self.work)
        body = json.dumps({"request": attempt_id, "by": self.id}).encode()
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Camphordrift-Attempt-Id: {attempt_id}\r\n"
            f"Camphordrift-Engine-Signature: {self.id}\r\n{self.extra_headers()}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        return True


class Relay:
    """A relay process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, host: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self.front = free_port(host)
        self.readiness = free_port(host)
        self._process: Optional[subprocess.Popen[bytes]] = None
        control, first = free_port(host), free_port(host)
        self._settings = {
            "NodeName": name,
            "Role": "relay",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": host,
            "Zone": zone,
            "Region": "r",
            "Zones": {zone: "r"},
            "Listen": {
                "Front": f"{host}:{self.front}",
                "ReadinessAddr": f"{host}:{self.readiness}",
                "Control": f"{host}:{control}",
            },
            "PortRange": [first, first],
            "Seeds": [],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {"Address": store, "form": "log", "WritesPerS": 400, "ReadsPerS": 2000},
        }
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(self._settings), encoding="utf-8")
        self._log = folder / f"{name}.log"

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> Optional[int]:
        """Exit code of the process; ``None`` while it runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Starts the process."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["CAMPHORDRIFT_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                ["python3", "-m", "camphordrift.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        """Asks whether the relay is ready, as the platform does."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            answer = await asyncio.wait_for(
                exchange(self.host, self.readiness, "GET /v1/readyz", {"Host": "vm"}), 1.0
            )
            return answer is not None and answer.status == 200
        return False

    async def wait_until_ready(self, timeout: float) -> bool:
        """Waits until the relay is ready; returns whether it is."""
        ends_at = time.monotonic() + timeout
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def exchange(
    host: str, port: int, line: str, headers: dict[str, str], body: bytes = b""
) -> Optional[Message]:
    """Sends a request on a new channel; returns the answer, ``None`` if there is no complete one.

    Raises:
        OSError: The channel was not established.

    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{line} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_message(reader)
    except ConnectionError:
        return None
    finally:
        writer.close()


async def run_heartbeats(store: Store, servers: list[Backend]) -> None:
    """Writes the entries of servers again and again until cancelled."""
    sequence_number = 1
    while True:
        for server in servers:
            store.put("keyed.servers", server.id, server.entry(sequence_number))
        sequence_number += 1
        await asyncio.sleep(HEARTBEAT)


def run_case(main: Callable[[Record, Path], Awaitable[int]], folder: Path) -> int:
    """Runs a case with a temporary folder; returns its exit code, 2 if it could not run."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")
    try:
        with tempfile.TemporaryDirectory(prefix="review-3-") as directory:
            code = asyncio.run(asyncio.wait_for(main(record, Path(directory)), 110))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        code = 2
    record.write(f"exit code {code}")
    return code
