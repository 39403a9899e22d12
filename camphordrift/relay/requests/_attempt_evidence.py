"""Derives from an attempt whether the traits of its request are sound or may crash servers."""

from camphordrift.relay.model import BackendServer
from camphordrift.relay.peers import CrashMonitor
from camphordrift.relay.requests._attempt import Answered, AttemptResult, Broken, Streamed
from camphordrift.relay.requests._crash_checks import CrashChecks
from camphordrift.relay.requests._request_progress import RequestProgress

#: Events of a stream after which it counts as established: the server did not crash when it began
#: to write the response. It may still crash later.
ESTABLISHING_EVENTS = 3


class AttemptEvidence:
    """Records evidence of one attempt to send a request to a server.

    Only a complete response shows that a request is sound, as a server may crash at any time after
    it began to write. A resumed stream shows it only if it was longer than the attempts before,
    because the server may have had too little left to write.

    Args:
        monitor: Gets the evidence that the request is sound.
        checks: Finds out whether a server that ended the connection has crashed.
        progress: State of the request.
        server: The server.

    """

    def __init__(
        self,
        monitor: CrashMonitor,
        checks: CrashChecks,
        progress: RequestProgress,
        server: BackendServer,
    ) -> None:
        self._monitor = monitor
        self._checks = checks
        self._progress = progress
        self._server = server
        self._events = 0

    def record_events(self, count: int) -> None:
        """Records events of the response."""
        self._events += count
        if self._events >= ESTABLISHING_EVENTS:
            self._progress.is_established = True

    def record_result(self, result: AttemptResult) -> None:
        """Records the result of the attempt."""
        match result:
            case Streamed() if self._events and self._is_longest_attempt():
                self._monitor.record_sound(self._progress.traits)
            case Answered(status) if status < 500:
                self._monitor.record_sound(self._progress.traits)
            case Broken(connection_closed=True):
                self._progress.most_events_before_crash = max(
                    self._progress.most_events_before_crash, self._events
                )
                self._checks.suspect(self._server, self._progress.traits)

    def _is_longest_attempt(self) -> bool:
        if self._progress.metadata.last_event_id is not None:
            # Attempts of an earlier request of the caller may have been longer.
            return False
        return self._events > self._progress.most_events_before_crash
