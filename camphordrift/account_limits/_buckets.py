"""A token bucket that can go into debt, and meters of demand."""

import math
from dataclasses import dataclass


@dataclass
class DebtBucket:
    """A token bucket that admits a use of any size while its level is positive.

    A use larger than the level makes the level negative; the bucket then admits nothing until the
    refill has made it positive again. Over any period, the uses sum up to at most the rate times
    the period, plus the capacity, plus one use.
    """

    #: Available amount; negative after a use that was larger than the level.
    level: float

    #: Time of the last refill, in seconds of the caller's clock.
    updated_at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Adds the amount accrued at ``rate`` since the last refill, up to ``capacity``."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level = min(self.level + elapsed * rate, capacity)

    def seconds_until_positive(self, needed: float, rate: float) -> float:
        """Returns the seconds until the level is at least ``needed``; infinite if ``rate`` is 0."""
        if self.level >= needed:
            return 0.0
        return math.inf if rate <= 0 else (needed - self.level) / rate


@dataclass
class RateMeter:
    """An exponentially weighted average of a rate."""

    #: Time constant of the exponential decay in seconds.
    window_seconds: float

    #: Time of the last update, in seconds of the caller's clock.
    updated_at: float

    #: The average, per second.
    average: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Records a use of ``amount``, which raises the average by ``amount / window_seconds``."""
        self.read(now)
        self.average += amount / self.window_seconds

    def read(self, now: float) -> float:
        """Decays the average up to ``now`` and returns it, per second."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.average *= math.exp(-elapsed / self.window_seconds)
        return self.average


#: Window of the fast average of a :class:`DemandMeter`, as a fraction of its slow average's window.
FAST_WINDOW_FRACTION = 0.25


@dataclass
class DemandMeter:
    """Measures a demand per second with a slow and a fast average.

    The reading rises slowly, so that short bursts do not count, and falls quickly once uses end.
    """

    #: The average over the full window.
    slow: RateMeter

    #: The average over ``FAST_WINDOW_FRACTION`` of the window.
    fast: RateMeter

    @classmethod
    def with_window(cls, window_seconds: float, now: float) -> "DemandMeter":
        """Returns a meter that has measured no demand yet."""
        return cls(
            slow=RateMeter(window_seconds, now),
            fast=RateMeter(window_seconds * FAST_WINDOW_FRACTION, now),
        )

    def add(self, amount: float, now: float) -> None:
        """Records a use of ``amount`` in both averages."""
        self.slow.add(amount, now)
        self.fast.add(amount, now)

    def read(self, slack: float, now: float) -> float:
        """Returns the demand per second.

        ``slack`` is a demand per second below which a gap between uses does not mean that the
        demand has fallen.
        """
        return min(self.slow.read(now), 2.0 * self.fast.read(now) + slack)
