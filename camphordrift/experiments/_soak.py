"""Long seeded runs with faults, whose invariants are asserted inside the program."""

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
    """What came of a soak; an invariant that breaks raises ``AssertionError`` instead."""

    #: The seed.
    seed: int

    #: How many faults there were.
    faults: int

    #: Requests by how they ended.
    endings: dict[str, int]

    #: Asks that an entry VM decided without the home VM.
    decided_alone: int


def run_soak(
    deployment: Deployment,
    load: float,
    seconds: float,
    seed: int,
    mean_interval_seconds: float = 4.0,
) -> SoakResult:
    """Runs a load with faults of engines and VMs and checks what must always hold.

    Every request that is not lost with its VM ends within its time, no token is lost or doubled, a
    refusal that says "not run" was not run, and all memory and holds are given back.
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
