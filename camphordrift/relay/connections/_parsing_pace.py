"""Keeps the parsing of bodies in very small chunks from occupying the event loop."""

from typing import Optional

import trio

#: Parsed events, such as chunks of a body, after which other tasks get their turn.
EVENTS_PER_TURN = 64

#: Seconds between the turns of one connection. Its peer can then occupy only a part of the
#: processor, however small its chunks are.
TURN_PAUSE = 0.002

#: Seconds between the turns of all connections that share them, whatever their number.
SHARED_TURN_INTERVAL = 0.004

#: Bytes of a read for which one event costs nothing.
BYTES_PER_EVENT = 128


class TurnSchedule:
    """Spaces turns, so that those of many connections take no more time than those of one.

    Args:
        interval: Seconds between two turns.

    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._last = float("-inf")

    def reserve(self, now: float) -> float:
        """Returns the time of the next free turn, which is then taken."""
        self._last = max(now, self._last) + self._interval
        return self._last


class ParsingPace:
    """Counts the events that are parsed from one read of a connection, and pauses between turns.

    Reading from the connection gives other tasks their turn as well, so peers whose chunks are of
    usual sizes are never paused.

    Args:
        schedule: Spaces the turns; by default, only those of this connection.

    """

    def __init__(self, schedule: Optional[TurnSchedule] = None) -> None:
        self._schedule = TurnSchedule(TURN_PAUSE) if schedule is None else schedule
        self._events = 0

    @property
    def is_turn_over(self) -> bool:
        """Whether the next event must wait for a pause."""
        return self._events >= EVENTS_PER_TURN

    def record_event(self) -> None:
        """Records that an event was parsed."""
        self._events += 1

    def record_read(self) -> None:
        """Records that the connection was read."""
        self._events = 0

    def record_bytes(self, size: int) -> None:
        """Records that the connection was read, where many small reads must not avoid pauses."""
        self._events = max(0, self._events - max(1, size // BYTES_PER_EVENT))

    async def pause_between_turns(self) -> None:
        """Waits if the turn is over."""
        if self.is_turn_over:
            await trio.sleep_until(self._schedule.reserve(trio.current_time()))
            self._events = 0
