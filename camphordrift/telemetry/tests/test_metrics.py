"""Tests of the metrics and their rendering."""

import re
import subprocess
import sys
import threading
from pathlib import Path

import testtools
import trio

from camphordrift.telemetry import (
    InstrumentRegistry,
    Metrics,
    ObservedGauge,
    measure_loop_lag,
    render_metrics,
)
from camphordrift.telemetry._metrics import MAX_KEPT_DURATIONS
from camphordrift.testing import run_in_virtual_time


class MetricsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = Metrics("oliwa-1")
        self.addCleanup(self.metrics.close)

    def test_rendered_text_has_the_recorded_values(self) -> None:
        self.metrics.requests.add(interface="chat", code="0")
        self.metrics.requests.add(2, interface="chat", code="0")
        self.metrics.first_token_seconds.record(0.03, band="1k")
        text = render_metrics(self.metrics).decode()
        self.assertIn('camphordrift_requests_total{code="0",interface="chat"} 3.0', text)
        self.assertIn('camphordrift_first_token_seconds_bucket{band="1k",le="0.05"} 1.0', text)

    def test_two_vms_in_one_process_do_not_share_counts(self) -> None:
        other = Metrics("oliwa-2")
        self.addCleanup(other.close)
        self.metrics.refusals.add(interface="booking-office")
        self.assertNotIn(b"camphordrift_refusals_total{", other.render())

    def test_gauges_are_read_when_the_metrics_are_rendered(self) -> None:
        waiting = [1]
        self.metrics.observe(ObservedGauge.ASKS_WAITING, lambda: len(waiting))
        self.metrics.observe(ObservedGauge.READY, lambda: 1 // 0)
        self.assertIn(b"camphordrift_asks_waiting 1.0", self.metrics.render())
        waiting.append(2)
        text = self.metrics.render()
        self.assertIn(b"camphordrift_asks_waiting 2.0", text)
        self.assertNotIn(b"camphordrift_ready", text)

    def test_no_thread_is_started(self) -> None:
        # A worker thread of an earlier test in this process may not have ended yet.
        before = set(threading.enumerate())
        metrics = Metrics("oliwa-3")
        self.addCleanup(metrics.close)
        metrics.requests.add(interface="chat", code="0")
        metrics.render()
        self.assertEqual(set(), set(threading.enumerate()) - before)

    def test_every_instrument_is_used_by_the_program(self) -> None:
        package = Path(__file__).parents[2]
        own = package / "telemetry"
        sources = [
            path.read_text(encoding="utf-8")
            for path in package.rglob("*.py")
            if "tests" not in path.parts and path.parent != own
        ]
        sources.append((own / "_loop_lag.py").read_text(encoding="utf-8"))
        text = "\n".join(sources)
        names = {item.name for item in self.metrics.descriptions if item.kind != "level"}
        for name in names:
            self.assertTrue(re.search(rf"metrics\.{name}\.(add|record)\(", text), name)
        for gauge in ObservedGauge:
            self.assertTrue(f"ObservedGauge.{gauge.name}," in text, gauge.name)

    def test_loop_lag_is_measured(self) -> None:
        async def main() -> None:
            with trio.move_on_after(3.5):
                await measure_loop_lag(self.metrics)

        run_in_virtual_time(main)
        self.assertIn(b"camphordrift_loop_lag_seconds_count 3.0", self.metrics.render())

    def test_every_instrument_is_described_once(self) -> None:
        names = [item.name for item in self.metrics.descriptions]
        self.assertEqual(sorted(set(names)), sorted(names))


class LateLoadingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = InstrumentRegistry("oliwa-1")
        self.addCleanup(self.metrics.close)

    def test_the_relay_starts_without_opentelemetry(self) -> None:
        program = (
            "import sys, camphordrift.platform._program;"
            "print([name for name in sys.modules if 'telemetry.sdk' in name])"
        )
        result = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual("[]", result.stdout.strip())

    def test_creating_instruments_loads_nothing(self) -> None:
        self.metrics.counter("visits", "Visits.").add()
        self.assertFalse(self.metrics.is_loaded)

    def test_what_was_recorded_before_the_loading_is_rendered(self) -> None:
        visits = self.metrics.counter("visits", "Visits.")
        visits.add(2, zone="oliwa")
        visits.add(3, zone="oliwa")
        self.metrics.seconds_histogram("stay_seconds", "Stays.").record(0.03, zone="oliwa")
        self.metrics.gauge("guests", "Guests.", lambda: 7)
        text = self.metrics.render().decode()
        self.assertIn('camphordrift_visits_total{zone="oliwa"} 5.0', text)
        self.assertIn('camphordrift_stay_seconds_bucket{le="0.05",zone="oliwa"} 1.0', text)
        self.assertIn("camphordrift_guests 7.0", text)

    def test_records_before_and_after_the_loading_are_summed_up(self) -> None:
        visits = self.metrics.counter("visits", "Visits.")
        stays = self.metrics.seconds_histogram("stay_seconds", "Stays.")
        for _ in range(2):
            visits.add()
            stays.record(1.0)
            text = self.metrics.render().decode()
        self.assertIn("camphordrift_visits_total 2.0", text)
        self.assertIn("camphordrift_stay_seconds_count 2.0", text)

    def test_an_instrument_created_after_the_loading_is_rendered(self) -> None:
        self.metrics.load()
        self.metrics.counter("visits", "Visits.").add()
        self.assertIn(b"camphordrift_visits_total 1.0", self.metrics.render())

    def test_many_kept_durations_cause_the_loading(self) -> None:
        stays = self.metrics.seconds_histogram("stay_seconds", "Stays.")

        async def main() -> tuple[bool, bool]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.metrics.load_when_needed)
                for _ in range(MAX_KEPT_DURATIONS - 1):
                    stays.record(1.0)
                await trio.sleep(10.0)
                loaded_before = self.metrics.is_loaded
                stays.record(1.0)
            return loaded_before, self.metrics.is_loaded

        self.assertEqual((False, True), run_in_virtual_time(main))
        count = f"camphordrift_stay_seconds_count {MAX_KEPT_DURATIONS}.0"
        self.assertIn(count, self.metrics.render().decode())
