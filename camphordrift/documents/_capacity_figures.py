"""Figures of the capacity page: lines through measurements, and what they say at a size."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from camphordrift.experiments import Line, Measurements, Series, fit_line

#: What is smaller than this is shown as zero.
SMALLEST_SHOWN = 1e-6

#: Digits of a figure that are shown.
SHOWN_DIGITS = 3


@dataclass(frozen=True)
class Estimate:
    """What the line of a series says at one size."""

    #: The series.
    series: Series

    #: The line through it.
    line: Line

    #: The size.
    size: float

    @property
    def value(self) -> float:
        """The cost at the size, in the series' unit."""
        return self.line.at(self.size)

    @property
    def error(self) -> float:
        """How far the standard errors of the line reach at the size, in the series' unit."""
        return self.line.base_error + self.line.slope_error * abs(self.size)

    @property
    def steps(self) -> str:
        """The arithmetic, and whether it is an extrapolation."""
        sign = "-" if self.line.slope < 0 else "+"
        sum_text = f"{number(self.line.base)} {sign} {number(abs(self.line.slope))} × "
        result = f"{number(self.size)} = **{number(self.value)} ± {number(self.error)}**"
        unit = self.series.cost_unit.replace("us ", "µs ")
        return f"{sum_text}{result} {unit} (`{self.series.name}`, {self._reach})"

    @property
    def _reach(self) -> str:
        largest = max(point.size for point in self.series.points)
        if self.size <= largest:
            return "inside the measured range"
        return f"extrapolated to {number(self.size / largest)} times the largest point"


class Figures:
    """Gives estimates from one run's measurements."""

    def __init__(self, measurements: Measurements) -> None:
        self._measurements = measurements
        self._lines = {series.name: fit_line(series) for series in measurements.series}

    @property
    def measurements(self) -> Measurements:
        """The run."""
        return self._measurements

    @property
    def resident_bytes(self) -> int:
        """Resident memory of a process that has imported everything and does nothing."""
        return self._measurements.memory[-1].resident_bytes

    def line(self, name: str) -> Line:
        """Returns the line through a series."""
        return self._lines[name]

    def at(self, name: str, size: float) -> Estimate:
        """Returns what a series' line says at a size."""
        return Estimate(self._measurements.get_series(name), self._lines[name], size)


def number(value: float) -> str:
    """Returns a number with three digits that count."""
    if abs(value) < SMALLEST_SHOWN:
        return "0"
    digits = SHOWN_DIGITS - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, digits)
    if digits <= 0:
        return f"{rounded:,.0f}"
    return f"{rounded:.{digits}f}".rstrip("0").rstrip(".")


def size_text(byte_count: float) -> str:
    """Returns an amount of bytes in decimal units."""
    for unit, scale in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(byte_count) >= scale:
            return f"{number(byte_count / scale)} {unit}"
    return f"{number(byte_count)} B"


def bullets(lines: Iterable[str]) -> str:
    """Returns a Markdown list."""
    return "\n".join(f"- {line}" for line in lines)
