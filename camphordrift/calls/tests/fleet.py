"""Several VMs that run calls over one log stand-in, and a service that counts what runs."""

import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Optional

import trio
from returns import result

from camphordrift.calls import (
    CallCoordinator,
    CallSettings,
    Claimant,
    DispatchAnswered,
    DispatchNotSent,
    DispatchReply,
    DispatchUnanswered,
    Repeatability,
    SendGate,
    ServiceCall,
)
from camphordrift.calls.tests.builders import WALL_START, timed_uuid
from camphordrift.identifiers import AccountId, Incarnation, ServiceName, VmId
from camphordrift.platform_log import FollowerSettings, LogWriter, WriterSettings
from camphordrift.record_log import PlatformRecordLog
from camphordrift.results import Failure, ResultCode
from camphordrift.standins import InMemoryLogService, LogFaults, LogLimits


def wall_clock() -> float:
    """Returns the wall-clock time that goes with the loop's virtual clock."""
    return WALL_START + trio.current_time()


def booking(
    made_at: float = 0.0,
    tail: int = 1,
    body: bytes = b"stall 7",
    repeatability: Repeatability = Repeatability.KEY_REQUIRED,
) -> ServiceCall:
    """Returns a booking whose key was made ``made_at`` seconds after the start."""
    return ServiceCall(
        account_id=AccountId("seller"),
        service=ServiceName("booking"),
        method="POST",
        path="/bookings",
        body=body,
        content_type="text/plain",
        key=str(timed_uuid(WALL_START + made_at, tail)),
        repeatability=repeatability,
        remaining_seconds=20.0,
    )


@dataclass
class CountingService:
    """Counts how often each body runs; its answers can be slow, lost or large."""

    #: Runs by body.
    runs: Counter[bytes] = field(default_factory=Counter)

    #: Time until it answers, in seconds.
    latency_seconds: float = 0.01

    #: True if it runs calls and answers none of them.
    loses_answers: bool = False

    #: False if no connection to it can be made.
    reachable: bool = True

    #: Time between the connection and the first byte, in seconds.
    connect_seconds: float = 0.0

    #: The body of its answers.
    answer: bytes = b"booked"

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        await trio.sleep(self.connect_seconds)
        if not self.reachable:
            return DispatchNotSent(Failure(ResultCode.BACKEND_UNREACHABLE, "refused"))
        match gate.authorize():
            case result.Failure(failure):
                return DispatchNotSent(failure)
        self.runs[call.body] += 1
        await trio.sleep(self.latency_seconds)
        if self.loses_answers:
            return DispatchUnanswered(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, "lost"))
        return DispatchAnswered(201, "text/plain", self.answer)


@dataclass
class CallFleet:
    """VMs that share a log."""

    #: The log's stand-in.
    service: InMemoryLogService

    #: Runs the VMs.
    nursery: trio.Nursery

    #: Times of the calls.
    settings: CallSettings

    #: The VMs' coordinators, by number of the start.
    vms: list[CallCoordinator] = field(default_factory=list)

    #: One for each VM; cancelling it is the VM's death.
    lives: list[trio.CancelScope] = field(default_factory=list)

    @property
    def faults(self) -> LogFaults:
        return self.service.faults

    def start_vm(self) -> CallCoordinator:
        """Starts one more VM, which knows nothing."""
        number = len(self.vms)
        generator = random.Random(number)
        writer = LogWriter(
            self.service, f"vm-{number}", WriterSettings(), trio.current_time, generator
        )
        log = PlatformRecordLog(self.service, writer, FollowerSettings(), generator)
        claimant = Claimant(VmId(f"vm-{number}"), Incarnation(number + 1))
        coordinator = CallCoordinator(claimant, log, self.settings, wall_clock, generator)
        life = trio.CancelScope()
        self.vms.append(coordinator)
        self.lives.append(life)
        self.nursery.start_soon(self._live, life, writer, coordinator)
        return coordinator

    async def _live(
        self, life: trio.CancelScope, writer: LogWriter, coordinator: CallCoordinator
    ) -> None:
        with life:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                nursery.start_soon(coordinator.run)


@asynccontextmanager
async def open_call_fleet(
    vm_count: int,
    limits: Optional[LogLimits] = None,
    settings: Optional[CallSettings] = None,
) -> AsyncIterator[CallFleet]:
    """Opens a fleet and stops it at the end."""
    service = InMemoryLogService(wall_clock, limits or LogLimits())
    async with trio.open_nursery() as nursery:
        fleet = CallFleet(service, nursery, settings or CallSettings())
        for _ in range(vm_count):
            fleet.start_vm()
        await trio.sleep(1.0)
        yield fleet
        for coordinator in fleet.vms:
            coordinator.check_invariants()
        nursery.cancel_scope.cancel()
