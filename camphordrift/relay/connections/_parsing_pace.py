"""Keeps the parsing of a body in very small chunks from occupying the event loop."""

import trio

#: Parsed events, such as chunks of a body, after which other tasks get their turn.
EVENTS_PER_TURN = 64

#: Seconds between the turns of one connection. Its peer can then occupy only a part of the
#: processor, however small its chunks are.
TURN_PAUSE = 0.002


class ParsingPace:
    """Counts the events that are parsed from one read of a connection, and pauses between turns.

    Reading from the connection gives other tasks their turn as well, so peers whose chunks are of
    usual sizes are never paused.
    """

    def __init__(self) -> None:
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

    async def pause_between_turns(self) -> None:
        """Waits if the turn is over."""
        if self.is_turn_over:
            await trio.sleep(TURN_PAUSE)
            self._events = 0
