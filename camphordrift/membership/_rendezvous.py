"""Deterministic choices that hardly move when VMs come and go."""

from collections.abc import Iterable

import xxhash

from camphordrift.identifiers import VmId


def rendezvous_order(key: str, vm_ids: Iterable[VmId]) -> tuple[VmId, ...]:
    """Returns the VMs in the order of preference for ``key``.

    The order of any two VMs depends on nothing but the key and these two, so a VM that comes or
    goes moves only the keys that it is first for.
    """
    return tuple(sorted(vm_ids, key=lambda vm_id: (-_score(key, vm_id), vm_id)))


def first_by_rendezvous(key: str, vm_ids: Iterable[VmId]) -> VmId:
    """Returns the first of :func:`rendezvous_order`, without sorting. Needs at least one VM."""
    return min(vm_ids, key=lambda vm_id: (-_score(key, vm_id), vm_id))


def probe_targets(own: VmId, vm_ids: Iterable[VmId], count: int) -> tuple[VmId, ...]:
    """Returns ``count`` other VMs that ``own`` probes and tells news to.

    Two are its successors on a ring of hashes, so that each VM is probed by at least two; the rest
    are drawn by rendezvous, so that news cross the fleet in a number of steps that grows with the
    logarithm of its size.
    """
    others = [vm_id for vm_id in vm_ids if vm_id != own]
    if len(others) <= count:
        return tuple(sorted(others))
    ring = sorted(others, key=lambda vm_id: (_score("ring", vm_id), vm_id))
    own_place = (_score("ring", own), own)
    after = sum((_score("ring", vm_id), vm_id) < own_place for vm_id in ring)
    successors = [ring[(after + step) % len(ring)] for step in range(2)]
    rest = rendezvous_order(own, (vm_id for vm_id in others if vm_id not in successors))
    return (*successors, *rest[: count - 2])


def _score(key: str, vm_id: VmId) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{vm_id}".encode()))
