"""A moment by the monotonic clock and by the wall clock."""

from dataclasses import dataclass


@dataclass(frozen=True)
class TwoClocks:
    """One moment by both clocks of a process.

    On a VM that was paused one of them may have stood still, and the wall clock may have been set
    back, so a limit is past as soon as either clock says so.
    """

    #: Seconds of the monotonic clock.
    monotonic: float

    #: Seconds since 1970.
    wall: float

    def plus(self, seconds: float) -> "TwoClocks":
        """Returns the moment that many seconds later."""
        return TwoClocks(monotonic=self.monotonic + seconds, wall=self.wall + seconds)

    def is_past(self, limit: "TwoClocks") -> bool:
        """Whether either clock has reached ``limit``."""
        return self.monotonic >= limit.monotonic or self.wall >= limit.wall
