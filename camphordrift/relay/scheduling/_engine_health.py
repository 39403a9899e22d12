"""Decides from outcomes and reports whether an engine may get new requests.

An engine can be unusable in three ways that its directory entry does not show: it crashed, it fails
some of its requests, or it is occupied by requests that no VM tracks, such as those of VMs that
lost power. Reports of the engine tell the last case from the others, so that no caller's request
has to find out, and the engine is used again as soon as its unknown requests have ended.
"""

from typing import Optional

from camphordrift.relay.model import EngineReport

#: Backoff in seconds after an engine's first failure; each further failure in a row doubles it.
INITIAL_BACKOFF = 1.0

#: Backoff in seconds after an engine rejected a request; doubled in the same way.
REJECTION_BACKOFF = 0.3

#: Upper bound of the backoff in seconds.
MAX_BACKOFF = 8.0

#: Seconds after a backoff in which other engines are preferred. Without an end, an engine whose
#: failure is long past would never be used again for long prompts.
SUSPICION_PERIOD = 4.0

#: Seconds between two reports of one engine.
REPORT_INTERVAL = 0.5

#: Seconds for which reports are requested, and unanswered ones keep an engine in backoff. An engine
#: may be reachable for other VMs, so it gets a request after that.
MAX_INSPECTION_PERIOD = 15.0


class EngineHealth:
    """Tracks failures and reports of one engine; all times are seconds of one monotonic clock."""

    def __init__(self) -> None:
        #: Consecutive failures and rejections.
        self._failures = 0
        self._backoff_until = float("-inf")
        self._suspect_until = float("-inf")
        self._unknown_requests = 0
        #: When the next report is requested; ``None`` if none is needed. A new engine needs one, as
        #: it may run requests that were placed before this VM started.
        self._report_due_at: Optional[float] = float("-inf")
        self._inspection_ends_at = float("inf")

    def is_backing_off(self, now: float) -> bool:
        """Returns whether the engine gets no requests because of recent failures."""
        return now < self._backoff_until

    def is_suspect(self, now: float) -> bool:
        """Returns whether other engines are preferred to this one."""
        return now < self._suspect_until or self._unknown_requests > 0

    def is_report_due(self, now: float) -> bool:
        """Returns whether a report of the engine should be requested."""
        return self._report_due_at is not None and now >= self._report_due_at

    def record_report_requested(self, now: float) -> None:
        """Records that a report is being requested, so that it is not requested twice."""
        if self._inspection_ends_at == float("inf"):
            self._inspection_ends_at = now + MAX_INSPECTION_PERIOD
        self._report_due_at = now + REPORT_INTERVAL

    def record_report(self, report: Optional[EngineReport], tracked: int, now: float) -> None:
        """Records a report.

        Args:
            report: The report; ``None`` if the engine did not answer.
            tracked: Number of requests that are known to be on the engine.
            now: The current time.

        """
        if now >= self._inspection_ends_at:
            self._end_inspection()
        elif report is None:
            if self._failures:
                self._extend_backoff(now)
        elif report.running + report.waiting > tracked:
            self._unknown_requests = report.running + report.waiting - tracked
            if self.is_backing_off(now):
                self._extend_backoff(now)
        else:
            if self._unknown_requests:
                # The unknown requests explain why the engine did not respond.
                self._failures = 0
                self._backoff_until = self._suspect_until = now
            self._end_inspection()

    def record_response(self) -> None:
        """Records an event of a response, which shows that the engine works on new requests."""
        self._failures = 0
        self._unknown_requests = 0

    def record_failure(self, now: float) -> None:
        """Starts a backoff after the engine failed."""
        self._start_backoff(now, INITIAL_BACKOFF)
        self._suspect_until = self._backoff_until + SUSPICION_PERIOD
        self._report_due_at = now
        self._inspection_ends_at = now + MAX_INSPECTION_PERIOD

    def record_rejection(self, now: float) -> None:
        """Starts a backoff after a rejection.

        A rejecting engine has less free capacity than estimated, or is about to shut down.
        """
        self._start_backoff(now, REJECTION_BACKOFF)

    def record_success(self) -> None:
        """Resets the count of consecutive failures."""
        self._failures = 0

    def _start_backoff(self, now: float, initial: float) -> None:
        """Starts an exponential backoff with ``initial`` seconds."""
        backoff = min(MAX_BACKOFF, initial * 2**self._failures)
        self._failures += 1
        self._backoff_until = max(self._backoff_until, now + backoff)

    def _extend_backoff(self, now: float) -> None:
        """Keeps the engine in backoff until its next report."""
        self._backoff_until = max(self._backoff_until, now + 2 * REPORT_INTERVAL)
        self._suspect_until = max(self._suspect_until, self._backoff_until + SUSPICION_PERIOD)

    def _end_inspection(self) -> None:
        self._unknown_requests = 0
        self._report_due_at = None
