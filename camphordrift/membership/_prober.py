"""Selection of the VMs to probe and of the helpers for indirect probes."""

import random
from collections import deque
from collections.abc import Sequence

from camphordrift.identifiers import VmId
from camphordrift.membership._settings import MembershipSettings


class Prober:
    """Iterates over the live VMs in shuffled order, so that each is probed in bounded time.

    Between two probes of one live VM, at most twice as many probes as there are live VMs are sent,
    not counting the probes of dead VMs.
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._shuffled_targets: deque[VmId] = deque()
        self._urgent: deque[VmId] = deque()
        self._probe_rounds = 0

    def probe_next(self, vm_id: VmId) -> None:
        """Schedules a VM for the next round of probes, for example after a failed request to it."""
        if vm_id not in self._urgent:
            self._urgent.append(vm_id)

    def next_targets(self, live: Sequence[VmId], dead: Sequence[VmId]) -> tuple[VmId, ...]:
        """Returns the VMs to probe in this round.

        These are the VMs requested by :meth:`probe_next`, one VM of ``live``, and a dead VM in
        every ``dead_probe_interval``-th round.
        """
        self._probe_rounds += 1
        chosen = list(self._urgent)
        self._urgent.clear()
        next_live = self._next_live_targets(live)
        chosen.extend(next_live)
        dead_turn, remainder = divmod(self._probe_rounds, self._settings.dead_probe_interval)
        if dead and remainder == 0:
            chosen.append(dead[dead_turn % len(dead)])
        return tuple(dict.fromkeys(chosen))

    def choose_helpers(self, target: VmId, live: Sequence[VmId]) -> tuple[VmId, ...]:
        """Returns random VMs that are asked to probe ``target`` on behalf of this VM."""
        others = [vm_id for vm_id in live if vm_id != target]
        count = min(self._settings.indirect_probe_count, len(others))
        return tuple(self._rng.sample(others, count))

    def _next_live_targets(self, live: Sequence[VmId]) -> list[VmId]:
        while self._shuffled_targets:
            vm_id = self._shuffled_targets.popleft()
            if vm_id in live:
                return [vm_id]
        self._shuffled_targets.extend(self._rng.sample(list(live), len(live)))
        return [self._shuffled_targets.popleft()] if self._shuffled_targets else []
