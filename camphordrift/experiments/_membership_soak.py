"""Long randomised runs of membership under faults, with invariants asserted inside.

Run ``python -m camphordrift.experiments._membership_soak FIRST_SEED COUNT [VMS]``.
"""

import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from statistics import mean

import trio

from camphordrift.experiments._fake_network import FakeMessenger, FakeNetwork, fake_messenger
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.membership import (
    BackendServerView,
    GossipQueue,
    ListedVm,
    MemberRecord,
    MembershipParts,
    MembershipService,
    MembershipSettings,
    MembershipView,
    PlatformList,
    Prober,
    platform_list,
)
from camphordrift.testing import run_in_virtual_time

#: A VM that died is no candidate anywhere after this time, in seconds.
DETECTION_BOUND_SECONDS = 8.0

#: A VM that leaves is no candidate anywhere after this time, in seconds.
LEAVING_BOUND_SECONDS = 3.0

#: VMs that could not hear each other are candidates again after this time, in seconds.
REJOINING_BOUND_SECONDS = 15.0

#: All views agree this long after the last fault, in seconds.
CONVERGENCE_BOUND_SECONDS = 30.0

#: A VM that starts is a candidate everywhere after this time, even if the list names no one and
#: the others have to find it again among the dead, in seconds.
JOINING_BOUND_SECONDS = 12.0

#: Pauses up to this long never lead to an eviction, in seconds.
HARMLESS_PAUSE_SECONDS = 1.5

_CHECK_SECONDS = 0.25
_NOTICE_STEP_SECONDS = 0.01
_KEYS = tuple(f"pool-{number}" for number in range(20))

ViewFactory = Callable[[MemberRecord, MembershipSettings, float], MembershipView]


@dataclass
class SoakReport:
    """What one run showed."""

    #: Faults that were brought about, by name.
    faults: "Counter[str]" = field(default_factory=Counter)

    #: Time from a death until no live VM had the dead one as a candidate, in seconds.
    detection_seconds: list[float] = field(default_factory=list)

    #: Time from an announcement until no live VM had the leaving one as a candidate, in seconds.
    leaving_seconds: list[float] = field(default_factory=list)

    #: How often a VM that no fault excused was checked to be a candidate of another one.
    pairs_checked: int = 0

    #: Control bytes sent and received per VM and second, over the whole run.
    bytes_per_second: float = 0.0


@dataclass
class _Node:
    """One VM's process."""

    service: MembershipService
    messenger: FakeMessenger
    scope: trio.CancelScope


