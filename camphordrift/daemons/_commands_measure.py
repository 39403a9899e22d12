"""Commands for measurements and for randomized tests of invariants."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal, Optional

import cyclopts
from cyclopts import Parameter
from cyclopts.validators import Number

from camphordrift.daemons._exit_codes import CommandError, ExitCode

#: The parts that have a randomized test.
SoakSubject = Literal["calls", "configuration", "membership"]

_Seed = Annotated[int, Parameter(validator=Number(gte=0))]
_SeedCount = Annotated[int, Parameter(validator=Number(gte=1))]


def soak(subject: SoakSubject, /, *, first_seed: _Seed = 1, seeds: _SeedCount = 10) -> ExitCode:
    """Inject random faults into one part under virtual time and check its invariants.

    A run with the same seed is identical. A violated invariant ends the command with a traceback.

    Parameters
    ----------
    subject:
        The part: calls that run at most once, the configuration, or the membership of VMs.
    first_seed:
        The first seed.
    seeds:
        Number of consecutive seeds.

    """
    run = _soak_function(subject)
    for seed in range(first_seed, first_seed + seeds):
        try:
            print(f"seed={seed} {run(seed)}")
        except AssertionError:
            print(f"camphordrift: seed {seed} violated an invariant of {subject}", file=sys.stderr)
            raise
    return ExitCode.DONE


def capacity(*, only: tuple[str, ...] = (), json_path: Optional[Path] = None) -> ExitCode:
    """Measure the cost of each part as its size grows; docs/CAPACITY.md is made from the results.

    Parameters
    ----------
    only:
        Names of the experiments to run; by default all, which takes several minutes.
    json_path:
        File for the results; by default they are printed.

    """
    from camphordrift.resident_memory import measure_imports

    # Measured before the other imports, which would hide the memory of a process by itself.
    memory = measure_imports()
    from camphordrift.experiments import CAPACITY_EXPERIMENTS, measurements_to_json, run_capacity

    unknown = sorted(set(only) - set(CAPACITY_EXPERIMENTS))
    if unknown:
        known = ", ".join(CAPACITY_EXPERIMENTS)
        raise CommandError(
            ExitCode.BAD_INPUT, f"unknown experiment {unknown[0]}; valid names: {known}"
        )
    text = measurements_to_json(run_capacity(memory, only))
    if json_path is None:
        print(text, end="")
    else:
        json_path.write_text(text, encoding="utf-8")
    return ExitCode.DONE


def add_measure_commands(app: cyclopts.App) -> None:
    """Registers the commands of this module."""
    group = cyclopts.Group("Measuring", sort_key=4)
    app.command(
        "camphordrift.experiments:measure_app",
        name="measure",
        help="Measure routing policies under virtual time.",
        group=group,
    )
    app.command(
        "camphordrift.experiments:overhead_app",
        name="overhead",
        help="Measure the latency that a running entry VM adds to a request.",
        group=group,
    )
    app.command(soak, group=group)
    app.command(capacity, group=group)


def _soak_function(subject: SoakSubject) -> Callable[[int], object]:
    # Imported here to keep the startup of `--help` fast.
    match subject:
        case "calls":
            from camphordrift.experiments._calls_soak import run_calls_soak

            return run_calls_soak
        case "configuration":
            from camphordrift.experiments._configuration_soak import run_configuration_soak

            return run_configuration_soak
        case "membership":
            from camphordrift.experiments._membership_soak import run_membership_soak

            return run_membership_soak
