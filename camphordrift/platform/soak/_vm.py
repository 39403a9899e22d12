"""A relay as a process of its own."""

import contextlib
import os
import signal
import subprocess
import sys
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Optional

import msgspec
import trio

from camphordrift.platform.soak._callers import VmAddress
from camphordrift.platform.soak._observations import MACHINE_SLACK, Ledger

#: Seconds from SIGTERM to SIGKILL.
GRACE = 4.0

#: Seconds after a disturbance that still count as part of it, besides those until the VM is ready:
#: other VMs may take it for their home until then.
AFTERMATH = 1.0

#: Seconds in which a relay that has just started is ready, on a busy machine.
READY_TIME = 15.0


class Vm:
    """One VM's relay, and what may be done to it from outside."""

    def __init__(
        self, number: int, network: str, store_port: int, directory: Path, ledger: Ledger
    ) -> None:
        self.name = f"vm-{number}"
        self.host = f"{network}.{number + 10}"
        self.callers = VmAddress(self.name, self.host, 8001)
        self._readiness_port = 8002
        self._ledger = ledger
        self._process: Optional[subprocess.Popen[bytes]] = None
        self._expects_end = False
        #: Whether something is being done to the VM.
        self.busy = False
        self._settings = directory / f"{self.name}.json"
        self._settings.write_bytes(msgspec.json.encode(self._document(number, store_port)))
        self._output = directory / f"{self.name}.log"
        self._errors = directory / f"{self.name}.err"

    def _document(self, number: int, store_port: int) -> dict[str, object]:
        return {
            "NodeName": self.name,
            "Ip": self.host,
            "Zone": f"z{number % 3}",
            "Listen": {
                "Front": f"{self.host}:8001",
                "ReadinessAddr": f"{self.host}:{self._readiness_port}",
            },
            "PortRange": [8010, 8020],
            "Platform": {"Address": f"{self.host}:{store_port}"},
            "Bounds": {"GraceS": GRACE, "RevokeMs": 5000},
        }

    async def start(self) -> None:
        """Starts the process and waits until it takes callers."""
        with self._disturbed():
            await self._start()

    async def _start(self) -> None:
        self._expects_end = False
        with self._output.open("ab") as output, self._errors.open("ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "camphordrift.platform"],
                env={**os.environ, "CAMPHORDRIFT_SETTINGS": str(self._settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )
        with trio.move_on_after(READY_TIME):
            while not await self._ready():
                await trio.sleep(0.1)

    async def kill(self, down: float) -> None:
        """Kills the process and starts it again after ``down`` seconds."""
        with self._disturbed():
            await self._end(signal.SIGKILL)
            await trio.sleep(down)
            await self._start()

    async def restart(self) -> None:
        """Asks the process to end, and starts it again."""
        with self._disturbed():
            await self._end(signal.SIGTERM)
            await self._start()

    async def pause(self, seconds: float) -> None:
        """Stops the process for a while."""
        with self._disturbed():
            self._signal(signal.SIGSTOP)
            await trio.sleep(seconds)
            self._signal(signal.SIGCONT)

    def hang_up(self) -> None:
        """Tells the process that its settings may have changed."""
        self._signal(signal.SIGHUP)

    def check(self) -> None:
        """Notes an end that nobody asked for, and what the process wrote as errors."""
        process = self._process
        if process is not None and process.poll() is not None and not self._expects_end:
            self._ledger.process_faults.append(f"{self.name} ended by itself: {process.returncode}")
        if errors := self._errors.read_text(errors="replace").strip():
            self._ledger.process_faults.append(f"{self.name} wrote {errors[-500:]!r}")
        if "event=caller_connection_failed" in self._output.read_text(errors="replace"):
            self._ledger.process_faults.append(f"{self.name} failed inside a caller's connection")

    def end_for_good(self) -> None:
        """Ends the process without waiting for callers."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    async def _end(self, number: signal.Signals) -> None:
        self._expects_end = True
        self._signal(signal.SIGCONT)
        self._signal(number)
        process = self._process
        begun = trio.current_time()
        while process is not None and process.poll() is None:
            if trio.current_time() > begun + GRACE + MACHINE_SLACK:
                self._ledger.process_faults.append(f"{self.name} outlived its grace time")
                process.kill()
            await trio.sleep(0.02)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def _disturbed(self) -> AbstractContextManager[None]:
        return self._ledger.noting(self._ledger.disturbed[self.name], AFTERMATH)

    async def _ready(self) -> bool:
        with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(0.5):
            stream = await trio.open_tcp_stream(self.host, self._readiness_port)
            async with stream:
                await stream.send_all(b"GET /v1/readyz HTTP/1.1\r\nhost: vm\r\n\r\n")
                return b" 200 " in await stream.receive_some(200)
        return False
