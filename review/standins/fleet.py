"""Starts the project's own processes as the deploy file does, and gives a case its surroundings."""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Optional

from standins.http_messages import ClosedError, encode, read_head
from standins.store import Store

#: Root of the repository, from which the deploy file starts its programs.
ROOT = Path(__file__).resolve().parents[2]

#: Ports, the same on all machines.
FRONT, READINESS, CONTROL, STORE, SERVER, FIRST_FREE = 8227, 8220, 8229, 8223, 8080, 7340

#: Bounds of the sheet of bazarnik-prod (SYSTEM.md).
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

#: Exit statuses of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case cannot run here."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Machine:
    """A machine of the class ``edge``; runs the role of the deploy file as one process."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.name = f"edge-{number}"
        self.host = f"{fleet.network}.{number + 10}"
        self.zone = f"zone-{number % 3}"
        self.process: Optional[subprocess.Popen[bytes]] = None
        self._fleet = fleet
        self._settings = fleet.folder / f"{self.name}.json"
        self.log = fleet.folder / f"{self.name}.log"

    def start(self, bootstrap: bool = False) -> None:
        """Starts the process with the command and the settings of the deployment."""
        self._settings.write_text(json.dumps(self._document(bootstrap)), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CAMPHORDRIFT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["relay"]["run"]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._fleet.record.write(f"{self.name} started")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self._fleet.record.write(f"{self.name} gets {signal_number.name}")
            self.process.send_signal(signal_number)

    async def is_ready(self) -> bool:
        """Returns whether the machine answers the platform's question for readiness with 200."""
        with contextlib.suppress(OSError, ClosedError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.host, READINESS)
                try:
                    writer.write(encode("GET /v1/readyz HTTP/1.1", {"Host": self.host}))
                    return (await read_head(reader)).status == 200
                finally:
                    writer.close()
        return False

    def _document(self, bootstrap: bool) -> dict[str, Any]:
        return {
            "NodeName": self.name,
            "Role": "relay",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": self.host,
            "Zone": self.zone,
            "Region": "region",
            "Zones": {f"zone-{number}": "region" for number in range(3)},
            "Listen": {
                "Front": f"{self.host}:{FRONT}",
                "ReadinessAddr": f"{self.host}:{READINESS}",
                "Control": f"{self.host}:{CONTROL}",
            },
            "PortRange": [FIRST_FREE, FIRST_FREE + 15],
            "Seeds": [],
            "Bootstrap": bootstrap,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS | self._fleet.bounds,
            "Platform": {
                "Address": f"{self.host}:{STORE}",
                "form": "log",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
            },
        }


class Fleet:
    """The machines, the store and the servers of a case, on a loopback network of its own."""

    def __init__(self, folder: Path, record: Record, bounds: Optional[dict[str, Any]]) -> None:
        self.folder = folder
        self.record = record
        self.bounds = bounds or {}
        self.network = _free_network()
        self.store = Store()
        self.machines: list[Machine] = []
        self.version = 0

    async def add_machine(self) -> Machine:
        """Adds a machine, whose process is not started yet."""
        machine = Machine(self, len(self.machines))
        self.machines.append(machine)
        await self.store.listen(machine.host, STORE)
        return machine

    async def start(self, count: int) -> None:
        """Starts machines and waits until all are ready."""
        for _ in range(count):
            (await self.add_machine()).start(bootstrap=True)
        await self.wait_until_ready(self.machines)

    async def wait_until_ready(self, machines: list[Machine], timeout: float = 30.0) -> None:
        """Waits until all given machines are ready.

        Raises:
            CannotRunError: They are not ready within ``timeout`` seconds.

        """
        deadline = time.monotonic() + timeout
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        keys: tuple[str, ...] = ("key-1",),
    ) -> None:
        """Writes a new version of the configuration with one tenant, which holds the keys."""
        self.version += 1
        self.store.put(
            "keyed.op",
            "config",
            {
                "Version": self.version,
                "Routes": routes,
                "Services": services,
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
                "Tenants": [{"Name": "tenant-1", "ApiKeys": list(keys), "Priority": 1}],
            },
        )

    def list_server(self, server_id: str, document: Optional[dict[str, Any]]) -> None:
        """Writes a server's entry; ``None`` removes it."""
        self.store.put("keyed.servers", server_id, document)

    async def end(self) -> None:
        """Ends all processes that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route whose path prefix is its name, with the times of the sheet's lookups."""
    return {
        "Name": name,
        "Host": "service.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 1000,
        "SloMs": 125,
        "Priority": 1,
        "MaxAttempts": 2,
        "NoAuth": False,
        "Sticky": False,
        "ResumeStreams": False,
        "GapTargetMs": 250,
    } | fields


def plain_service(name: str) -> dict[str, Any]:
    """Returns a service without model engines."""
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": False}


def engine_service(name: str) -> dict[str, Any]:
    """Returns a service of model engines, with the figures of the sheet."""
    engine = {
        "Slots": 8,
        "KvCacheTokens": 315000,
        "Stride": 51,
        "Models": [{"Name": "m"}],
        "step_ms": 0.85,
        "per_seq_ms": 0.0085,
        "context_per_k": 0.00285,
        "read_per_s": 177000.0,
        "pairs_per_m": 0.184,
        "chunk": 2048,
        "report_lag_ms": 200.0,
    }
    return plain_service(name) | {"MaxConns": 334, "Engine": engine}


def disturbed() -> bool:
    """Returns whether the case plays its disruption (``TROUBLE=0`` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


def _free_network() -> str:
    """Returns the first three bytes of a loopback network on which the ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{network}.10", FRONT))
            return network
    raise CannotRunError("no free loopback network")


def run_case(
    folder: Path,
    play: Callable[[Fleet], Awaitable[bool]],
    bounds: Optional[dict[str, Any]] = None,
    timeout: float = 110.0,
) -> None:
    """Plays a case and ends this process with its status.

    Args:
        folder: Folder of the case.
        play: Plays the case; returns whether the rule held.
        bounds: Bounds of the settings that differ from those of the sheets.
        timeout: Maximum number of seconds.

    """
    record = Record(folder)
    record.write(f"disruption: {'yes' if disturbed() else 'no'}")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(Path(directory), record, bounds)
            try:
                async with asyncio.timeout(timeout):
                    return await play(fleet)
            finally:
                await fleet.end()
                if keep := os.environ.get("KEEP_LOGS"):
                    for machine in fleet.machines:
                        Path(keep, machine.log.name).write_bytes(machine.log.read_bytes())

    try:
        held = asyncio.run(run())
        status = HELD if held else BROKEN
        record.write("the rule held" if held else "the rule was broken")
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    record.close()
    # Channels of the stand-ins may still be open; what closes them in order would only complain.
    sys.stdout.flush()
    os._exit(status)
