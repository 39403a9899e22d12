"""Measures the lag of the event loop, the first sign of an overloaded VM."""

import trio

from camphordrift.telemetry._metrics import Metrics

#: Time between two measurements, in seconds.
LOOP_LAG_PERIOD_SECONDS = 1.0


async def measure_loop_lag(metrics: Metrics) -> None:
    """Records how late a periodic timer fires. Runs until cancelled."""
    while True:
        due = trio.current_time() + LOOP_LAG_PERIOD_SECONDS
        await trio.sleep_until(due)
        metrics.loop_lag_seconds.record(max(0.0, trio.current_time() - due))
