"""The faults of one run, drawn from its seed."""

import random
from dataclasses import dataclass

#: Faults of VMs, of the store, of servers, and changes by the operator.
FAULT_KINDS = (
    "vm_kill",
    "vm_restart",
    "vm_pause",
    "vm_hang_up",
    "store_busy",
    "store_slow",
    "store_lost",
    "store_way_silence",
    "store_way_one_way",
    "store_way_reset",
    "store_way_delay",
    "server_hang",
    "server_cut",
    "server_full",
    "server_fail",
    "servers_cut",
    "servers_hang",
    "server_way_silence",
    "server_way_one_way",
    "server_way_reset",
    "server_way_delay",
    "server_replace",
    "key_change",
    "key_change_unseen",
)

#: Seconds between the beginnings of two faults, on average; they last longer, so that they overlap.
_INTERVAL = 0.8

#: Seconds that a fault lasts.
_SHORTEST, _LONGEST = 0.3, 3.0


@dataclass(frozen=True)
class Fault:
    """One disturbance."""

    #: Seconds after the start of the load.
    at: float
    kind: str
    #: Which VM or server, counted modulo their number.
    target: int
    seconds: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run; those of VMs come in series now and then."""
    source = random.Random(seed)
    faults: list[Fault] = []
    at = source.expovariate(1 / _INTERVAL)
    while at < seconds:
        kind = source.choice(FAULT_KINDS)
        target, lasts = source.randrange(100), source.uniform(_SHORTEST, _LONGEST)
        faults.append(Fault(at, kind, target, lasts))
        if kind in ("vm_kill", "vm_restart", "vm_pause") and source.random() < 0.4:
            again = source.choice(("vm_kill", "vm_restart", "vm_pause"))
            faults.append(Fault(at + source.uniform(0.0, 1.0), again, target + 1, lasts))
        at += source.expovariate(1 / _INTERVAL)
    return sorted(faults, key=lambda fault: fault.at)
