"""Plans how VMs of an earlier build are replaced by today's one after the other, and back."""

import random
from dataclasses import dataclass

#: Share of the replaced VMs whose process is killed instead of being stopped.
_KILLED_SHARE = 0.25


@dataclass(frozen=True)
class Replacement:
    """The replacement of one VM's process by one of the other build."""

    #: Seconds after the start of the load.
    start: float
    #: Index of the VM.
    target: int
    #: Whether the new process is of the earlier build.
    to_former: bool
    #: Whether the old process is killed instead of being stopped.
    is_kill: bool


def plan_replacements(seed: int, seconds: float, vms: int) -> list[Replacement]:
    """Returns the replacements of a run, in which all VMs begin with the earlier build.

    The VMs are replaced one after the other, with a step back in the middle. Runs with odd seeds go
    back to the earlier build afterwards, so that runs end with either build.
    """
    generator = random.Random(seed)
    order = generator.sample(range(vms), vms)
    middle = order[vms // 2]
    steps: list[tuple[int, bool]] = []
    for target in order:
        steps.append((target, False))
        if target == middle:
            steps += [(target, True), (target, False)]
    if seed % 2:
        steps += [(target, True) for target in reversed(order)]
    interval = seconds / (len(steps) + 1)
    return [
        Replacement(number * interval, target, to_former, generator.random() < _KILLED_SHARE)
        for number, (target, to_former) in enumerate(steps, 1)
    ]
