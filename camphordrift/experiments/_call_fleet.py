"""Several VMs that run calls over one log stand-in, for experiments and tests."""

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

#: Time that VMs get to read the log before the first call, in seconds.
_START_SECONDS = 1.0


class VaryingLatency:
    """Adds a lognormal time to each append of a log service."""

    def __init__(
        self, service: LogTransport, median_seconds: float, sigma: float, generator: random.Random
    ) -> None:
        self._service = service
        self._median_seconds = median_seconds
        self._sigma = sigma
        self._generator = generator

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends after a delay."""
        await trio.sleep(self._median_seconds * self._generator.lognormvariate(0.0, self._sigma))
        return await self._service.append(stream, payloads)

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads without added delay."""
        return await self._service.read(stream, from_offset, max_records)


@dataclass(frozen=True)
class CallVm:
    """One VM's parts."""

    #: The process.
    claimant: Claimant

    #: Runs calls claim first.
    coordinator: CallCoordinator

    #: Claims outside the coordinator, for other orderings; its ``run`` is not started.
    claim_client: ClaimLogClient

    #: Cancelling it is the VM's death.
    cancel_scope: trio.CancelScope


@dataclass
class CallFleet:
    """VMs that share a log."""

    #: The log's stand-in.
    service: InMemoryLogService

    #: What the VMs reach the log through.
    transport: LogTransport

    #: Runs the VMs.
    nursery: trio.Nursery

    #: Times of the calls.
    settings: CallSettings

    #: How the VMs append.
    writer_settings: WriterSettings

    #: Every VM that was ever started.
    all_vms: list[CallVm] = field(default_factory=list)

    @property
    def faults(self) -> LogFaults:
        """The switches of the log's faults."""
        return self.service.faults

    @property
    def coordinators(self) -> list[CallCoordinator]:
        """The coordinators of all VMs that were ever started."""
        return [vm.coordinator for vm in self.all_vms]

    @property
    def cancel_scopes(self) -> list[trio.CancelScope]:
        """The lives of all VMs that were ever started."""
        return [vm.cancel_scope for vm in self.all_vms]

    def start_vm(self) -> CallVm:
        """Starts one more VM, which knows nothing."""
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
        self.nursery.start_soon(self._live, vm, writer)
        return vm

    async def _live(self, vm: CallVm, writer: LogWriter) -> None:
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
    """Opens a fleet and stops it at the end; ``latency`` is median, sigma and generator."""
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
    """Returns the settings with one record in each append."""
    return replace(settings, batch_records=1)
