"""Tests of the capacity page and of its figures."""

import testtools

from camphordrift.documents._capacity_figures import Estimate, Figures, format_size, number
from camphordrift.documents._capacity_page import capacity_text, committed_measurements
from camphordrift.experiments import (
    CAPACITY_EXPERIMENTS,
    Line,
    Machine,
    Measurements,
    Point,
    Series,
)
from camphordrift.resident_memory import MemoryStep


def figures() -> Figures:
    points = (Point(1.0, 5.0), Point(2.0, 7.0), Point(4.0, 11.0))
    series = Series("cost", "what", "VMs", "bytes", points)
    machine = Machine(10, "3.11", "Linux x86_64", 1.5)
    steps = (MemoryStep("trio", 1_000),)
    return Figures(Measurements("run", "today", machine, steps, (series,)))


class NumberTest(testtools.TestCase):
    def test_three_significant_digits_are_shown(self) -> None:
        cases = {0.0: "0", -1e-15: "0", 0.012345: "0.0123", 2.0: "2", 17_037.0: "17,000"}
        for value, shown in cases.items():
            self.assertEqual(shown, number(value))

    def test_bytes_have_decimal_units(self) -> None:
        cases = {12.0: "12 B", 4_000.0: "4 KB", 32e6: "32 MB", 34e9: "34 GB"}
        for value, shown in cases.items():
            self.assertEqual(shown, format_size(value))


class EstimateTest(testtools.TestCase):
    def test_estimate_notes_whether_it_is_extrapolated(self) -> None:
        inside, beyond = figures().at("cost", 3.0), figures().at("cost", 40.0)
        self.assertAlmostEqual(9.0, inside.value)
        self.assertAlmostEqual(83.0, beyond.value)
        self.assertIn("inside the measured range", inside.steps)
        self.assertIn("extrapolated to 10 times the largest point", beyond.steps)

    def test_a_slope_shown_as_zero_has_no_sign(self) -> None:
        # Guards against a page that depends on the rounding errors of the processor.
        series = figures().at("cost", 3.0).series
        for slope, shown in (
            (-1e-15, "165 + 0 × "),
            (1e-15, "165 + 0 × "),
            (0.0, "165 + 0 × "),
            (-0.0, "165 + 0 × "),
            (-2.0, "165 - 2 × "),
            (2.0, "165 + 2 × "),
        ):
            estimate = Estimate(series, Line(165.0, slope, 0.0, 0.0), 3.0)
            self.assertTrue(estimate.steps.startswith(shown), estimate.steps)


class CapacityPageTest(testtools.TestCase):
    def test_committed_measurements_come_from_the_experiments(self) -> None:
        for series in committed_measurements().series:
            sizes = tuple(int(point.size) for point in series.points)
            self.assertIn(sizes, [measure.sizes for measure in CAPACITY_EXPERIMENTS.values()])

    def test_every_series_is_used_or_listed(self) -> None:
        text = capacity_text(committed_measurements())
        for series in committed_measurements().series:
            self.assertIn(f"`{series.name}`", text)
