"""Several VMs that execute calls over one shared log stand-in, for experiments and tests."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Optional

import trio

from camphordrift.calls import CallCoordinator, CallSettings, Claimant, ClaimLogClient
from camphordrift.experiments._call_service import wall_clock
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.platform_log import (
    FollowerSettings,
    LogTransport,
    LogWriter,
    ReadBatch,
    WriterSettings,
)
from camphordrift.record_log import PlatformRecordLog
from camphordrift.standins import InMemoryLogService, LogFaults, LogLimits

#: Time for VMs to read the log before the first call, in seconds.
_START_SECONDS = 1.0


class VaryingLatency:
    """Log transport that adds a lognormal delay to each append."""

    def __init__(
        self, service: LogTransport, median_seconds: float, sigma: float, generator: random.Random
    ) -> None:
        self._service = service
        self._median_seconds = median_seconds
        self._sigma = sigma
        self._generator = generator

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends after a random delay; returns the offset of the first record."""
        await trio.sleep(self._median_seconds * self._generator.lognormvariate(0.0, self._sigma))
        return await self._service.append(stream, payloads)

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads without added delay."""
        return await self._service.read(stream, from_offset, max_records)


@dataclass(frozen=True)
class CallVm:
    """The components of one VM."""

    #: Identity of the VM's process in claim records.
    claimant: Claimant

    #: Executes calls; it appends a claim before each dispatch.
    coordinator: CallCoordinator

    #: Appends claims without the coordinator, for other orderings; its ``run`` is not started.
    claim_client: ClaimLogClient

    #: Cancelling it crashes the VM.
    cancel_scope: trio.CancelScope


@dataclass
class CallFleet:
    """VMs that share one log stand-in."""

    #: The log stand-in.
    service: InMemoryLogService

    #: Transport of the VMs to the log; it may add latency to ``service``.
    transport: LogTransport

    #: Nursery that runs the VMs.
    nursery: trio.Nursery

    #: Settings of all coordinators.
    settings: CallSettings

    #: Settings of all log writers.
    writer_settings: WriterSettings

    #: All VMs that were ever started, including crashed ones.
    all_vms: list[CallVm] = field(default_factory=list)

    @property
    def faults(self) -> LogFaults:
        """Fault injection of the log stand-in."""
        return self.service.faults

    @property
    def coordinators(self) -> list[CallCoordinator]:
        """The coordinators of all VMs that were ever started, in start order."""
        return [vm.coordinator for vm in self.all_vms]

    @property
    def cancel_scopes(self) -> list[trio.CancelScope]:
        """The cancel scopes of all VMs that were ever started, in start order."""
        return [vm.cancel_scope for vm in self.all_vms]

    def start_vm(self) -> CallVm:
        """Starts one more VM with empty state."""
        number = len(self.all_vms)
        generator = random.Random(number)
        writer = LogWriter(
            self.transport, f"vm-{number}", self.writer_settings, trio.current_time, generator
        )
        log = PlatformRecordLog(self.transport, writer, FollowerSettings(), generator)
        claimant = Claimant(VmId(f"vm-{number}"), Incarnation(number + 1))
        vm = CallVm(
            claimant=claimant,
            coordinator=CallCoordinator(claimant, log, self.settings, wall_clock, generator),
            claim_client=ClaimLogClient(log, self.settings, wall_clock, generator),
            cancel_scope=trio.CancelScope(),
        )
        self.all_vms.append(vm)
        self.nursery.start_soon(self._run_vm, vm, writer)
        return vm

    async def _run_vm(self, vm: CallVm, writer: LogWriter) -> None:
        with vm.cancel_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                nursery.start_soon(vm.coordinator.run)


@asynccontextmanager
async def open_call_fleet(
    vm_count: int,
    limits: Optional[LogLimits] = None,
    settings: Optional[CallSettings] = None,
    writer_settings: Optional[WriterSettings] = None,
    latency: Optional[tuple[float, float, random.Random]] = None,
) -> AsyncIterator[CallFleet]:
    """Opens a fleet, checks its coordinators' invariants at the end and stops it.

    ``latency`` adds a lognormal delay to appends: its median in seconds, its sigma and the random
    generator.
    """
    service = InMemoryLogService(wall_clock, limits or LogLimits())
    transport: LogTransport = service
    if latency is not None:
        transport = VaryingLatency(service, *latency)
    async with trio.open_nursery() as nursery:
        fleet = CallFleet(
            service=service,
            transport=transport,
            nursery=nursery,
            settings=settings or CallSettings(),
            writer_settings=writer_settings or WriterSettings(),
        )
        for _ in range(vm_count):
            fleet.start_vm()
        await trio.sleep(_START_SECONDS)
        yield fleet
        for coordinator in fleet.coordinators:
            coordinator.check_invariants()
        nursery.cancel_scope.cancel()


def unbatched(settings: WriterSettings) -> WriterSettings:
    """Returns a copy of the settings with one record per append."""
    return replace(settings, batch_records=1)
