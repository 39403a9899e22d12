"""How much prefill each length band asks for, and how the engines are split by it."""

import math
from dataclasses import dataclass

from camphordrift.routing._policy import RoutingPolicy

#: Time constant of the average of short prompts, which are many, in seconds.
SHORT_AVERAGING_SECONDS = 10.0

#: Time constant of the average of longer prompts, which are few and large, in seconds.
BULK_AVERAGING_SECONDS = 60.0

#: A new meter counts as if it had run for this time, in seconds.
LEAST_HISTORY_SECONDS = 3.0

#: Until the demand has been watched for this time, half of the engines are kept for either side.
UNKNOWN_DEMAND_SECONDS = 10.0


class DemandMeter:
    """Averages the prefill asked for by each length band, in engine seconds a second.

    The average is corrected for the time before the first ask, so that it is right from the start.
    """

    def __init__(self, band_count: int) -> None:
        bulk = [BULK_AVERAGING_SECONDS] * (band_count - 1)
        self._constants = [SHORT_AVERAGING_SECONDS, *bulk]
        self._sums = [0.0] * band_count
        self._clock = -math.inf
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
        constant = self._constants[band]
        history = max(self._history, LEAST_HISTORY_SECONDS)
        return self._sums[band] / (constant * (1.0 - math.exp(-history / constant)))

    def rate_above(self, band: int, now: float) -> float:
        """Returns the engines that the longer bands keep busy."""
        return sum(self.rate(each, now) for each in range(band + 1, len(self._sums)))

    def rate_below(self, band: int, now: float) -> float:
        """Returns the engines that the shorter bands keep busy."""
        return sum(self.rate(each, now) for each in range(band))

    def _decay(self, now: float) -> None:
        elapsed = now - self._clock
        if elapsed <= 0.0:
            return
        self._clock = now
        if math.isinf(elapsed):
            return
        self._history += elapsed
        self._sums = [
            amount * math.exp(-elapsed / constant)
            for amount, constant in zip(self._sums, self._constants, strict=True)
        ]


@dataclass(frozen=True)
class Split:
    """How the engines of a pool, in the order of their ids, are divided."""

    #: Engines before this index are not given to longer prompts, or no such prompt asks.
    protected_until: int

    #: Short prompts are placed on the engines before this index.
    short_until: int

    #: Longer prompts are placed on the engines from this index on; it may lie before
    #: ``short_until`` while many of them wait.
    bulk_from: int


def split_engines(
    policy: RoutingPolicy,
    demand: DemandMeter,
    bulk_pressure: float,
    engine_count: int,
    now: float,
) -> Split:
    """Returns the division that the demand asks for.

    Longer prompts get the engines that their demand fills up to ``bulk_share``; short prompts the
    rest, and at least so many that their own prefill takes no more than ``short_share`` of each.
    ``bulk_pressure`` counts the longer prompts that have waited long; for each they get one engine
    more, but never those that short prompts need at least.
    """
    least = math.ceil(demand.rate(0, now) / policy.short_share)
    bulk = math.ceil(demand.rate_above(0, now) / policy.bulk_share)
    if demand.history_seconds(now) < UNKNOWN_DEMAND_SECONDS:
        bulk = max(bulk, engine_count // 2)
    borrowed = math.floor(bulk_pressure)
    border = _bounded(max(engine_count - bulk, least), engine_count)
    bulk_from = _bounded(max(border - borrowed, least), engine_count)
    short_until = border - policy.border_engines if bulk else border
    short_until = _bounded(max(short_until, least), engine_count)
    none_asks = demand.rate_above(0, now) == 0.0
    return Split(
        protected_until=short_until if none_asks else _bounded(least, engine_count),
        short_until=short_until,
        bulk_from=min(border, bulk_from),
    )


def _bounded(count: int, engine_count: int) -> int:
    """Leaves each side an engine, if there are two."""
    return max(min(1, engine_count - 1), min(count, engine_count - 1))
