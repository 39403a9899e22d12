"""Measures the prefill demand of each length band and splits the engines accordingly."""

import math
from dataclasses import dataclass

from camphordrift.routing._policy import RoutingPolicy

#: Time constant in seconds of the moving average for short prompts, which are frequent.
SHORT_AVERAGING_SECONDS = 10.0

#: Time constant in seconds of the moving average for long prompts, which are rare and large.
LONG_AVERAGING_SECONDS = 60.0

#: Minimum number of seconds over which a new meter averages, even if it has measured for less.
MIN_HISTORY_SECONDS = 3.0

#: Seconds of measurement until which long prompts get at least half of the engines.
WARM_UP_SECONDS = 10.0


class DemandMeter:
    """Exponential moving average of each length band's prefill, in engine seconds per second.

    The average is corrected for the time before the first request, so that it has no bias at the
    start.
    """

    def __init__(self, band_count: int) -> None:
        long_constants = [LONG_AVERAGING_SECONDS] * (band_count - 1)
        self._time_constants = [SHORT_AVERAGING_SECONDS, *long_constants]
        self._sums = [0.0] * band_count
        self._updated_at = -math.inf
        self._history = 0.0

    def add(self, band: int, prefill_seconds: float, now: float) -> None:
        """Adds the prefill of a request."""
        self._decay(now)
        self._sums[band] += prefill_seconds

    def history_seconds(self, now: float) -> float:
        """Returns the seconds since the first request."""
        self._decay(now)
        return self._history

    def rate(self, band: int, now: float) -> float:
        """Returns the average number of engines that the band keeps busy."""
        self._decay(now)
        time_constant = self._time_constants[band]
        history = max(self._history, MIN_HISTORY_SECONDS)
        return self._sums[band] / (time_constant * (1.0 - math.exp(-history / time_constant)))

    def rate_above(self, band: int, now: float) -> float:
        """Returns the average number of engines that the bands longer than ``band`` keep busy."""
        return sum(self.rate(each, now) for each in range(band + 1, len(self._sums)))

    def rate_below(self, band: int, now: float) -> float:
        """Returns the average number of engines that the bands shorter than ``band`` keep busy."""
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
class EngineSplit:
    """Divides a pool's engines, in the order of their ids, between short and long prompts.

    Short prompts use the engines at the front, long prompts those at the back.
    """

    #: Long prompts need not be expected on engines before this index: these engines are kept for
    #: short prompts, or there is no demand for long ones.
    protected_end: int

    #: Short prompts prefer the engines before this index.
    short_end: int

    #: Long prompts are placed only on the engines at this index and after it. It may be below
    #: ``short_end`` while long prompts are urgent.
    long_start: int


def split_engines(
    policy: RoutingPolicy,
    demand: DemandMeter,
    urgent_long_count: float,
    engine_count: int,
    now: float,
) -> EngineSplit:
    """Returns the split of the engines for the measured demand.

    Long prompts get enough engines that their prefill takes at most ``long_share`` of the time.
    Short prompts get the rest, but at least enough engines that their prefill takes at most
    ``short_share`` of the time. Long prompts get one more engine for each of ``urgent_long_count``
    urgent long prompts, but not from the minimum for short prompts.
    """
    min_short = math.ceil(demand.rate(0, now) / policy.short_share)
    long_count = math.ceil(demand.rate_above(0, now) / policy.long_share)
    if demand.history_seconds(now) < WARM_UP_SECONDS:
        long_count = max(long_count, engine_count // 2)
    extra_long = math.floor(urgent_long_count)
    boundary = _bounded(max(engine_count - long_count, min_short), engine_count)
    long_start = _bounded(max(boundary - extra_long, min_short), engine_count)
    short_end = boundary - policy.boundary_engines if long_count else boundary
    short_end = _bounded(max(short_end, min_short), engine_count)
    no_long_demand = demand.rate_above(0, now) == 0.0
    return EngineSplit(
        protected_end=short_end if no_long_demand else _bounded(min_short, engine_count),
        short_end=short_end,
        long_start=min(boundary, long_start),
    )


def _bounded(count: int, engine_count: int) -> int:
    """Limits the count so that each side has at least one engine, if there are two."""
    return max(min(1, engine_count - 1), min(count, engine_count - 1))
