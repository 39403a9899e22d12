"""Derives from an attempt whether the traits of its request are sound or may crash servers."""

from camphordrift.relay.model import BackendServer
from camphordrift.relay.peers import CrashMonitor
from camphordrift.relay.requests._attempt import Answered, AttemptResult, Broken, Streamed
from camphordrift.relay.requests._request_progress import RequestProgress

#: Events of a stream after which it counts as established: the server did not crash when it began
#: to write the response.
ESTABLISHING_EVENTS = 3


class AttemptEvidence:
    """Records evidence of one attempt to send a request to a server.

    Args:
        monitor: Gets the evidence.
        progress: State of the request.
        server: The server.

    """

    def __init__(
        self, monitor: CrashMonitor, progress: RequestProgress, server: BackendServer
    ) -> None:
        self._monitor = monitor
        self._progress = progress
        self._server = server
        self._events = 0

    def record_events(self, count: int) -> None:
        """Records events of the response."""
        before, self._events = self._events, self._events + count
        if before < ESTABLISHING_EVENTS <= self._events:
            self._record_established()

    def record_result(self, result: AttemptResult) -> None:
        """Records the result of the attempt."""
        match result:
            case Streamed() if self._events:
                self._record_established()
            case Answered(status) if status < 500:
                self._record_established()
            case Broken(connection_closed=True) if not self._progress.is_established:
                self._monitor.record_crash(self._progress.traits, self._server)

    def _record_established(self) -> None:
        self._progress.is_established = True
        self._monitor.record_sound(self._progress.traits)
