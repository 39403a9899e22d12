"""Cuts the connections of single VMs to backend servers, for tests with several VMs."""

import socket
from contextvars import ContextVar
from enum import Enum
from typing import Optional, cast

import testtools
import trio

from camphordrift.relay.connections import _byte_stream, _connection_pool
from camphordrift.relay.tests import relay_harness

#: The VM to which the running task belongs; tasks inherit it from the one that started the VM.
_current_vm: ContextVar[str] = ContextVar("current_vm", default="")


class Cut(Enum):
    """What becomes of a VM's connections to servers."""

    #: Open and new connections hang.
    HANG = "hang"
    #: Open connections are reset, and new ones are refused.
    RESET = "reset"
    #: Open connections live on, and new ones are refused.
    REFUSE_NEW = "refuse new"


class _CuttableStream:
    """A connection whose data is held up while its VM is cut off."""

    def __init__(self, stream: trio.SocketStream, partitions: "Partitions", vm: str) -> None:
        self._stream = stream
        self._partitions = partitions
        self.socket = stream.socket
        self.setsockopt = stream.setsockopt
        self.vm = vm

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Receives data once the connection does not hang."""
        data = await self._stream.receive_some(max_bytes)
        await self._partitions.wait_while_hanging(self.vm)
        return data

    async def send_all(self, data: bytes) -> None:
        """Sends data once the connection does not hang."""
        await self._partitions.wait_while_hanging(self.vm)
        await self._stream.send_all(data)


class Partitions:
    """The cuts between VMs and servers; replaces how the relay opens connections to servers."""

    def __init__(self, case: testtools.TestCase) -> None:
        self._cuts: dict[str, Cut] = {}
        self._streams: list[_CuttableStream] = []
        self._changed = trio.Event()
        self._connect = _byte_stream.connect
        case.patch(_connection_pool, "connect", self._connect_unless_cut)

    async def start(self, fleet: relay_harness.RelayFleet, vm: str) -> relay_harness.RelayHarness:
        """Starts the next VM of a fleet, whose id must be ``vm``."""
        token = _current_vm.set(vm)
        try:
            return await fleet.start()
        finally:
            _current_vm.reset(token)

    def cut(self, vm: str, cut: Cut) -> None:
        """Cuts a VM off from all servers."""
        self._cuts[vm] = cut
        if cut is Cut.RESET:
            for stream in self._streams:
                if stream.vm == vm:
                    stream.socket.shutdown(socket.SHUT_RDWR)

    def heal(self, vm: str) -> None:
        """Ends the cut of a VM."""
        del self._cuts[vm]
        self._changed.set()
        self._changed = trio.Event()

    async def wait_while_hanging(self, vm: str) -> None:
        """Waits until the connections of a VM do not hang."""
        while self._cuts.get(vm) is Cut.HANG:
            await self._changed.wait()

    async def _connect_unless_cut(self, host: str, port: int, timeout: float) -> trio.SocketStream:
        vm = _current_vm.get()
        if self._cuts.get(vm) is Cut.HANG:
            await trio.sleep(timeout)
            raise TimeoutError(f"connecting to {host}:{port} timed out after {timeout:.3g} s")
        if vm in self._cuts:
            raise ConnectionRefusedError("refused")
        stream = _CuttableStream(await self._connect(host, port, timeout), self, vm)
        self._streams.append(stream)
        return cast(trio.SocketStream, stream)
