"""Stand-ins and process control for the scripts of the second review; standard library only.

The store keeps keyed topics in memory and speaks what PROTOCOL.md says of it. Everything listens on
loopback addresses. Times are seconds of the steady clock since the script began.
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
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464
BEGAN = time.monotonic()


def now():
    """Returns the seconds since the script began."""
    return time.monotonic() - BEGAN


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._path = Path(folder) / "record.txt"
        self._path.write_text("", encoding="utf-8")

    def __call__(self, text):
        """Adds a line with the time in seconds."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{now():8.3f} {text}\n")


def free_host():
    """Returns a loopback address on which the metrics port is free."""
    for _ in range(200):
        host = (
            f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        )
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
                return host
            except OSError:
                continue
    raise RuntimeError("no loopback address with a free metrics port")


def free_port(host):
    """Returns a port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_range(host, count=16):
    """Returns the first and last port of a free range on an address."""
    for _ in range(100):
        first = random.randrange(20000, 30000)
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((host, port))
            return first, first + count - 1
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free range of ports")


async def read_head(reader):
    """Returns the first line and the headers (lower-case names) of a message; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def client_socket():
    """Returns a socket with the operating system's usual buffers, for use in an event loop."""
    sock = socket.socket()
    sock.setblocking(False)
    return sock


async def read_answer_head(loop, sock):
    """Returns the head of an answer, and what has arrived of its body.

    Raises:
        ConnectionError: The channel ended first.

    """
    data = b""
    while b"\r\n\r\n" not in data:
        part = await loop.sock_recv(sock, 4096)
        if not part:
            raise ConnectionResetError("the channel ended before the answer")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return head.decode("latin-1"), body


class Store:
    """The platform's store: keyed topics, each with partition 0 alone."""

    def __init__(self, host):
        self.host, self.port = host, free_port(host)
        self.era = 1
        self.logs = {}
        self.firsts = {}
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self):
        """Listens at the address; raises ``OSError`` if it is taken."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self):
        """Refuses new channels and resets the open ones, as a store that is away."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def put(self, topic, key, value):
        """Appends a record; ``value`` is an object, bytes, or None to drop the key."""
        if value is None:
            data = b""
        else:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
        log = self.logs.setdefault(topic, [])
        log.append((key, data))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return len(log) - 1

    def newest(self, topic):
        """Returns the offset and value of the newest record of each key that is not dropped."""
        result = {}
        for offset, (key, data) in enumerate(self.logs.get(topic, [])):
            result.pop(key, None)
            if data:
                result[key] = offset, data
        return result

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = line.split(" ", 2)
                status, content = await self._answer(method, target, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        topic = args.get("Topic", "")
        if path == "/v1/log-append":
            position = 0
            first = len(self.logs.get(topic, []))
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                record = body[position + 4 : position + 4 + length]
                position += 4 + length
                self.put(topic, record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            end = len(self.logs.get(topic, []))
            return 200, json.dumps({"Offset": first, "EndOffset": end}).encode()
        if path == "/v1/log-newest":
            items = [
                {"Key": key, "Value": base64.b64encode(data).decode(), "Offset": offset}
                for key, (offset, data) in self.newest(topic).items()
            ]
            end = len(self.logs.get(topic, []))
            return 200, json.dumps({"Items": items, "HasMore": False, "EndOffset": end}).encode()
        if path == "/v1/log-read":
            start = int(args.get("From", "0"))
            ends_at = time.monotonic() + int(args.get("WaitMs", "0")) / 1000
            era = self.era
            while (
                start >= len(self.logs.get(topic, []))
                and era == self.era
                and (left := ends_at - time.monotonic()) > 0
            ):
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
            log = self.logs.get(topic, [])
            if start > len(log):
                return 410, json.dumps({"FirstOffset": 0}).encode()
            content = struct.pack(">qq", len(log), 0)
            for key, data in log[start:]:
                record = bytes((len(key),)) + key.encode() + data
                content += struct.pack(">I", len(record)) + record
            return 200, content
        return 404, b"{}"


class Vm:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, zone, store, folder, bounds=None, limits=None):
        self.name, self.host = name, free_host()
        self.front = free_port(self.host)
        self.ready_port = free_port(self.host)
        first, last = free_range(self.host)
        settings = {
            "NodeName": name,
            "Role": "relay",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": self.host,
            "Zone": zone,
            "Region": "r",
            "Zones": {"z0": "r", "z1": "r", "z2": "r"},
            "Listen": {
                "Front": f"{self.host}:{self.front}",
                "ReadinessAddr": f"{self.host}:{self.ready_port}",
            },
            "PortRange": [first, last],
            "Seeds": [],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
                **(limits or {}),
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Bounds": {
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
                "RetrySlack": 102,
                "RecoveryS": 12,
                "PassMs": 120,
                **(bounds or {}),
            },
            "Platform": {"Address": f"{store.host}:{store.port}", "form": "log"},
        }
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log_path = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Starts the process with the command of the deploy file."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "camphordrift.platform"],
                cwd=ROOT,
                env={
                    **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CAMPHORDRIFT_SETTINGS": str(self.settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds=20.0):
        """Waits until the platform's readiness check gets 200; returns whether it does."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        """Returns whether the readiness check gets 200 within a second."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
            data = await asyncio.wait_for(reader.read(200), 1.0)
            return b" 200 " in data
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        """Sends a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kills the process if it runs, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def server_entry(service, host, port, zone="z0", slots=8, state="ready", born=None):
    """Returns the entry of a server in the store's list."""
    return {
        "Service": service,
        "Address": f"{host}:{port}",
        "Zone": zone,
        "Version": 1,
        "Slots": slots,
        "State": state,
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": int(time.time() * 1000) if born is None else born,
    }


def route(name, kind, service, timeout_ms=10000, **fields):
    """Returns a route whose path prefix is its name."""
    return {
        "Name": name,
        "Host": "site.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "SloMs": 400,
        "Service": service,
        "MaxAttempts": 2,
        "Priority": 1,
        **fields,
    }


LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 10000,
    "IdleTimeoutMs": 60000,
}


@contextlib.contextmanager
def workplace():
    """Yields a temporary folder, and ends the processes of the VMs that are added to the list."""
    vms = []
    with tempfile.TemporaryDirectory(prefix="review2-") as folder:
        try:
            yield folder, vms
        finally:
            for vm in vms:
                vm.end()


def run(main):
    """Runs a script's coroutine, which returns 0, 1 or 2, and exits with that."""
    # Ignored signals are inherited, as under nohup; the platform ignores none for its processes.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115.0))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    # All VMs have ended. The streams that are left need no orderly end.
    sys.stderr.flush()
    os._exit(code)
