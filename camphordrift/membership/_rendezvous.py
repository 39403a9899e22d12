"""Rendezvous hashing and the choice of probe targets.

Both are deterministic and change little when a VM is added or removed.
"""

from collections.abc import Iterable

import xxhash

from camphordrift.identifiers import VmId


def rendezvous_order(key: str, vm_ids: Iterable[VmId]) -> tuple[VmId, ...]:
    """Returns the VMs ordered by their rendezvous score for ``key``, highest first.

    The relative order of two VMs depends only on the key and on these two VMs, so adding or
    removing a VM moves only the keys for which it is first.
    """
    return tuple(sorted(vm_ids, key=lambda vm_id: (-_score(key, vm_id), vm_id)))


def first_by_rendezvous(key: str, vm_ids: Iterable[VmId]) -> VmId:
    """Returns the first VM of :func:`rendezvous_order` without sorting.

    Raises ``ValueError`` if ``vm_ids`` is empty.
    """
    return min(vm_ids, key=lambda vm_id: (-_score(key, vm_id), vm_id))


def probe_targets(own: VmId, vm_ids: Iterable[VmId], count: int) -> tuple[VmId, ...]:
    """Returns the other VMs, at most ``count``, that ``own`` probes and sends urgent changes to.

    Two of them are its successors on a hash ring, so that each VM is probed by at least two others.
    The rest are selected by rendezvous hashing, so that the number of hops in which a change
    reaches the whole fleet grows with the logarithm of the fleet size.
    """
    others = [vm_id for vm_id in vm_ids if vm_id != own]
    if len(others) <= count:
        return tuple(sorted(others))
    ring = sorted(others, key=lambda vm_id: (_score("ring", vm_id), vm_id))
    own_position = (_score("ring", own), own)
    successor_index = sum((_score("ring", vm_id), vm_id) < own_position for vm_id in ring)
    successors = [ring[(successor_index + step) % len(ring)] for step in range(2)]
    rest = rendezvous_order(own, (vm_id for vm_id in others if vm_id not in successors))
    return (*successors, *rest[: count - 2])


def _score(key: str, vm_id: VmId) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{vm_id}".encode()))
