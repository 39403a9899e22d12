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

#: Time between two reads of the streams of claims and leases without news, in seconds.
#: An append has its stream read at once, so only the news of other VMs come so late: a repeat at
#: another VM may be told for this long that the call is still running.
RECORD_POLL_SECONDS = 1.0


@dataclass(frozen=True)
class LogAccess:
    """What the parts of one process share to use the log."""

    #: The service.
    transport: HttpLogTransport

    #: Appends for all parts under one budget.
    writer: LogWriter

    #: The log as the folds over it use it.
    records: PlatformRecordLog

    async def run(self) -> None:
        """Appends until cancelled."""
        await self.writer.run()


def log_access(connections: HttpConnections, base_url: str, vm_id: VmId) -> LogAccess:
    """Returns access to the log service at ``base_url``. Call it inside the loop."""
    rng = random.Random()
    transport = HttpLogTransport(connections, base_url)
    writer = LogWriter(transport, vm_id, WriterSettings(), trio.current_time, rng)
    follower = FollowerSettings(poll_seconds=RECORD_POLL_SECONDS)
    records = PlatformRecordLog(transport, writer, follower, rng)
    return LogAccess(transport, writer, records)


def call_coordinator(log: LogAccess, vm_id: VmId, incarnation: Incarnation) -> CallCoordinator:
    """Returns the coordinator of calls that may not be repeated."""
    claimant = Claimant(vm_id, incarnation)
    return CallCoordinator(claimant, log.records, CallSettings(), time.time, random.Random())
