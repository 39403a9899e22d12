"""Assigns engines to the live VMs that reconcile their holds."""

from collections.abc import Iterable

import xxhash

from camphordrift.identifiers import BackendServerId, VmId

#: Number of rounds from one check of an engine to the next, for the VMs that rank first, second and
#: third for it; other VMs do not check it. If the VMs' member lists differ, the engine is still
#: checked: by additional VMs, or by one of the next rank.
ROUNDS_BETWEEN_CHECKS = (1, 4, 8)


def engines_due(
    engines: Iterable[BackendServerId],
    live_vms: Iterable[VmId],
    this_vm: VmId,
    round_number: int,
) -> tuple[BackendServerId, ...]:
    """Returns the engines that this VM checks in the given round.

    For each engine the live VMs are ranked by rendezvous hashing.
    """
    vms = set(live_vms) | {this_vm}
    due = []
    for engine_id in engines:
        rank = _rank(engine_id, vms, this_vm)
        if rank < len(ROUNDS_BETWEEN_CHECKS) and round_number % ROUNDS_BETWEEN_CHECKS[rank] == 0:
            due.append(engine_id)
    return tuple(due)


def _rank(engine_id: BackendServerId, vms: set[VmId], this_vm: VmId) -> int:
    own_weight = _weight(engine_id, this_vm)
    return sum(1 for vm in vms if _weight(engine_id, vm) > own_weight)


def _weight(engine_id: BackendServerId, vm_id: VmId) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(f"{engine_id}\x00{vm_id}".encode()), vm_id)
