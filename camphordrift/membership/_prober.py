"""Chooses whom to probe next, and through whom."""

import random
from collections import deque
from collections.abc import Sequence

from camphordrift.identifiers import VmId
from camphordrift.membership._settings import MembershipSettings


class Prober:
    """Goes round the targets in a random order, so that each is probed in bounded time.

    Between two probes of a target lie at most twice as many probes as there are targets, besides
    the share of probes that goes to dead VMs.
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._round: deque[VmId] = deque()
        self._urgent: deque[VmId] = deque()
        self._probes = 0

    def hurry(self, vm_id: VmId) -> None:
        """Has a VM probed next, since a connection to it has failed."""
        if vm_id not in self._urgent:
            self._urgent.append(vm_id)

    def next_targets(self, live: Sequence[VmId], dead: Sequence[VmId]) -> tuple[VmId, ...]:
        """Returns the VMs to probe now: one that lives, those in a hurry, at times a dead one."""
        self._probes += 1
        chosen = list(self._urgent)
        self._urgent.clear()
        upcoming = self._next_in_round(live)
        chosen.extend(upcoming)
        turn, rest = divmod(self._probes, self._settings.dead_probe_share)
        if dead and rest == 0:
            chosen.append(dead[turn % len(dead)])
        return tuple(dict.fromkeys(chosen))

    def choose_helpers(self, target: VmId, live: Sequence[VmId]) -> tuple[VmId, ...]:
        """Returns the VMs that are asked to probe ``target`` in place of this one."""
        others = [vm_id for vm_id in live if vm_id != target]
        count = min(self._settings.indirect_probes, len(others))
        return tuple(self._rng.sample(others, count))

    def _next_in_round(self, live: Sequence[VmId]) -> list[VmId]:
        while self._round:
            vm_id = self._round.popleft()
            if vm_id in live:
                return [vm_id]
        self._round.extend(self._rng.sample(list(live), len(live)))
        return [self._round.popleft()] if self._round else []
