"""The results of a run of ``camphordrift capacity``, as they are kept."""

import json
from dataclasses import asdict, dataclass
from typing import Any

from camphordrift.experiments._slope_series import Point, Series
from camphordrift.resident_memory import MemoryStep


@dataclass(frozen=True)
class Machine:
    """Where a run took place."""

    #: Logical processors.
    cores: int

    #: Version of Python.
    python: str

    #: Operating system and architecture.
    system: str

    #: Load average of one minute at the start of the run; other work shared the machine.
    load_average: float


@dataclass(frozen=True)
class Measurements:
    """Everything that one run measured."""

    #: The command that measured it.
    command: str

    #: When it began, in UTC.
    date: str

    #: Where.
    machine: Machine

    #: Resident memory of a process that does nothing, step by step.
    memory: tuple[MemoryStep, ...]

    #: The measured costs.
    series: tuple[Series, ...]

    def get_series(self, name: str) -> Series:
        """Returns a series; raises ``KeyError`` if it was not measured."""
        for series in self.series:
            if series.name == name:
                return series
        raise KeyError(name)


def measurements_to_json(measurements: Measurements) -> str:
    """Returns the results as JSON text."""
    return json.dumps(asdict(measurements), indent=1) + "\n"


def measurements_from_json(text: str) -> Measurements:
    """Returns the results that :func:`measurements_to_json` wrote."""
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
