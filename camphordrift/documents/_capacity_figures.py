"""Estimates for the capacity page, from lines fitted to measurements, and their formatting."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from camphordrift.experiments import Line, Measurements, Series, fit_line

#: Smaller absolute values are shown as zero.
SMALLEST_SHOWN = 1e-6

#: Significant digits of a figure that are shown.
SHOWN_DIGITS = 3


@dataclass(frozen=True)
class Estimate:
    """The cost that the fitted line of a series predicts for one size."""

    #: The measured series.
    series: Series

    #: The line fitted to the series.
    line: Line

    #: The size for which the cost is predicted, in the series' unit.
    size: float

    @property
    def value(self) -> float:
        """The cost at the size, in the series' unit."""
        return self.line.at(self.size)

    @property
    def error(self) -> float:
        """The sum of the line's standard errors at the size, in the series' unit."""
        return self.line.base_error + self.line.slope_error * abs(self.size)

    @property
    def steps(self) -> str:
        """The calculation in Markdown, with a note whether it is an extrapolation."""
        slope = number(self.line.slope)
        # What is left of rounding errors in a slope of zero differs between kinds of processors.
        sign = "-" if slope.startswith("-") else "+"
        formula = f"{number(self.line.base)} {sign} {slope.lstrip('-')} × "
        result = f"{number(self.size)} = **{number(self.value)} ± {number(self.error)}**"
        unit = self.series.cost_unit.replace("us ", "µs ")
        return f"{formula}{result} {unit} (`{self.series.name}`, {self._range_note})"

    @property
    def _range_note(self) -> str:
        largest = max(point.size for point in self.series.points)
        if self.size <= largest:
            return "inside the measured range"
        return f"extrapolated to {number(self.size / largest)} times the largest point"


class Figures:
    """Computes estimates from the measurements of one run."""

    def __init__(self, measurements: Measurements) -> None:
        self._measurements = measurements
        self._lines = {series.name: fit_line(series) for series in measurements.series}

    @property
    def measurements(self) -> Measurements:
        """The measurements of the run."""
        return self._measurements

    @property
    def resident_bytes(self) -> int:
        """Resident memory of an idle process after all imports, in bytes."""
        return self._measurements.memory[-1].resident_bytes

    def line(self, name: str) -> Line:
        """Returns the line fitted to the series ``name``."""
        return self._lines[name]

    def at(self, name: str, size: float) -> Estimate:
        """Returns the estimate of the series ``name`` for ``size``."""
        return Estimate(self._measurements.get_series(name), self._lines[name], size)


def number(value: float) -> str:
    """Returns a number rounded to three significant digits."""
    if abs(value) < SMALLEST_SHOWN:
        return "0"
    digits = SHOWN_DIGITS - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, digits)
    if digits <= 0:
        return f"{rounded:,.0f}"
    return f"{rounded:.{digits}f}".rstrip("0").rstrip(".")


def format_size(byte_count: float) -> str:
    """Returns a size in bytes, formatted with a decimal unit."""
    for unit, scale in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(byte_count) >= scale:
            return f"{number(byte_count / scale)} {unit}"
    return f"{number(byte_count)} B"


def bullets(lines: Iterable[str]) -> str:
    """Returns a Markdown list with one item per line."""
    return "\n".join(f"- {line}" for line in lines)
