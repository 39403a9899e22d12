"""The process's access to the platform's log."""

import random
import time
from dataclasses import dataclass

import trio

from camphordrift.backend_http import HttpConnections
from camphordrift.calls import CallCoordinator, CallSettings, Claimant
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.platform_http import HttpLogTransport
from camphordrift.platform_log import FollowerSettings, LogWriter, WriterSettings
from camphordrift.record_log import PlatformRecordLog

#: Time between two reads of the streams of claims and leases while they have no new records, in
#: seconds. A VM reads a stream immediately after its own append, so only other VMs' records arrive
#: with this delay: for this long, a retry at another VM may be refused as still running.
RECORD_POLL_SECONDS = 1.0


@dataclass(frozen=True)
class LogAccess:
    """The log clients that the components of one process share."""

    #: The HTTP client of the log service.
    transport: HttpLogTransport

    #: Appends the records of all components, under one rate limit.
    writer: LogWriter

    #: The streams of records, for components that apply them in offset order.
    records: PlatformRecordLog

    async def run(self) -> None:
        """Appends queued records until cancelled."""
        await self.writer.run()


def log_access(connections: HttpConnections, base_url: str, vm_id: VmId) -> LogAccess:
    """Returns access to the log service at ``base_url``. Call it inside the event loop."""
    rng = random.Random()
    transport = HttpLogTransport(connections, base_url)
    writer = LogWriter(transport, vm_id, WriterSettings(), trio.current_time, rng)
    follower = FollowerSettings(poll_seconds=RECORD_POLL_SECONDS)
    records = PlatformRecordLog(transport, writer, follower, rng)
    return LogAccess(transport, writer, records)


def call_coordinator(log: LogAccess, vm_id: VmId, incarnation: Incarnation) -> CallCoordinator:
    """Returns the coordinator of calls that run at most once, by their idempotency keys."""
    claimant = Claimant(vm_id, incarnation)
    return CallCoordinator(claimant, log.records, CallSettings(), time.time, random.Random())
