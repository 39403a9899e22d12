"""Series of measured costs against a size, and how single costs are taken."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

#: A timed run is repeated until it takes at least this much processor time, in seconds.
SHORTEST_RUN_SECONDS = 0.02

#: Of so many timed runs the median counts.
TIMED_RUNS = 5

_T = TypeVar("_T")


@dataclass(frozen=True)
class Point:
    """A cost at one size."""

    #: The size, in the series' unit.
    size: float

    #: The cost, in the series' unit.
    cost: float


@dataclass(frozen=True)
class Series:
    """A cost measured at several sizes, all else being equal."""

    #: Names it in the results.
    name: str

    #: What was run.
    what: str

    #: What the sizes count.
    size_unit: str

    #: What the costs are measured in.
    cost_unit: str

    #: The measured points, by size.
    points: tuple[Point, ...]


@dataclass(frozen=True)
class SeriesKind:
    """A series without its points."""

    #: Names it in the results.
    name: str

    #: What was run.
    what: str

    #: What the sizes count.
    size_unit: str

    #: What the costs are measured in.
    cost_unit: str

    def measured(self, sizes: Sequence[int], cost_at: Callable[[int], float]) -> Series:
        """Returns the series with the cost at each size."""
        points = tuple(Point(float(size), cost_at(size)) for size in sizes)
        return Series(self.name, self.what, self.size_unit, self.cost_unit, points)


def cpu_seconds(work: Callable[[], object]) -> float:
    """Returns the processor time of one call of ``work``: the median of several runs.

    Processor time of this process is taken, so that other processes of the machine count little.
    """
    work()
    count = _calls_per_run(work)
    return statistics.median(_run(work, count) / count for _ in range(TIMED_RUNS))


def run_cpu_seconds(work: Callable[[], object]) -> float:
    """Returns the processor time of a single call, for work that cannot be repeated."""
    return _run(work, 1)


def held_bytes(build: Callable[[], _T]) -> tuple[_T, int]:
    """Returns what ``build`` makes, and how many bytes of Python objects it holds on to."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        made = build()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return made, after - before


def _calls_per_run(work: Callable[[], object]) -> int:
    count = 1
    while _run(work, count) < SHORTEST_RUN_SECONDS:
        count *= 2
    return count


def _run(work: Callable[[], object], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        work()
    return time.process_time() - started
