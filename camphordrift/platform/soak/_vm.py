"""Runs a VM's relay in a process of its own, and injects faults into it."""

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

from camphordrift.platform.soak import _vm_process
from camphordrift.platform.soak._answer_checks import GRACE_PERIOD
from camphordrift.platform.soak._callers import VmAddress
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import SCHEDULING_SLACK
from camphordrift.platform.soak._vm_process import Cut

#: Seconds for which a VM still counts as disrupted after it is ready again, as other VMs may still
#: treat it as their leader.
DISRUPTION_MARGIN = 1.0

#: Maximum number of seconds that a started relay needs until it is ready, on a busy machine.
READINESS_TIMEOUT = 15.0


class Vm:
    """The relay process of one VM, and the faults that can be injected into it."""

    def __init__(
        self,
        number: int,
        network: str,
        store_port: int,
        directory: Path,
        observations: Observations,
        silent_address: str,
        former: Optional[Path] = None,
    ) -> None:
        self.name = f"vm-{number}"
        self.host = f"{network}.{number + 10}"
        self.callers = VmAddress(self.name, self.host, 8001)
        self._readiness_port = 8002
        self._observations = observations
        self._process: Optional[subprocess.Popen[bytes]] = None
        self._end_expected = False
        #: Root directory of the earlier build if the next process has to be of that build.
        self.former = former
        #: Whether a fault of this VM is in progress.
        self.disruption_running = False
        self._settings_path = directory / f"{self.name}.json"
        self._settings_path.write_bytes(msgspec.json.encode(self._document(number, store_port)))
        self._server_port = store_port
        self._silent_address = silent_address
        self._cut_path = directory / f"{self.name}.cut"
        self.set_cut(Cut.NONE)
        self._output_path = directory / f"{self.name}.log"
        self._errors_path = directory / f"{self.name}.err"

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
            "Bounds": {"GraceS": GRACE_PERIOD, "RevokeMs": 5000, "EvacuateMs": 5000},
        }

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        with self._disruption(), self._interruption():
            await self._start_process()

    async def _start_process(self) -> None:
        self._end_expected = False
        with self._output_path.open("ab") as output, self._errors_path.open("ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, _vm_process.__file__],
                env={
                    **os.environ,
                    **self._search_path(),
                    "CAMPHORDRIFT_SETTINGS": str(self._settings_path),
                    _vm_process.VM_HOST: self.host,
                    _vm_process.SERVER_PORT: str(self._server_port),
                    _vm_process.CUT_PATH: str(self._cut_path),
                    _vm_process.SILENT_ADDRESS: self._silent_address,
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )
        with trio.move_on_after(READINESS_TIMEOUT):
            while not await self._is_ready():
                await trio.sleep(0.1)

    def _search_path(self) -> dict[str, str]:
        """Returns the environment variable by which Python finds the earlier build."""
        return {} if self.former is None else {"PYTHONPATH": str(self.former)}

    def set_cut(self, cut: Cut) -> None:
        """Sets what becomes of new connections to servers."""
        self._cut_path.write_text(cut.value)

    async def kill(self, downtime: float) -> None:
        """Kills the process and starts it again after ``downtime`` seconds."""
        with self._disruption(), self._interruption():
            await self._end_process(signal.SIGKILL)
            await trio.sleep(downtime)
            await self._start_process()

    async def restart(self) -> None:
        """Stops the process with SIGTERM and starts it again."""
        with self._disruption():
            with self._observations.record_span(self._observations.vm_stops[self.name]):
                await self._end_process(signal.SIGTERM)
            with self._interruption():
                await self._start_process()

    async def pause(self, seconds: float) -> None:
        """Suspends the process for some seconds with SIGSTOP."""
        with self._disruption(), self._interruption():
            self._send_signal(signal.SIGSTOP)
            await trio.sleep(seconds)
            self._send_signal(signal.SIGCONT)

    def send_sighup(self) -> None:
        """Sends SIGHUP, which must not disturb the process."""
        self._send_signal(signal.SIGHUP)

    def check_process(self) -> None:
        """Records an unexpected exit, output to stderr, and failures that the log shows."""
        process = self._process
        if process is not None and process.poll() is not None and not self._end_expected:
            self._observations.process_failures.append(
                f"{self.name} exited unexpectedly with status {process.returncode}"
            )
        if errors := self._errors_path.read_text(errors="replace").strip():
            self._observations.process_failures.append(
                f"{self.name} wrote to stderr: {errors[-500:]!r}"
            )
        output = self._output_path.read_text(errors="replace")
        if "event=caller_connection_failed" in output:
            self._observations.process_failures.append(
                f"{self.name} logged a failure of a caller's connection"
            )
        if "event=request_failed" in output:
            self._observations.process_failures.append(f"{self.name} failed to handle a request")
        if "event=message_undecodable" in output or "message cannot be decoded" in output:
            self._observations.process_failures.append(
                f"{self.name} could not decode a message of another VM"
            )

    def kill_now(self) -> None:
        """Kills the process if it is running, and waits for its exit."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    async def _end_process(self, signal_number: signal.Signals) -> None:
        self._end_expected = True
        self._send_signal(signal.SIGCONT)
        self._send_signal(signal_number)
        process = self._process
        started_at = trio.current_time()
        while process is not None and process.poll() is None:
            if trio.current_time() > started_at + GRACE_PERIOD + SCHEDULING_SLACK:
                self._observations.process_failures.append(
                    f"{self.name} did not exit within its grace period"
                )
                process.kill()
            await trio.sleep(0.02)

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def _disruption(self) -> AbstractContextManager[None]:
        return self._observations.record_span(
            self._observations.vm_disruptions[self.name], DISRUPTION_MARGIN
        )

    def _interruption(self) -> AbstractContextManager[None]:
        return self._observations.record_span(self._observations.vm_interruptions[self.name])

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(0.5):
            stream = await trio.open_tcp_stream(self.host, self._readiness_port)
            async with stream:
                await stream.send_all(b"GET /v1/readyz HTTP/1.1\r\nhost: vm\r\n\r\n")
                return b" 200 " in await stream.receive_some(200)
        return False
