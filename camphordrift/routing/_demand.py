"""How much prefill each length band asks for, and how the engines are split by it."""

import math
from dataclasses import dataclass

from camphordrift.routing._policy import RoutingPolicy

#: Time constant of the average of short prompts, which are many, in seconds.
SHORT_AVERAGING_SECONDS = 10.0

#: Time constant of the average of longer prompts, which are few and large, in seconds.
LONG_AVERAGING_SECONDS = 60.0

#: A new meter counts as if it had run for this time, in seconds.
MIN_HISTORY_SECONDS = 3.0

#: Until the demand has been watched for this time, half of the engines are kept for either side.
WARM_UP_SECONDS = 10.0


class DemandMeter:
    """Averages the prefill asked for by each length band, in engine seconds a second.

    The average is corrected for the time before the first ask, so that it is right from the start.
    """

    def __init__(self, band_count: int) -> None:
        bulk = [LONG_AVERAGING_SECONDS] * (band_count - 1)
        self._time_constants = [SHORT_AVERAGING_SECONDS, *bulk]
        self._sums = [0.0] * band_count
        self._updated_at = -math.inf
        self._history = 0.0

    def add(self, band: int, prefill_seconds: float, now: float) -> None:
        """Counts an ask."""
        self._decay(now)
        self._sums[band] += prefill_seconds

    def history_seconds(self, now: float) -> float:
        """Returns the time since the first ask."""
        self._decay(now)
        return self._history

    def rate(self, band: int, now: float) -> float:
        """Returns the engines that the band keeps busy."""
        self._decay(now)
        time_constant = self._time_constants[band]
        history = max(self._history, MIN_HISTORY_SECONDS)
        return self._sums[band] / (time_constant * (1.0 - math.exp(-history / time_constant)))

    def rate_above(self, band: int, now: float) -> float:
        """Returns the engines that the longer bands keep busy."""
        return sum(self.rate(each, now) for each in range(band + 1, len(self._sums)))

    def rate_below(self, band: int, now: float) -> float:
        """Returns the engines that the shorter bands keep busy."""
        return sum(self.rate(each, now) for each in range(band))

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._updated_at = now
        if math.isinf(elapsed):
            return
        self._history += elapsed
        self._sums = [
            amount * math.exp(-elapsed / time_constant)
            for amount, time_constant in zip(self._sums, self._time_constants, strict=True)
        ]


@dataclass(frozen=True)
class Split:
    """How the engines of a pool, in the order of their ids, are divided."""

    #: Engines before this index are not given to longer prompts, or no such prompt asks.
    protected_end: int

    #: Short prompts are placed on the engines before this index.
    short_end: int

    #: Longer prompts are placed on the engines from this index on; it may lie before
    #: ``short_until`` while many of them wait.
    long_start: int


def split_engines(
    policy: RoutingPolicy,
    demand: DemandMeter,
    urgent_long: float,
    engine_count: int,
    now: float,
) -> Split:
    """Returns the division that the demand asks for.

    Longer prompts get the engines that their demand fills up to ``bulk_share``; short prompts the
    rest, and at least so many that their own prefill takes no more than ``short_share`` of each.
    ``bulk_pressure`` counts the longer prompts that have waited long; for each they get one engine
    more, but never those that short prompts need at least.
    """
    min_short = math.ceil(demand.rate(0, now) / policy.short_share)
    bulk = math.ceil(demand.rate_above(0, now) / policy.long_share)
    if demand.history_seconds(now) < WARM_UP_SECONDS:
        bulk = max(bulk, engine_count // 2)
    extra_long = math.floor(urgent_long)
    boundary = _bounded(max(engine_count - bulk, min_short), engine_count)
    long_start = _bounded(max(boundary - extra_long, min_short), engine_count)
    short_end = boundary - policy.boundary_engines if bulk else boundary
    short_end = _bounded(max(short_end, min_short), engine_count)
    no_long_demand = demand.rate_above(0, now) == 0.0
    return Split(
        protected_end=short_end if no_long_demand else _bounded(min_short, engine_count),
        short_end=short_end,
        long_start=min(boundary, long_start),
    )


def _bounded(count: int, engine_count: int) -> int:
    """Leaves each side an engine, if there are two."""
    return max(min(1, engine_count - 1), min(count, engine_count - 1))
