"""Decides whether a stream is too slow to be complete before its deadline.

Load: an engine turns slow while streams run on it, and other engines have room. The scheduler
notices from new streams, but the running ones would stay until their deadlines end them.
"""

from collections import deque

#: Number of latest gaps between events from which the pace is estimated. The shortest of them
#: counts, as prefill beside the stream lengthens single gaps. Events that arrive together share
#: their gap: a busy VM reads several at once.
RECENT_GAPS = 4


class StreamPace:
    """The pace of one attempt of a streamed response.

    Args:
        expected_events: Estimated number of events from the beginning of the attempt to the end of
            the response.

    """

    def __init__(self, expected_events: int) -> None:
        self._events_left = expected_events
        self._gaps: deque[float] = deque(maxlen=RECENT_GAPS)

    @property
    def recent_gap(self) -> float:
        """Shortest of the latest gaps in seconds; 0 while there are too few."""
        return min(self._gaps) if len(self._gaps) == RECENT_GAPS else 0.0

    def record_gap(self, gap: float, event_count: int) -> None:
        """Records the seconds between two arrivals of events, and how many the later one had."""
        self._gaps.append(gap / event_count)
        self._events_left = max(0, self._events_left - event_count)

    def misses_deadline(self, time_left: float) -> bool:
        """Returns whether the response takes longer than ``time_left`` seconds at this pace."""
        return self._events_left * self.recent_gap > time_left
