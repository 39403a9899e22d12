"""Commands that measure, and that look for broken invariants."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal, Optional

import cyclopts
from cyclopts import Parameter
from cyclopts.validators import Number

from camphordrift.daemons._exit_codes import CommandError, ExitCode

#: What can be run at random.
SoakSubject = Literal["calls", "configuration", "membership"]

_Seed = Annotated[int, Parameter(validator=Number(gte=0))]
_SeedCount = Annotated[int, Parameter(validator=Number(gte=1))]


def soak(subject: SoakSubject, /, *, first_seed: _Seed = 1, seeds: _SeedCount = 10) -> ExitCode:
    """Run randomized faults against one part under virtual time, with invariants asserted inside.

    The same seed gives the same run. A broken invariant ends the command with its traceback.

    Parameters
    ----------
    subject:
        The part: calls that may not be repeated, the configuration, or the membership of VMs.
    first_seed:
        The first seed.
    seeds:
        How many seeds follow one another.

    """
    run = _run_of(subject)
    for seed in range(first_seed, first_seed + seeds):
        try:
            print(f"seed={seed} {run(seed)}")
        except AssertionError:
            print(f"camphordrift: seed {seed} broke an invariant of {subject}", file=sys.stderr)
            raise
    return ExitCode.DONE


def capacity(*, only: tuple[str, ...] = (), json_path: Optional[Path] = None) -> ExitCode:
    """Measure what each part costs against its size; docs/CAPACITY.md is made of the results.

    Parameters
    ----------
    only:
        Names of the experiments to run; all if none is given, which takes some minutes.
    json_path:
        Where the results go; they are printed without it.

    """
    from camphordrift.resident_memory import measure_imports

    # Before anything else is imported, which would hide what a process needs by itself.
    memory = measure_imports()
    from camphordrift.experiments import CAPACITY_EXPERIMENTS, measurements_to_json, run_capacity

    unknown = sorted(set(only) - set(CAPACITY_EXPERIMENTS))
    if unknown:
        known = ", ".join(CAPACITY_EXPERIMENTS)
        raise CommandError(ExitCode.BAD_INPUT, f"no experiment {unknown[0]}; there are {known}")
    text = measurements_to_json(run_capacity(memory, only))
    if json_path is None:
        print(text, end="")
    else:
        json_path.write_text(text, encoding="utf-8")
    return ExitCode.DONE


def add_measure_commands(app: cyclopts.App) -> None:
    """Adds the commands of this module."""
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
        help="Measure what a running entry VM adds to a request.",
        group=group,
    )
    app.command(soak, group=group)
    app.command(capacity, group=group)


def _run_of(subject: SoakSubject) -> Callable[[int], object]:
    # Imported here, so that the help of all commands is quick.
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
