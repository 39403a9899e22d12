"""Measures policies against loads: the function behind ``camphordrift measure``."""

from collections.abc import Sequence
from dataclasses import dataclass

from camphordrift.experiments._deployments import SHORT, Deployment
from camphordrift.experiments._figures import Figures, figures
from camphordrift.experiments._fleet import Policy
from camphordrift.experiments._run import run_load
from camphordrift.experiments._workload import Shape, arrivals


@dataclass(frozen=True)
class Case:
    """One policy against one load."""

    #: Name of the deployment.
    deployment: str

    #: Who decides.
    policy: Policy

    #: Arrival rate as a share of the fleet's token capacity.
    load: float

    #: How the rate moves.
    shape: Shape

    #: Length of the arrivals, in seconds.
    seconds: float

    #: Seed of the load and of the engines.
    seed: int


@dataclass(frozen=True)
class Measurement:
    """A case and its figures."""

    #: What was measured.
    case: Case

    #: What came of it.
    figures: Figures


def measure(deployment: Deployment, case: Case) -> Measurement:
    """Runs one case, and its short requests alone; the same case gives the same figures."""
    load = arrivals(deployment, case.load, case.seconds, case.seed, case.shape)
    short = [arrival for arrival in load if arrival.band is SHORT]
    run = run_load(deployment, case.policy, load, case.seed)
    alone = run_load(deployment, case.policy, short, case.seed)
    return Measurement(case, figures(deployment, run, alone, case.seconds))


def run_measure(
    deployments: Sequence[Deployment],
    policies: Sequence[Policy],
    loads: Sequence[float],
    seconds: float = 120.0,
    seed: int = 1,
    shape: Shape = Shape.STEADY,
) -> list[Measurement]:
    """Measures every policy at every load of every deployment.

    Example::

        run_measure([KOWALCZYK], [Policy.HOME_POOL], [0.7], seconds=60.0)
    """
    return [
        measure(deployment, Case(deployment.name, policy, load, shape, seconds, seed))
        for deployment in deployments
        for load in loads
        for policy in policies
    ]
