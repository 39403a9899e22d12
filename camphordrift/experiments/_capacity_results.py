"""Results of ``camphordrift capacity`` and their JSON format."""

import json
from dataclasses import asdict, dataclass
from typing import Any

from camphordrift.experiments._slope_series import Point, Series
from camphordrift.resident_memory import MemoryStep


@dataclass(frozen=True)
class Machine:
    """The machine that ran the experiments."""

    #: Number of logical processors.
    cores: int

    #: Python version.
    python: str

    #: Operating system and architecture.
    system: str

    #: One-minute load average at the start of the run; other processes share the machine.
    load_average: float


@dataclass(frozen=True)
class Measurements:
    """All results of one run."""

    #: Command line of the run.
    command: str

    #: Start time of the run, in UTC.
    date: str

    #: The machine that ran it.
    machine: Machine

    #: Resident memory of an idle process after each import step.
    memory: tuple[MemoryStep, ...]

    #: All measured series, in the order of the experiments.
    series: tuple[Series, ...]

    def get_series(self, name: str) -> Series:
        """Returns the series with this name; raises ``KeyError`` if it was not measured."""
        for series in self.series:
            if series.name == name:
                return series
        raise KeyError(name)


def measurements_to_json(measurements: Measurements) -> str:
    """Encodes the results as indented JSON that ends with a newline."""
    return json.dumps(asdict(measurements), indent=1) + "\n"


def measurements_from_json(text: str) -> Measurements:
    """Decodes output of :func:`measurements_to_json`; raises ``KeyError`` if a key is missing."""
    raw: dict[str, Any] = json.loads(text)
    return Measurements(
        command=raw["command"],
        date=raw["date"],
        machine=Machine(**raw["machine"]),
        memory=tuple(MemoryStep(**step) for step in raw["memory"]),
        series=tuple(_series(fields) for fields in raw["series"]),
    )


def _series(fields: dict[str, Any]) -> Series:
    points = tuple(Point(**point) for point in fields.pop("points"))
    return Series(points=points, **fields)
