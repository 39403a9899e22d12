"""Experiments: routing policies under virtual time, and the costs behind the capacity page."""

from camphordrift.experiments._capacity import (
    CAPACITY_EXPERIMENTS,
    CapacityExperiment,
    run_capacity,
)
from camphordrift.experiments._capacity_results import (
    Machine,
    Measurements,
    measurements_from_json,
    measurements_to_json,
)
from camphordrift.experiments._commands import measure_app
from camphordrift.experiments._deployments import BAZARNIK, DEPLOYMENTS, KOWALCZYK, Deployment
from camphordrift.experiments._figures import Figures, Percentiles
from camphordrift.experiments._fleet import Policy
from camphordrift.experiments._measure import Case, Measurement, measure, run_measure
from camphordrift.experiments._overhead import (
    OverheadFigures,
    OverheadTarget,
    measure_overhead,
)
from camphordrift.experiments._overhead_commands import overhead_app
from camphordrift.experiments._plot import draw_plot
from camphordrift.experiments._report import as_json, as_table
from camphordrift.experiments._slope_fit import Line, fit_line
from camphordrift.experiments._slope_series import Point, Series
from camphordrift.experiments._soak import SoakResult, run_soak
from camphordrift.experiments._workload import Arrival, Shape, arrivals

__all__ = [
    "BAZARNIK",
    "DEPLOYMENTS",
    "KOWALCZYK",
    "Arrival",
    "Case",
    "Deployment",
    "Figures",
    "Measurement",
    "OverheadFigures",
    "OverheadTarget",
    "Policy",
    "Shape",
    "SoakResult",
    "Percentiles",
    "arrivals",
    "as_json",
    "as_table",
    "draw_plot",
    "measure",
    "measure_app",
    "measure_overhead",
    "overhead_app",
    "run_measure",
    "CAPACITY_EXPERIMENTS",
    "CapacityExperiment",
    "run_capacity",
    "Machine",
    "Measurements",
    "measurements_from_json",
    "measurements_to_json",
    "Line",
    "fit_line",
    "Point",
    "Series",
    "run_soak",
]