class MembershipSoak:
    """A fleet in virtual time, and a random series of faults."""

    def __init__(
        self,
        seed: int,
        vm_count: int,
        settings: MembershipSettings,
        view_factory: ViewFactory = MembershipView,
    ) -> None:
        self._rng = random.Random(seed)
        self._settings = settings
        self._view_factory = view_factory
        self._network = FakeNetwork(random.Random(seed + 1))
        self._names = tuple(VmId(f"vm-{number}") for number in range(vm_count))
        self._nodes: dict[VmId, _Node] = {}
        self._list = platform_list()
        self._list_fails = False
        self._gone_since: dict[VmId, float] = {}
        self._leaving_since: dict[VmId, float] = {}
        self._exempt_until: dict[VmId, float] = {}
        self._timed: set[tuple[VmId, float]] = set()
        self._incarnation = 0
        self._past_bytes = 0
        self.report = SoakReport()

    async def run(self, fault_count: int) -> SoakReport:
        """Starts the fleet, brings about faults, heals them, and checks that views agree."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._set_list(self._names)
            for name in self._names:
                self._start(name)
            await trio.sleep(5.0)
            nursery.start_soon(self._check_repeatedly)
            for _ in range(fault_count):
                fault = self._rng.choice(self._faults())
                self.report.faults[fault.__name__.strip("_")] += 1
                await fault()
                await trio.sleep(self._rng.uniform(0.5, 6.0))
            await self._heal()
            self._check_convergence()
            self._count_bytes()
            nursery.cancel_scope.cancel()
        return self.report

    async def time_notice(self, leaving: bool) -> float:
        """Returns how long all VMs take to notice that one has died, or leaves, in seconds."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._set_list(self._names)
            for name in self._names:
                self._start(name)
            await trio.sleep(self._rng.uniform(15.0, 18.0))
            gone, started = self._pick(), trio.current_time()
            if leaving:
                self._nodes[gone].service.announce_leaving()
            else:
                self._stop(gone)
            while self._is_candidate(gone):
                await trio.sleep(_NOTICE_STEP_SECONDS)
            seconds = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return seconds

    def _is_candidate(self, name: VmId) -> bool:
        now = trio.current_time()
        views = (node.service.view for node in self._nodes.values())
        return any(name in view.home_candidates(now) for view in views)

    def _faults(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        return (
            self._kill,
            self._restart,
            self._replace,
            self._cut_link,
            self._pause_shortly,
            self._pause_long,
            self._split,
            self._lose_messages,
            self._spoil_list,
        )

    def _start(self, name: VmId) -> None:
        self._incarnation += 1
        incarnation = Incarnation(self._incarnation)
        messenger = fake_messenger(name, incarnation, self._network, self._nursery)
        now = trio.current_time()
        own = MemberRecord(name, incarnation, address=f"10.0.0.1:{7000 + self._incarnation}")
        parts = MembershipParts(
            view=self._view_factory(own, self._settings, now),
            servers=BackendServerView(),
            gossip=GossipQueue(self._settings, now),
            prober=Prober(self._settings, random.Random(self._rng.random())),
        )
        service = MembershipService(parts, self._settings, messenger, self._read_list)
        self._nodes[name] = _Node(service, messenger, trio.CancelScope())
        self._gone_since.pop(name, None)
        self._leaving_since.pop(name, None)
        self._exempt(name, JOINING_BOUND_SECONDS)
        self._nursery.start_soon(self._run_node, self._nodes[name])

    async def _run_node(self, node: _Node) -> None:
        with node.scope:
            await node.service.run()

    def _stop(self, name: VmId) -> None:
        node = self._nodes.pop(name)
        node.scope.cancel()
        self._network.detach(name)
        self._past_bytes += node.messenger.bytes_sent + node.messenger.bytes_received
        self._gone_since[name] = trio.current_time()
        if self._leaving_since.pop(name, None) is not None:
            self._timed.add((name, self._gone_since[name]))

    async def _read_list(self) -> PlatformList:
        await trio.sleep(0.01)
        if self._list_fails:
            raise OSError("the list cannot be read")
        return self._list

    def _set_list(self, names: tuple[VmId, ...]) -> None:
        self._list = platform_list(tuple(ListedVm(name, "10.0.0.1", 7000) for name in names))

    def _pick(self) -> VmId:
        return self._rng.choice(sorted(self._nodes))

    def _exempt(self, name: VmId, seconds: float) -> None:
        """Lets other VMs judge ``name`` wrongly for a while, and ``name`` them."""
        until = trio.current_time() + seconds
        self._exempt_until[name] = max(until, self._exempt_until.get(name, 0.0))

    async def _kill(self) -> None:
        if len(self._nodes) > max(2, len(self._names) // 2):
            self._stop(self._pick())

    async def _restart(self) -> None:
        for name in sorted(self._gone_since)[:1]:
            self._start(name)

    async def _replace(self) -> None:
        """Announces leaving, waits as a planned stop does, and starts the VM anew."""
        name = self._pick()
        self._nodes[name].service.announce_leaving()
        self._leaving_since[name] = trio.current_time()
        await trio.sleep(6.0)
        self._stop(name)
        await trio.sleep(self._rng.uniform(0.1, 3.0))
        self._start(name)

    async def _cut_link(self) -> None:
        """Cuts a link, which must not evict either end: others still reach both."""
        if len(self._nodes) < 4:
            return
        pair = frozenset(self._rng.sample(sorted(self._nodes), 2))
        self._network.cut_links.add(pair)
        await trio.sleep(self._rng.uniform(2.0, 15.0))
        self._network.cut_links.discard(pair)

    async def _pause(self, seconds: float) -> None:
        name = self._pick()
        self._network.paused[name] = trio.Event()
        await trio.sleep(seconds)
        self._network.paused.pop(name).set()

    async def _pause_shortly(self) -> None:
        await self._pause(self._rng.uniform(0.1, HARMLESS_PAUSE_SECONDS))

    async def _pause_long(self) -> None:
        seconds = self._rng.uniform(4.0, 9.0)
        for name in self._nodes:
            self._exempt(name, seconds + REJOINING_BOUND_SECONDS)
        await self._pause(seconds)

    async def _split(self) -> None:
        names = sorted(self._nodes)
        group = self._rng.sample(names, len(names) // 2)
        self._network.group_of = dict.fromkeys(group, 1)
        seconds = self._rng.uniform(2.0, 12.0)
        for name in names:
            self._exempt(name, seconds + REJOINING_BOUND_SECONDS)
        await trio.sleep(seconds)
        self._network.group_of = {}

    async def _lose_messages(self) -> None:
        self._network.loss = 0.02
        await trio.sleep(self._rng.uniform(2.0, 10.0))
        self._network.loss = 0.0

    async def _spoil_list(self) -> None:
        """Has the list be unreadable, empty, or wrong, until the next time."""
        self._list_fails = self._rng.random() < 0.25
        some = tuple(name for name in self._names if self._rng.random() < 0.5)
        stranger = VmId(f"stranger-{self._rng.randrange(3)}")
        self._set_list(self._rng.choice([(), some, (*some, stranger), self._names]))

    async def _heal(self) -> None:
        self._list_fails = False
        self._set_list(self._names)
        for name in sorted(self._gone_since):
            self._start(name)
        await trio.sleep(CONVERGENCE_BOUND_SECONDS)

    async def _check_repeatedly(self) -> None:
        while True:
            self._check_invariants()
            await trio.sleep(_CHECK_SECONDS)

    def _check_invariants(self) -> None:
        now = trio.current_time()
        observers = {
            name: node.service.view
            for name, node in self._nodes.items()
            if now >= self._exempt_until.get(name, 0.0)
        }
        for view in observers.values():
            for subject in observers:
                chosen = subject in view.home_candidates(now) or subject in self._leaving_since
                assert chosen, f"{view.own.vm_id} evicted {subject}, which lives, at {now}"
                self.report.pairs_checked += 1
        undisturbed = len(observers) == len(self._nodes)
        found = self.report.detection_seconds
        self._check_gone(self._gone_since, DETECTION_BOUND_SECONDS, found, undisturbed)
        found = self.report.leaving_seconds
        self._check_gone(self._leaving_since, LEAVING_BOUND_SECONDS, found, undisturbed)

    def _check_gone(
        self, since: dict[VmId, float], bound: float, found: list[float], undisturbed: bool
    ) -> None:
        """Checks that VMs that died or leave are soon no candidates of any VM."""
        now = trio.current_time()
        for name, start in since.items():
            holders = [
                node.service.view.own.vm_id
                for node in self._nodes.values()
                if name in node.service.view.home_candidates(now)
            ]
            late = undisturbed and now - start > bound
            assert not (holders and late), f"{name} is a candidate of {holders} at {now}"
            if not holders and (name, start) not in self._timed and undisturbed:
                found.append(now - start)
            if not holders:
                self._timed.add((name, start))

    def _check_convergence(self) -> None:
        now = trio.current_time()
        views = [node.service.view for node in self._nodes.values()]
        for view in views:
            candidates = view.home_candidates(now)
            assert candidates == tuple(sorted(self._nodes)), (view.own.vm_id, candidates)
        for key in _KEYS:
            homes = {view.home_of(key, now) for view in views}
            assert len(homes) == 1, f"the home of {key} is not agreed: {homes}"

    def _count_bytes(self) -> None:
        messengers = [node.messenger for node in self._nodes.values()]
        present = sum(m.bytes_sent + m.bytes_received for m in messengers)
        vm_seconds = trio.current_time() * len(self._names)
        self.report.bytes_per_second = (present + self._past_bytes) / vm_seconds


def run_membership_soak(
    seed: int,
    vm_count: int = 7,
    fault_count: int = 40,
    view_factory: ViewFactory = MembershipView,
) -> SoakReport:
    """Returns what a run showed; raises ``AssertionError`` if an invariant did not hold."""

    async def main() -> SoakReport:
        soak = MembershipSoak(seed, vm_count, MembershipSettings(), view_factory)
        return await soak.run(fault_count)

    return run_in_virtual_time(main)


def measure_detection(vm_count: int, leaving: bool, seeds: range) -> list[float]:
    """Returns, for each seed, how long all VMs took to notice a death or a leaving VM."""

    def run_seed(seed: int) -> float:
        soak = MembershipSoak(seed, vm_count, MembershipSettings())
        return run_in_virtual_time(lambda: soak.time_notice(leaving))

    return [run_seed(seed) for seed in seeds]


def main(first_seed: int, count: int, vm_count: int) -> None:
    """Runs several seeds and prints what they showed."""
    for seed in range(first_seed, first_seed + count):
        report = run_membership_soak(seed, vm_count)
        detected, left = report.detection_seconds, report.leaving_seconds
        print(
            f"seed={seed} faults={sum(report.faults.values())}"
            f" deaths_timed={len(detected)} detection_mean={mean(detected or [0]):.2f}"
            f" detection_max={max(detected, default=0):.2f}"
            f" leaving_max={max(left, default=0):.2f}"
            f" pairs_checked={report.pairs_checked}"
            f" bytes_per_second={report.bytes_per_second:.0f}"
        )


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:]]
    main(*(arguments + [1, 1, 7][len(arguments) :]))
