"""Tests of the metrics and their rendering."""

import re
import threading
from pathlib import Path

import testtools
import trio

from camphordrift.telemetry import Metrics, ObservedGauge, measure_loop_lag, render_metrics
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
