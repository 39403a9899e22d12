"""Draws the faults of one run from its seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

#: Faults of VMs, the store and backend servers, and changes of API keys. The first word names what
#: is affected; "way" stands for the proxy in front of it.
BASIC_KINDS = (
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

#: Servers that become cold again.
COLD_KINDS = ("server_cold", "servers_cold")

#: All kinds of faults.
FAULT_KINDS = (
    *BASIC_KINDS,
    "server_silent",
    "servers_silent",
    "configuration_change",
    "server_unframed",
    "servers_unframed",
    "prompt_crash",
    "server_leave",
    "server_turn_away",
    "servers_turn_away",
    "store_restore",
    "server_limit",
    "servers_limit",
    "configuration_storm",
    "request_crash",
    "path_hang",
    "path_reset",
    "path_refuse",
    "paths_hang",
    *COLD_KINDS,
    "zone_evacuate",
)

#: Minimum and maximum duration in seconds of faults that need other ones than most.
_DURATIONS = {
    "server_silent": (0.8, 1.8),
    "servers_silent": (0.8, 1.8),
    "prompt_crash": (12.0, 14.0),
    "request_crash": (12.0, 14.0),
    "path_hang": (9.0, 12.0),
    "path_reset": (9.0, 12.0),
    "path_refuse": (9.0, 12.0),
    "paths_hang": (9.0, 12.0),
    "server_leave": (3.0, 6.0),
    "server_turn_away": (3.0, 5.0),
    "servers_turn_away": (3.0, 5.0),
    "store_restore": (1.0, 2.5),
    "server_limit": (8.0, 10.0),
    "servers_limit": (8.0, 10.0),
    "server_cold": (6.0, 8.0),
    "servers_cold": (6.0, 8.0),
    # Longer than VMs may take to notice it.
    "zone_evacuate": (8.0, 11.0),
}

#: Mean number of seconds between the starts of two faults. Most faults last longer than that, so
#: that they overlap.
_MEAN_INTERVAL = 0.8

#: Minimum and maximum duration of a fault in seconds.
_USUAL_DURATION = (0.3, 3.0)


@dataclass(frozen=True)
class Fault:
    """One fault to inject."""

    #: Seconds after the start of the load at which the fault begins.
    start: float
    kind: str
    #: Index of the affected VM or server, modulo their number.
    target: int
    #: Duration of the fault; unused for faults without one, such as ``vm_restart``.
    seconds: float


def draw_faults(seed: int, seconds: float, kinds: Sequence[str] = FAULT_KINDS) -> list[Fault]:
    """Returns the faults of a run, of the given kinds; none without kinds.

    Some faults of a VM are followed by a fault of the next VM within a second.
    """
    if not kinds:
        return []
    generator = random.Random(seed)
    faults: list[Fault] = []
    start = generator.expovariate(1 / _MEAN_INTERVAL)
    while start < seconds:
        kind = generator.choice(kinds)
        target = generator.randrange(100)
        duration = generator.uniform(*_DURATIONS.get(kind, _USUAL_DURATION))
        faults.append(Fault(start, kind, target, duration))
        if kind in ("vm_kill", "vm_restart", "vm_pause") and generator.random() < 0.4:
            second_kind = generator.choice(("vm_kill", "vm_restart", "vm_pause"))
            faults.append(
                Fault(start + generator.uniform(0.0, 1.0), second_kind, target + 1, duration)
            )
        start += generator.expovariate(1 / _MEAN_INTERVAL)
    return sorted(faults, key=lambda fault: fault.start)
