"""The command ``camphordrift measure`` and its subcommand ``soak``."""

from pathlib import Path
from typing import Annotated, Literal, Optional

import cyclopts
from cyclopts.validators import Number

from camphordrift.experiments._deployments import DEPLOYMENTS
from camphordrift.experiments._fleet import Policy
from camphordrift.experiments._measure import run_measure
from camphordrift.experiments._plot import draw_plot
from camphordrift.experiments._report import as_json, as_table
from camphordrift.experiments._soak import run_soak
from camphordrift.experiments._workload import Shape

_DeploymentName = Literal["kowalczyk", "bazarnik"]
_Positive = Annotated[float, cyclopts.Parameter(validator=Number(gt=0, lt=1e6))]

measure_app = cyclopts.App(
    name="measure",
    help="Measures routing policies under virtual time.",
    default_parameter=cyclopts.Parameter(consume_multiple=True),
)


@measure_app.default
def measure_command(
    *,
    deployments: tuple[_DeploymentName, ...] = ("kowalczyk", "bazarnik"),
    policies: tuple[Policy, ...] = tuple(Policy),
    loads: tuple[_Positive, ...] = (0.7, 0.9),
    seconds: _Positive = 120.0,
    seed: int = 1,
    shape: Shape = Shape.STEADY,
    json_path: Optional[Path] = None,
    plot_path: Optional[Path] = None,
) -> None:
    """Measures every policy at every load and prints a table.

    Parameters
    ----------
    deployments
        Names of the deployments whose load is simulated.
    policies
        Routing policies to compare.
    loads
        Arrival rates as shares of the fleet's token capacity.
    seconds
        Length of the arrivals, in virtual seconds.
    seed
        Random seed; a run with the same seed repeats the same results.
    shape
        How the arrival rate changes over the run.
    json_path
        File for all results as JSON.
    plot_path
        File for the plots as PNG.

    """
    selected = [DEPLOYMENTS[name] for name in deployments]
    measurements = run_measure(selected, policies, loads, seconds, seed, shape)
    print(as_table(measurements))
    if json_path is not None:
        json_path.write_text(as_json(measurements), encoding="utf-8")
    if plot_path is not None:
        draw_plot(measurements, plot_path)


@measure_app.command(name="soak")
def soak_command(
    *,
    deployment: str = "kowalczyk",
    load: float = 0.7,
    seconds: float = 60.0,
    seeds: tuple[int, ...] = (1,),
) -> None:
    """Runs a load with injected faults and stops at the first violated invariant.

    Parameters
    ----------
    deployment
        Name of the deployment whose load is simulated.
    load
        Arrival rate as a share of the fleet's token capacity.
    seconds
        Length of the arrivals, in virtual seconds.
    seeds
        Random seeds; one run for each.

    """
    for seed in seeds:
        print(run_soak(DEPLOYMENTS[deployment], load, seconds, seed))
