"""Series of costs measured at several sizes, and helpers that measure CPU time and memory."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

#: A timed run repeats the work until it takes at least this much CPU time, in seconds.
MIN_RUN_SECONDS = 0.02

#: Number of timed runs, whose median is the result.
TIMED_RUNS = 5

_T = TypeVar("_T")


@dataclass(frozen=True)
class Point:
    """The cost measured at one size."""

    #: The size, in the ``size_unit`` of the series.
    size: float

    #: The cost, in the ``cost_unit`` of the series.
    cost: float


@dataclass(frozen=True)
class Series:
    """A cost measured at several sizes, with all other parameters constant."""

    #: Name in the results.
    name: str

    #: Description of the measured work.
    what: str

    #: Unit of the sizes.
    size_unit: str

    #: Unit of the costs.
    cost_unit: str

    #: The measured points, in the order of the sizes.
    points: tuple[Point, ...]


@dataclass(frozen=True)
class SeriesDefinition:
    """Name, description and units of a series that is still to be measured."""

    #: Name in the results.
    name: str

    #: Description of the measured work.
    description: str

    #: Unit of the sizes.
    size_unit: str

    #: Unit of the costs.
    cost_unit: str

    def measure(self, sizes: Sequence[int], cost_at: Callable[[int], float]) -> Series:
        """Calls ``cost_at`` for each size and returns the series."""
        points = tuple(Point(float(size), cost_at(size)) for size in sizes)
        return Series(self.name, self.description, self.size_unit, self.cost_unit, points)


def cpu_seconds(work: Callable[[], object]) -> float:
    """Returns the CPU time of one call of ``work``, in seconds, as the median of several runs.

    It measures the CPU time of this process, so that other load on the machine affects it little.
    """
    work()
    count = _calls_per_run(work)
    return statistics.median(_timed_run(work, count) / count for _ in range(TIMED_RUNS))


def single_run_cpu_seconds(work: Callable[[], object]) -> float:
    """Returns the CPU time of a single call, in seconds, for work that cannot be repeated."""
    return _timed_run(work, 1)


def allocated_bytes(build: Callable[[], _T]) -> tuple[_T, int]:
    """Returns the result of ``build`` and the bytes of Python objects that stay allocated."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return built, after - before


def _calls_per_run(work: Callable[[], object]) -> int:
    count = 1
    while _timed_run(work, count) < MIN_RUN_SECONDS:
        count *= 2
    return count


def _timed_run(work: Callable[[], object], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        work()
    return time.process_time() - started
