"""The command ``camphordrift measure``."""

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
        Names of the deployments whose load is run.
    policies
        Who decides for the engines.
    loads
        Arrival rates as shares of the fleet's token capacity.
    seconds
        Length of the arrivals, in virtual seconds.
    seed
        The same seed gives the same figures.
    shape
        How the arrival rate moves.
    json_path
        Where all figures go as JSON.
    plot_path
        Where the plot goes as PNG.

    """
    chosen = [DEPLOYMENTS[name] for name in deployments]
    found = run_measure(chosen, policies, loads, seconds, seed, shape)
    print(as_table(found))
    if json_path is not None:
        json_path.write_text(as_json(found), encoding="utf-8")
    if plot_path is not None:
        draw_plot(found, plot_path)


@measure_app.command(name="soak")
def soak_command(
    *,
    deployment: str = "kowalczyk",
    load: float = 0.7,
    seconds: float = 60.0,
    seeds: tuple[int, ...] = (1,),
) -> None:
    """Runs loads with faults and stops at the first invariant that breaks.

    Parameters
    ----------
    deployment
        Whose load is run.
    load
        Arrival rate as a share of the fleet's token capacity.
    seconds
        Length of the arrivals, in virtual seconds.
    seeds
        One run for each.

    """
    for seed in seeds:
        print(run_soak(DEPLOYMENTS[deployment], load, seconds, seed))
