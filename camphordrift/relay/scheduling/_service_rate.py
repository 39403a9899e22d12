"""How fast engines have served requests of one kind lately."""

from collections import deque
from typing import Optional

#: Seconds over which ended requests are counted. They span several generations of requests, which
#: occupy a slot for a few seconds.
WINDOW_SECONDS = 10.0

#: Minimum number of ended requests from which a rate is estimated.
MIN_ENDED_REQUESTS = 10


class ServiceRate:
    """Estimates the engine time that requests of one kind get in a second.

    It is the higher one of two estimates, so that a wait is rather taken for too short: that of the
    requests that have ended lately, and that of the placed ones if they last as long as those did.
    The first one is too low while many requests that began together are still running.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        #: Time of the end, engine seconds, and seconds on the engine of each ended request.
        self._ended: deque[tuple[float, float, float]] = deque()
        self._ended_work = 0.0
        self._ended_durations = 0.0
        self._placed_work = 0.0

    def restart(self, now: float) -> None:
        """Forgets the requests that have ended, as more requests will be counted from now on."""
        self._since = now
        self._ended.clear()
        self._ended_work = self._ended_durations = 0.0

    def record_placed(self, engine_seconds: float) -> None:
        """Records a request that was placed."""
        self._placed_work += engine_seconds

    def record_ended(self, engine_seconds: float, duration: float, now: float) -> None:
        """Records the end of a request that was placed ``duration`` seconds ago."""
        self._placed_work -= engine_seconds
        self._ended.append((now, engine_seconds, duration))
        self._ended_work += engine_seconds
        self._ended_durations += duration
        self._drop_old(now)

    def estimate(self, now: float) -> Optional[float]:
        """Returns the engine seconds served in a second; ``None`` if too little is known."""
        self._drop_old(now)
        count = len(self._ended)
        if count < MIN_ENDED_REQUESTS or now - self._since < WINDOW_SECONDS:
            return None
        durations = self._ended_durations
        turnover = self._placed_work * count / durations if durations > 0 else float("inf")
        return max(self._ended_work / WINDOW_SECONDS, turnover)

    def _drop_old(self, now: float) -> None:
        while self._ended and self._ended[0][0] < now - WINDOW_SECONDS:
            _, engine_seconds, duration = self._ended.popleft()
            self._ended_work -= engine_seconds
            self._ended_durations -= duration
