"""Measures routing policies under load; used by ``camphordrift measure``."""

from collections.abc import Sequence
from dataclasses import dataclass

from camphordrift.experiments._deployments import SHORT, Deployment
from camphordrift.experiments._figures import Figures, compute_figures
from camphordrift.experiments._fleet import Policy
from camphordrift.experiments._run import run_load
from camphordrift.experiments._workload import Shape, arrivals


@dataclass(frozen=True)
class Case:
    """Parameters of one measurement: a policy and a load."""

    #: Name of the deployment.
    deployment: str

    #: Routing policy.
    policy: Policy

    #: Arrival rate as a share of the fleet's token capacity.
    load: float

    #: How the arrival rate changes over the run.
    shape: Shape

    #: Length of the arrival period, in virtual seconds.
    seconds: float

    #: Random seed of the load and of the engines.
    seed: int


@dataclass(frozen=True)
class Measurement:
    """A case and its results."""

    #: Parameters of the measurement.
    case: Case

    #: Results of the measurement.
    figures: Figures


def measure(deployment: Deployment, case: Case) -> Measurement:
    """Runs one case, and a reference run with its short requests only.

    Results are deterministic: the same case gives the same figures.
    """
    load = arrivals(deployment, case.load, case.seconds, case.seed, case.shape)
    short = [arrival for arrival in load if arrival.band is SHORT]
    run = run_load(deployment, case.policy, load, case.seed)
    short_only = run_load(deployment, case.policy, short, case.seed)
    return Measurement(case, compute_figures(deployment, run, short_only, case.seconds))


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
