"""Requests reports from engines whose state is unknown, while this VM is the leader."""

from collections.abc import Callable
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import NoPathError, SmallRequest
from camphordrift.relay.model import BackendServer, EngineReport, ReportFormat
from camphordrift.relay.requests._server_calls import ServerCalls, ServerUnreachableError
from camphordrift.relay.scheduling import EngineScheduler

#: Seconds between checks of which reports are due.
CHECK_INTERVAL = 0.1

#: Seconds for which a VM must have been the leader before it requests reports. VMs that start
#: together have no common leader for a short time.
SETTLING_PERIOD = 0.3

#: Timeout of a report in seconds.
REPORT_TIMEOUT = 0.4

#: Maximum number of reports that are requested at the same time.
MAX_CONCURRENT_REPORTS = 32

#: Seconds for which a connection is kept open for reuse after a report.
REPORT_CONNECTION_IDLE = 2.0


class EngineInspector:
    """Requests the reports that the engine scheduler needs, and passes them to it.

    Args:
        scheduler: Decides which reports are needed.
        calls: Sends the requests. A server that must get no more requests is not inspected.
        report_format: Path and format of the engines' reports.
        is_leader: Returns whether this VM schedules for all VMs that it knows. A VM that is cut off
            from the others requests no reports, as each such VM would inspect all engines.

    """

    def __init__(
        self,
        scheduler: EngineScheduler,
        calls: ServerCalls,
        report_format: ReportFormat,
        is_leader: Callable[[], bool],
    ) -> None:
        self._scheduler = scheduler
        self._calls = calls
        self._format = report_format
        self._is_leader = is_leader
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_REPORTS)

    async def run(self) -> None:
        """Requests reports until cancelled."""
        leader_since = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL)
                now = trio.current_time()
                if not self._is_leader():
                    leader_since = now
                elif now - leader_since >= SETTLING_PERIOD:
                    for server in self._scheduler.servers_to_inspect():
                        nursery.start_soon(self._inspect, server)

    async def _inspect(self, server: BackendServer) -> None:
        report: Optional[EngineReport] = None
        async with self._limiter:
            if not self._calls.accepts_requests(server):
                return
            try:
                with trio.move_on_after(REPORT_TIMEOUT):
                    report = await self._request_report(server)
            except NoPathError as error:
                log_event("engine_not_inspected", server=server.id, reason=str(error))
                return
        log_event(
            "engine_report",
            level=LogLevel.WARNING if report is None else LogLevel.INFO,
            server=server.id,
            running=None if report is None else report.running,
            queued=None if report is None else report.waiting,
        )
        self._scheduler.record_report(server, report)

    async def _request_report(self, server: BackendServer) -> Optional[EngineReport]:
        """Returns an engine's report; ``None`` if it did not answer as expected.

        Raises:
            NoPathError: The engine may be sound, but no VM has a path to it.

        """
        request = SmallRequest(b"GET", self._format.path, [(b"host", server.address.encode())])
        try:
            response = await self._calls.call(server, request, "report", REPORT_CONNECTION_IDLE)
            if response.status != 200:
                log_event("engine_report_refused", server=server.id, status=response.status)
                return None
            return self._format.parse(response.body)
        except NoPathError:
            raise
        except ServerUnreachableError as error:
            log_event("engine_unreachable", server=server.id, reason=str(error))
            return None
        except Exception as error:
            # Whatever is wrong with one engine's report, the others are requested.
            log_event("engine_report_unreadable", server=server.id, reason=repr(error))
            return None
