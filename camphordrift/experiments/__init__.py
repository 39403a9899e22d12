"""Measures the routing under virtual time: loads, runs, figures, reports."""

from camphordrift.experiments._commands import measure_app
from camphordrift.experiments._deployments import BAZARNIK, DEPLOYMENTS, KOWALCZYK, Deployment
from camphordrift.experiments._figures import Figures, Spread
from camphordrift.experiments._fleet import Policy
from camphordrift.experiments._measure import Case, Measurement, measure, run_measure
from camphordrift.experiments._overhead import (
    OverheadFigures,
    OverheadTarget,
    measure_overhead,
)
from camphordrift.experiments._overhead_commands import overhead_app
from camphordrift.experiments._plot import draw
from camphordrift.experiments._report import as_json, as_table
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
    "Spread",
    "arrivals",
    "as_json",
    "as_table",
    "draw",
    "measure",
    "measure_app",
    "measure_overhead",
    "overhead_app",
    "run_measure",
    "run_soak",
]
