"""Shares the work of looking after engines' memory among the live VMs."""

from collections.abc import Iterable

import xxhash

from camphordrift.identifiers import BackendServerId, VmId

#: How often the VMs that come first, second and third for an engine look at it, in rounds. All
#: others leave it alone. Views that differ only make more VMs look, or the next one in line.
ROUNDS_BETWEEN_LOOKS = (1, 4, 8)


def engines_due(
    engines: Iterable[BackendServerId],
    live_vms: Iterable[VmId],
    this_vm: VmId,
    round_number: int,
) -> tuple[BackendServerId, ...]:
    """Returns the engines whose holds this VM compares in a round, by rendezvous hashing."""
    vms = set(live_vms) | {this_vm}
    due = []
    for engine_id in engines:
        rank = _rank(engine_id, vms, this_vm)
        if rank < len(ROUNDS_BETWEEN_LOOKS) and round_number % ROUNDS_BETWEEN_LOOKS[rank] == 0:
            due.append(engine_id)
    return tuple(due)


def _rank(engine_id: BackendServerId, vms: set[VmId], this_vm: VmId) -> int:
    own_weight = _weight(engine_id, this_vm)
    return sum(1 for vm in vms if _weight(engine_id, vm) > own_weight)


def _weight(engine_id: BackendServerId, vm_id: VmId) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(f"{engine_id}\x00{vm_id}".encode()), vm_id)
