"""A bucket of a rate that can go into debt, and a meter of demand."""

import math
from dataclasses import dataclass


@dataclass
class DebtBucket:
    """Allows one more use while its level is positive; a large use leaves a debt to pay off.

    Over any period, uses are at most the rate times the period, plus the capacity, plus one use.
    """

    #: What may be used now; negative while in debt.
    level: float

    #: When the level was last brought up to date.
    updated_at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Adds what the rate has allowed since the last time, up to the capacity."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level = min(self.level + elapsed * rate, capacity)

    def seconds_until_positive(self, needed: float, rate: float) -> float:
        """Returns how long it takes until the level is at least ``needed``, in seconds."""
        if self.level >= needed:
            return 0.0
        return math.inf if rate <= 0 else (needed - self.level) / rate


@dataclass
class RateMeter:
    """An exponentially weighted average of a rate."""

    #: The window of the average, in seconds.
    window_seconds: float

    #: When the average was last brought up to date.
    updated_at: float

    #: The average, per second.
    average: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Notes a use."""
        self.read(now)
        self.average += amount / self.window_seconds

    def read(self, now: float) -> float:
        """Returns the average, per second."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.average *= math.exp(-elapsed / self.window_seconds)
        return self.average


#: The quick average of a demand runs over this part of the window of the slow one.
QUICK_WINDOW_PART = 0.25


@dataclass
class DemandMeter:
    """A demand that rises slowly, so that bursts do not count, and falls quickly when it ends."""

    #: The average over the whole window.
    slow: RateMeter

    #: The average over a part of it.
    quick: RateMeter

    @classmethod
    def starting(cls, window_seconds: float, now: float) -> "DemandMeter":
        """Returns a meter of no demand."""
        return cls(
            slow=RateMeter(window_seconds, now),
            quick=RateMeter(window_seconds * QUICK_WINDOW_PART, now),
        )

    def add(self, amount: float, now: float) -> None:
        """Notes a use."""
        self.slow.add(amount, now)
        self.quick.add(amount, now)

    def read(self, slack: float, now: float) -> float:
        """Returns the demand per second; ``slack`` is a demand too small to judge by its pauses."""
        return min(self.slow.read(now), 2.0 * self.quick.read(now) + slack)
