"""Several configuration keepers over one in-memory log, with faults of VMs and links."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Optional

import trio

from camphordrift.configuration import (
    HIGHEST_SCHEMA_VERSION,
    ConfigurationKeeper,
    KeeperSettings,
)
from camphordrift.identifiers import VmId
from camphordrift.platform_log import (
    LogTransport,
    LogUnavailableError,
    LogWriter,
    ReadBatch,
    WriterSettings,
)
from camphordrift.standins import InMemoryLogService

#: Interval between two exchanges of a VM with a peer, in seconds.
PEER_EXCHANGE_SECONDS = 1.0


class VmLink:
    """Connection of one VM to the log; it can be disconnected, and the VM can be paused."""

    def __init__(self, transport: LogTransport) -> None:
        self._transport = transport
        self._resumed = trio.Event()
        self._resumed.set()
        self.is_disconnected = False

    @property
    def is_paused(self) -> bool:
        """Whether the VM is paused."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Pauses the VM at its next request to the log or the response to one."""
        if self._resumed.is_set():
            self._resumed = trio.Event()

    def resume(self) -> None:
        """Ends a pause; has no effect on a running VM."""
        self._resumed.set()

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends records; raises ``LogUnavailableError`` while disconnected."""
        await self._wait_for_link()
        try:
            return await self._transport.append(stream, payloads)
        finally:
            await self._resumed.wait()

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads records; raises ``LogUnavailableError`` while disconnected."""
        await self._wait_for_link()
        try:
            return await self._transport.read(stream, from_offset, max_records)
        finally:
            await self._resumed.wait()

    async def _wait_for_link(self) -> None:
        await self._resumed.wait()
        if self.is_disconnected:
            await trio.sleep(0.01)
            raise LogUnavailableError("the VM is disconnected from the log")


@dataclass
class FleetVm:
    """One running VM."""

    #: Id of the VM.
    vm_id: VmId

    #: Holds the VM's configuration.
    keeper: ConfigurationKeeper

    #: Appends the VM's records.
    writer: LogWriter

    #: Connection to the log.
    link: VmLink

    #: Cancelling it stops the VM.
    scope: trio.CancelScope


#: Creates a keeper; tests pass classes that lack a guard.
KeeperFactory = Callable[..., ConfigurationKeeper]


class ConfigurationFleet:
    """VMs that share one log and exchange their states; they can be started and stopped."""

    def __init__(
        self,
        service: InMemoryLogService,
        nursery: trio.Nursery,
        random: Random,
        settings: KeeperSettings,
        writer_settings: WriterSettings,
        keeper_factory: KeeperFactory = ConfigurationKeeper,
    ) -> None:
        self._service = service
        self._nursery = nursery
        self._random = random
        self._settings = settings
        self._writer_settings = writer_settings
        self._keeper_factory = keeper_factory
        self._vms: dict[VmId, FleetVm] = {}

    @property
    def vms(self) -> Mapping[VmId, FleetVm]:
        """The running VMs."""
        return self._vms

    def start_vm(
        self, vm_id: VmId, schema_version: int = HIGHEST_SCHEMA_VERSION, disconnected: bool = False
    ) -> FleetVm:
        """Starts a VM with empty state."""
        link = VmLink(self._service)
        link.is_disconnected = disconnected
        generator = Random(self._random.getrandbits(64))
        writer = LogWriter(link, vm_id, self._writer_settings, trio.current_time, generator)
        keeper = self._keeper_factory(
            link,
            writer,
            self._settings,
            trio.current_time,
            trio.current_time,
            generator,
            self.live_schema_versions,
            schema_version,
        )
        vm = FleetVm(vm_id, keeper, writer, link, trio.CancelScope())
        self._vms[vm_id] = vm
        self._nursery.start_soon(self._run_vm, vm)
        return vm

    def stop_vm(self, vm_id: VmId) -> None:
        """Stops a VM immediately, as a crash does."""
        vm = self._vms.pop(vm_id)
        vm.link.resume()
        vm.scope.cancel()

    def live_schema_versions(self) -> Mapping[VmId, int]:
        """Returns the highest schema version that each running VM can read."""
        return {vm.vm_id: vm.keeper.status.readable_schema_version for vm in self._vms.values()}

    async def exchange_states(self) -> None:
        """Gives each VM the newest state of its peers every second; runs until cancelled."""
        while True:
            await trio.sleep(PEER_EXCHANGE_SECONDS)
            for vm in list(self._vms.values()):
                self._adopt_newest_peer_state(vm)

    async def wait_for_version(self, version: int) -> None:
        """Waits until all running VMs have applied ``version``."""
        while any(vm.keeper.status.version < version for vm in self._vms.values()):
            await trio.sleep(0.01)

    def _adopt_newest_peer_state(self, vm: FleetVm) -> None:
        if vm.link.is_paused:
            return
        running = [peer for peer in self._vms.values() if not peer.link.is_paused]
        peer = max(running, key=lambda other: other.keeper.state_offset)
        if peer.keeper.state_offset <= vm.keeper.state_offset:
            return
        encoded: Optional[bytes] = peer.keeper.encoded_state()
        if encoded is not None:
            vm.keeper.accept_peer_state(encoded)

    async def _run_vm(self, vm: FleetVm) -> None:
        with vm.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(vm.writer.run)
                nursery.start_soon(vm.keeper.run)
