"""Tests of the capacity experiments, with sizes that run quickly."""

import math

import testtools

from camphordrift.experiments import (
    CAPACITY_EXPERIMENTS,
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
    def test_exact_line_has_no_standard_error(self) -> None:
        line = fit_line(series((1.0, 5.0), (2.0, 7.0), (4.0, 11.0)))
        self.assertAlmostEqual(3.0, line.base)
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(0.0, line.slope_error)
        self.assertAlmostEqual(203.0, line.at(100.0))

    def test_slope_error_is_the_standard_error(self) -> None:
        # Residuals 1/6, -1/3, 1/6 give the variance s^2 = 1/6; the slope has the variance s^2 / 2.
        line = fit_line(series((0.0, 0.0), (1.0, 1.0), (2.0, 3.0)))
        self.assertAlmostEqual(1.5, line.slope)
        self.assertAlmostEqual((1 / 12) ** 0.5, line.slope_error)

    def test_two_points_are_refused(self) -> None:
        self.assertRaises(ValueError, fit_line, series((1.0, 1.0), (2.0, 2.0)))


class ResultsTest(testtools.TestCase):
    def test_json_round_trip(self) -> None:
        machine = Machine(10, "3.11", "Linux x86_64", 1.5)
        steps = (MemoryStep("trio", 1),)
        results = Measurements("run", "today", machine, steps, (series((1.0, 2.0)),))
        self.assertEqual(results, measurements_from_json(measurements_to_json(results)))
        self.assertEqual(results.series[0], results.get_series("name"))
        self.assertRaises(KeyError, results.get_series, "other")


class CapacityExperimentsTest(testtools.TestCase):
    def test_every_experiment_returns_a_cost_for_each_size(self) -> None:
        names: list[str] = []
        for experiment in CAPACITY_EXPERIMENTS.values():
            self.assertTrue(len(experiment.sizes) >= 4)
            for result in experiment.run(experiment.small_sizes):
                names.append(result.name)
                sizes = tuple(int(point.size) for point in result.points)
                self.assertEqual(experiment.small_sizes, sizes)
                for point in result.points:
                    # Costs that are differences of CPU times can be negative at small sizes.
                    is_time = "CPU" in result.cost_unit
                    self.assertTrue(
                        math.isfinite(point.cost) if is_time else point.cost > 0, result
                    )
        self.assertEqual(len(names), len(set(names)))


class ResidentMemoryTest(testtools.TestCase):
    def test_every_step_is_measured(self) -> None:
        steps = measure_imports()
        self.assertEqual(1 + len(IMPORT_STEPS), len(steps))
        self.assertTrue(all(step.resident_bytes > 0 for step in steps), steps)
