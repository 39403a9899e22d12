"""Tests of the measurements of slopes, with sizes that take little time."""

import math

import testtools

from camphordrift.experiments import (
    CAPACITY_MEASURES,
    Machine,
    Measurements,
    Point,
    Series,
    fit_line,
    measurements_from_json,
    measurements_to_json,
)
from camphordrift.resident_memory import IMPORT_STEPS, MemoryStep, measure_imports


def series(*points: tuple[float, float]) -> Series:
    return Series("name", "what", "VMs", "bytes", tuple(Point(*point) for point in points))


class LineTest(testtools.TestCase):
    def test_exact_line_has_no_spread(self) -> None:
        line = fit_line(series((1.0, 5.0), (2.0, 7.0), (4.0, 11.0)))
        self.assertAlmostEqual(3.0, line.base)
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(0.0, line.slope_error)
        self.assertAlmostEqual(203.0, line.at(100.0))

    def test_spread_is_the_standard_error(self) -> None:
        # Worked out by hand: residuals 1/6, -1/3, 1/6, so s^2 = 1/6 and the slope's is s^2 / 2.
        line = fit_line(series((0.0, 0.0), (1.0, 1.0), (2.0, 3.0)))
        self.assertAlmostEqual(1.5, line.slope)
        self.assertAlmostEqual((1 / 12) ** 0.5, line.slope_error)

    def test_two_points_have_no_spread(self) -> None:
        self.assertRaises(ValueError, fit_line, series((1.0, 1.0), (2.0, 2.0)))


class ResultsTest(testtools.TestCase):
    def test_results_are_read_back(self) -> None:
        machine = Machine(10, "3.11", "Linux x86_64", 1.5)
        steps = (MemoryStep("trio", 1),)
        results = Measurements("run", "today", machine, steps, (series((1.0, 2.0)),))
        self.assertEqual(results, measurements_from_json(measurements_to_json(results)))
        self.assertEqual(results.series[0], results.get_series("name"))
        self.assertRaises(KeyError, results.get_series, "other")


class MeasuresTest(testtools.TestCase):
    def test_every_measure_gives_a_cost_for_each_size(self) -> None:
        names: list[str] = []
        for measure in CAPACITY_MEASURES.values():
            self.assertTrue(len(measure.sizes) >= 4)
            for found in measure.run(measure.small_sizes):
                names.append(found.name)
                sizes = tuple(int(point.size) for point in found.points)
                self.assertEqual(measure.small_sizes, sizes)
                for point in found.points:
                    # Differences of processor time can have either sign at such sizes.
                    is_time = "CPU" in found.cost_unit
                    self.assertTrue(math.isfinite(point.cost) if is_time else point.cost > 0, found)
        self.assertEqual(len(names), len(set(names)))


class ResidentMemoryTest(testtools.TestCase):
    def test_every_step_is_measured(self) -> None:
        steps = measure_imports()
        self.assertEqual(1 + len(IMPORT_STEPS), len(steps))
        self.assertTrue(all(step.resident_bytes > 0 for step in steps), steps)
