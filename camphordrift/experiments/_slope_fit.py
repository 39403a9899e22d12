"""Fits a line to a measured series, with standard errors."""

from dataclasses import dataclass

import numpy as np

from camphordrift.experiments._slope_series import Series


@dataclass(frozen=True)
class Line:
    """A least-squares line: intercept and slope, each with its standard error."""

    #: Intercept: the cost at size zero.
    base: float

    #: Additional cost per unit of size.
    slope: float

    #: Standard error of the intercept.
    base_error: float

    #: Standard error of the slope.
    slope_error: float

    def at(self, size: float) -> float:
        """Returns the estimated cost at a size, which may lie outside the measured range."""
        return self.base + self.slope * size


def fit_line(series: Series) -> Line:
    """Fits a line to a series by ordinary least squares.

    All points have the same weight, so the largest sizes determine the slope, which is what
    extrapolation needs. Raises ``ValueError`` for fewer than three points, which leave no residual
    to estimate the standard errors from.
    """
    if len(series.points) < 3:
        raise ValueError(
            f"series {series.name} has fewer than 3 points, too few for standard errors"
        )
    sizes = np.array([point.size for point in series.points])
    costs = np.array([point.cost for point in series.points])
    design = np.column_stack([np.ones_like(sizes), sizes])
    solution, *_ = np.linalg.lstsq(design, costs, rcond=None)
    residuals = costs - design @ solution
    variance = float(residuals @ residuals) / (len(sizes) - 2)
    errors = np.sqrt(np.diag(np.linalg.inv(design.T @ design)) * variance)
    return Line(float(solution[0]), float(solution[1]), float(errors[0]), float(errors[1]))
