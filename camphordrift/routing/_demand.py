"""How much prefill each length band asks for, and how many engines short prompts get."""

import math

from camphordrift.routing._policy import RoutingPolicy

#: Time constant of the average, in seconds.
AVERAGING_SECONDS = 20.0


class DemandMeter:
    """Averages the prefill asked for by each length band, in engine seconds a second."""

    def __init__(self, band_count: int) -> None:
        self._rates = [0.0] * band_count
        self._clock = 0.0

    def add(self, band: int, prefill_seconds: float, now: float) -> None:
        """Counts an ask."""
        self._decay(now)
        self._rates[band] += prefill_seconds / AVERAGING_SECONDS

    def rate(self, band: int, now: float) -> float:
        """Returns the engines that the band keeps busy."""
        self._decay(now)
        return self._rates[band]

    def rate_above(self, band: int, now: float) -> float:
        """Returns the engines that the longer bands keep busy."""
        self._decay(now)
        return sum(self._rates[band + 1 :])

    def rate_below(self, band: int, now: float) -> float:
        """Returns the engines that the shorter bands keep busy."""
        self._decay(now)
        return sum(self._rates[:band])

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._clock) / AVERAGING_SECONDS)
        self._clock = max(now, self._clock)
        self._rates = [rate * factor for rate in self._rates]


def engines_kept_for_short(
    policy: RoutingPolicy, demand: DemandMeter, engine_count: int, now: float
) -> int:
    """Returns how many engines must be free of longer prompts' prefill.

    Short prompts get what the longer ones do not need, within bounds that follow from their own
    demand: enough engines that their prefill fills none beyond ``short_share_high``, and no more
    than where it fills ``short_share_low``.
    """
    short = demand.rate(0, now)
    spare = engine_count - demand.rate_above(0, now) / policy.bulk_share
    least = short / policy.short_share_high
    most = short / policy.short_share_low
    kept = math.floor(min(max(spare, least), most))
    return max(min(1, engine_count - 1), min(kept, engine_count - 1))
