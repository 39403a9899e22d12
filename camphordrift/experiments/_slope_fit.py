"""Fits lines through measured points."""

from dataclasses import dataclass

import numpy as np

from camphordrift.experiments._slope_series import Series


@dataclass(frozen=True)
class Line:
    """A least-squares line, with the standard errors of its two numbers."""

    #: The cost at size zero.
    base: float

    #: The cost of each unit of size.
    slope: float

    #: Standard error of the base.
    base_error: float

    #: Standard error of the slope.
    slope_error: float

    def at(self, size: float) -> float:
        """Returns the cost at a size, measured or extrapolated."""
        return self.base + self.slope * size


def fit_line(series: Series) -> Line:
    """Returns the line through a series of at least three points.

    All points weigh the same, so the larger ones decide the slope, which is what extrapolations
    need.
    """
    if len(series.points) < 3:
        raise ValueError(f"{series.name} has too few points for a line with its spread")
    sizes = np.array([point.size for point in series.points])
    costs = np.array([point.cost for point in series.points])
    design = np.column_stack([np.ones_like(sizes), sizes])
    solution, *_ = np.linalg.lstsq(design, costs, rcond=None)
    residuals = costs - design @ solution
    variance = float(residuals @ residuals) / (len(sizes) - 2)
    errors = np.sqrt(np.diag(np.linalg.inv(design.T @ design)) * variance)
    return Line(float(solution[0]), float(solution[1]), float(errors[0]), float(errors[1]))
