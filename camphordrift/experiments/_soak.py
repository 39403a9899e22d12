"""Soak test of the routing: seeded loads with faults, with invariants asserted during the run."""

from collections import Counter
from dataclasses import dataclass

from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._faults import plan_faults
from camphordrift.experiments._fleet import Policy
from camphordrift.experiments._records import Record
from camphordrift.experiments._run import run_load
from camphordrift.experiments._workload import arrivals


@dataclass(frozen=True)
class SoakResult:
    """Counts of one run; a result exists only if all invariants held."""

    #: Seed of the run.
    seed: int

    #: Number of injected faults.
    faults: int

    #: Number of requests by result code, ``LOST_WITH_VM`` for those whose entry VM crashed.
    endings: dict[str, int]

    #: Grant requests that an entry VM scheduled locally, without the home VM.
    decided_alone: int


def run_soak(
    deployment: Deployment,
    load: float,
    seconds: float,
    seed: int,
    mean_interval_seconds: float = 4.0,
) -> SoakResult:
    """Runs a load with faults of engines and VMs; raises ``AssertionError`` if an invariant fails.

    Every request whose entry VM does not crash ends within its timeout. No token is lost or
    duplicated. A request that was refused as not run did not run on any engine. All engine memory
    and all holds are released at the end.
    """
    plan = plan_faults(deployment, seconds, mean_interval_seconds, seed)
    offered = arrivals(deployment, load, seconds, seed)
    run = run_load(deployment, Policy.HOME_POOL, offered, seed, plan)
    endings: Counter[str] = Counter()
    for record in run.records:
        endings[_ending(record)] += 1
    return SoakResult(seed, len(plan), dict(sorted(endings.items())), run.decided_alone)


def _ending(record: Record) -> str:
    if record.lost_with_vm or record.code is None:
        return "LOST_WITH_VM"
    return record.code.name
