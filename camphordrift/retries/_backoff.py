"""Exponential backoff with jitter."""

import random
from dataclasses import dataclass
from typing import Optional


@dataclass(frozen=True)
class BackoffSettings:
    """Bounds of the backoff; raises ``ValueError`` if they are inconsistent."""

    #: Upper bound in seconds of the first delay; it doubles with each attempt.
    initial_seconds: float = 0.05

    #: Seconds above which the upper bound is not doubled any further.
    maximum_seconds: float = 2.0

    def __post_init__(self) -> None:
        if not 0 < self.initial_seconds <= self.maximum_seconds:
            raise ValueError("initial_seconds must be positive and at most maximum_seconds")


class Backoff:
    """Draws random delays, so that callers whose requests failed together do not retry together.

    The delays are uniformly distributed between 0 and a bound that doubles with each attempt.
    """

    def __init__(self, settings: BackoffSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def delay_after(self, attempt: int, retry_after_seconds: Optional[float] = None) -> float:
        """Returns the delay in seconds after attempt number ``attempt``, from 1.

        A ``retry_after_seconds`` of the server is the minimum, to which the random delay is added.
        """
        doubled = self._settings.initial_seconds * 2 ** min(attempt - 1, 30)
        bound = min(doubled, self._settings.maximum_seconds)
        return (retry_after_seconds or 0.0) + self._rng.uniform(0.0, bound)
