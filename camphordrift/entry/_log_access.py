"""Creates the clients of the platform's log service, and the coordinator of keyed calls."""

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

#: Seconds between two reads of a stream of claims or leases that has no new records. A VM reads a
#: stream immediately after its own append, so only records of other VMs arrive with this delay.
#: Until then, a retry of a completed call at another VM may be refused because the call seems to be
#: still running.
RECORD_POLL_SECONDS = 1.0


@dataclass(frozen=True)
class LogAccess:
    """The log clients that the components of one process share."""

    #: The HTTP client of the log service.
    transport: HttpLogTransport

    #: Appends the records of all components, within a common rate limit.
    writer: LogWriter

    #: Reads streams for components that apply all records in offset order, and appends to them.
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
    """Returns the coordinator of calls with idempotency keys, which run at most once."""
    claimant = Claimant(vm_id, incarnation)
    return CallCoordinator(claimant, log.records, CallSettings(), time.time, random.Random())
