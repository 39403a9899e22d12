"""Exponential delay with jitter."""

import random
from dataclasses import dataclass
from typing import Optional


@dataclass(frozen=True)
class BackoffSettings:
    """The shape of the delays."""

    #: Upper bound of the first delay, in seconds; it doubles from attempt to attempt.
    initial_seconds: float = 0.05

    #: Largest upper bound, in seconds.
    maximum_seconds: float = 2.0

    def __post_init__(self) -> None:
        if not 0 < self.initial_seconds <= self.maximum_seconds:
            raise ValueError("first_seconds must be positive and at most longest_seconds")


class Backoff:
    """Draws delays uniformly up to a bound that doubles, so that retries of many do not align."""

    def __init__(self, settings: BackoffSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def delay_after(self, attempt: int, retry_after_seconds: Optional[float] = None) -> float:
        """Returns the delay in seconds after the given attempt, counted from 1.

        A server's own ``retry_after_seconds`` is a floor to which the jitter is added.
        """
        doubled = self._settings.initial_seconds * 2 ** min(attempt - 1, 30)
        bound = min(doubled, self._settings.maximum_seconds)
        return (retry_after_seconds or 0.0) + self._rng.uniform(0.0, bound)
