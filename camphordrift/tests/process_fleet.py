"""A fleet of operating system processes on loopback, for tests of kills, pauses and restarts."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import tomli_w
import trio

from camphordrift.backend_http import HttpCall, HttpConnections
from camphordrift.backend_servers import BackendError
from camphordrift.demo import DEMO_OPERATOR_KEY, DemoPlan
from camphordrift.settings import EntrySettings, StandinSettings

FLEET_KEY_VARIABLE = "CAMPHORDRIFT_TEST_FLEET_KEY"

#: Timeout for a process to respond after its start, in seconds.
START_TIMEOUT_SECONDS = 60.0


class ProcessFleet:
    """Starts, pauses, kills and stops the processes of a plan."""

    def __init__(self, plan: DemoPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._connections = HttpConnections()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def plan(self) -> DemoPlan:
        """The plan that the fleet was started from."""
        return self._plan

    @property
    def connections(self) -> HttpConnections:
        """HTTP connections for the test's own calls."""
        return self._connections

    async def start(self) -> None:
        """Starts the stand-ins and all entry VMs, and publishes the configuration."""
        settings = _standins_document(self._plan.standins)
        self._start_process("standins", settings)
        await self._wait_for_ok(f"http://{self._plan.standins.control}/counts")
        for index in range(len(self._plan.entries)):
            self.start_entry(index)
        for entry in self._plan.entries:
            await self._wait_for_ok(f"http://{entry.listen.operators}/health")
        response = await self.operate(0, "POST", "/configuration", dict(self._plan.record))
        assert response["version"] == 1, response
        for index in range(len(self._plan.entries)):
            await self.wait_ready(index)

    def start_entry(self, index: int) -> None:
        """Starts the process of the entry VM at ``index`` in the plan."""
        self._start_process(f"entry-{index}", _entry_document(self._plan.entries[index]))

    async def wait_ready(self, index: int) -> None:
        """Waits until an entry VM reports that it is ready."""
        listen = self._plan.entries[index].listen
        await self._wait_for_ok(f"http://{listen.operators}/ready")

    def send_signal(self, index: int, number: signal.Signals) -> None:
        """Sends a signal to an entry VM's process."""
        self._processes[f"entry-{index}"].send_signal(number)

    async def wait_exit(self, index: int) -> int:
        """Waits for the exit of an entry VM's process and returns its exit code."""
        process = self._processes[f"entry-{index}"]
        while process.poll() is None:
            await trio.sleep(0.02)
        return process.returncode

    def log_of(self, index: int) -> str:
        """Returns the output of an entry VM's process so far."""
        return (self._directory / f"entry-{index}.log").read_text(encoding="utf-8")

    async def inject_fault(self, name: str, **arguments: Any) -> None:
        """Switches a fault of the stand-ins on or off."""
        await self._fetch_json(
            "POST", f"http://{self._plan.standins.control}", f"/faults/{name}", arguments
        )

    async def counts(self) -> dict[str, Any]:
        """Returns the stand-ins' counts of bookings, log appends, records and holds."""
        return await self._fetch_json("GET", f"http://{self._plan.standins.control}", "/counts")

    async def operate(self, index: int, method: str, target: str, body: Any = None) -> Any:
        """Sends a request to an entry VM's operators' port and returns the parsed response."""
        base_url = f"http://{self._plan.entries[index].listen.operators}"
        return await self._fetch_json(method, base_url, target, body)

    def print_logs(self) -> None:
        """Prints the end of each process's output, after a failed test."""
        for name, process in self._processes.items():
            text = (self._directory / f"{name}.log").read_text(encoding="utf-8", errors="replace")
            print(f"--- {name}, exit code {process.poll()}\n{text[-3000:]}")

    def kill_all(self) -> None:
        """Kills every process that this fleet started, paused ones included."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def _start_process(self, name: str, document: dict[str, Any]) -> None:
        path = self._directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(document), encoding="utf-8")
        command = name.split("-")[0]
        environment = {**os.environ, FLEET_KEY_VARIABLE: self._plan.fleet_key}
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "camphordrift", command, "--settings", str(path)],
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def _wait_for_ok(self, url: str) -> None:
        base_url, _, path = url.rpartition("/")
        with trio.fail_after(START_TIMEOUT_SECONDS):
            while not await self._responds_ok(base_url, f"/{path}"):
                await trio.sleep(0.05)

    async def _responds_ok(self, base_url: str, target: str) -> bool:
        try:
            response = await self._connections.fetch(HttpCall("GET", base_url, target), 2.0)
        except BackendError:
            return False
        return response.status == 200

    async def _fetch_json(self, method: str, base_url: str, target: str, body: Any = None) -> Any:
        content = b"" if body is None else _json_bytes(body)
        headers = (("Authorization", f"Bearer {DEMO_OPERATOR_KEY}"),)
        call = HttpCall(method, base_url, target, content, headers)
        response = await self._connections.fetch(call, 30.0)
        assert response.status < 300, f"{method} {target}: {response.status} {response.body!r}"
        return _parsed(response.body)


def _json_bytes(body: Any) -> bytes:
    return json.dumps(body).encode()


def _parsed(body: bytes) -> Any:
    return json.loads(body)


def _entry_document(settings: EntrySettings) -> dict[str, Any]:
    limits = settings.limits
    return {
        "vm": {
            "id": settings.vm.vm_id,
            "availability_zone": settings.vm.availability_zone,
            "region": settings.vm.region,
        },
        "listen": {
            "callers": str(settings.listen.callers),
            "operators": str(settings.listen.operators),
            "peers": str(settings.listen.peers),
        },
        "platform": {
            "log_url": settings.platform.log_url,
            "vm_list_url": settings.platform.vm_list_url,
            "weight_store_url": settings.platform.weight_store_url,
        },
        "peers": {
            "seeds": [str(seed) for seed in settings.seed_peers],
            "fleet_key_environment_variables": [FLEET_KEY_VARIABLE],
        },
        "operators": {"key_hashes": list(settings.operator_key_hashes)},
        "limits": {
            "max_body_bytes": limits.max_body_bytes,
            "between_bytes_timeout_seconds": limits.between_bytes_timeout_seconds,
        },
        "draining": {
            "drain_bound_seconds": settings.draining.drain_bound_seconds,
            "balancer_lag_seconds": settings.draining.balancer_lag_seconds,
        },
    }


def _standins_document(settings: StandinSettings) -> dict[str, Any]:
    return {
        "log": {"listen": str(settings.log.listen)},
        "vm_list": {
            "listen": str(settings.vm_list.listen),
            "lag_seconds": settings.vm_list.lag_seconds,
            "vms": [
                {"id": vm.vm_id, "availability_zone": vm.availability_zone, "peers": str(vm.peers)}
                for vm in settings.vm_list.vms
            ],
        },
        "weight_store": {"listen": str(settings.weight_store.listen)},
        "control": {"listen": str(settings.control)},
        "engines": [
            {
                "id": engine.engine_id,
                "availability_zone": engine.availability_zone,
                "listen": str(engine.listen),
                "models": list(engine.models),
                "prefill_tokens_per_second": engine.prefill_tokens_per_second,
                "decode_tokens_per_second": engine.decode_tokens_per_second,
                "memory_tokens": engine.memory_tokens,
                "checks_fencing": engine.checks_fencing,
            }
            for engine in settings.engines
        ],
        "services": [
            {
                "id": server.server_id,
                "service": server.service,
                "availability_zone": server.availability_zone,
                "listen": str(server.listen),
                "call_seconds": server.call_seconds,
            }
            for server in settings.services
        ],
    }


@asynccontextmanager
async def open_process_fleet(plan: DemoPlan) -> AsyncIterator[ProcessFleet]:
    """Runs the processes of ``plan`` while the context is open."""
    with TemporaryDirectory() as directory:
        fleet = ProcessFleet(plan, Path(directory))
        try:
            await fleet.start()
            yield fleet
        except BaseException:
            fleet.print_logs()
            raise
        finally:
            fleet.kill_all()
