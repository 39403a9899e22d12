"""A moment as read from the monotonic clock and from the wall clock."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ClockReading:
    """One moment, read from both clocks of a process.

    While a VM is paused one of the clocks may stop, and the wall clock may be set back. A deadline
    has therefore passed as soon as either clock has reached it.
    """

    #: Seconds by the monotonic clock.
    monotonic: float

    #: Seconds since 1970 by the wall clock.
    wall: float

    def plus(self, seconds: float) -> "ClockReading":
        """Returns the reading ``seconds`` later, or earlier if ``seconds`` is negative."""
        return ClockReading(monotonic=self.monotonic + seconds, wall=self.wall + seconds)

    def is_past(self, limit: "ClockReading") -> bool:
        """Returns whether either clock has reached ``limit``."""
        return self.monotonic >= limit.monotonic or self.wall >= limit.wall
