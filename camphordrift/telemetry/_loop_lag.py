"""Measures the lag of the event loop, which grows first when a VM is overloaded."""

import trio

from camphordrift.telemetry._metrics import Metrics

#: Seconds between two measurements.
LOOP_LAG_PERIOD_SECONDS = 1.0


async def measure_loop_lag(metrics: Metrics) -> None:
    """Periodically records how late a timer fires, until cancelled."""
    while True:
        due = trio.current_time() + LOOP_LAG_PERIOD_SECONDS
        await trio.sleep_until(due)
        metrics.loop_lag_seconds.record(max(0.0, trio.current_time() - due))
