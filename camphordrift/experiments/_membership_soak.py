"""Soak test: randomized faults of the membership, with invariants asserted during the run.

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

#: All VMs remove a crashed VM from their home candidates within this time, in seconds.
DETECTION_BOUND_SECONDS = 8.0

#: All VMs remove a draining VM from their home candidates within this time, in seconds.
LEAVING_BOUND_SECONDS = 3.0

#: VMs that could not reach each other are candidates again within this time, in seconds.
REJOINING_BOUND_SECONDS = 15.0

#: All views agree within this time after the last fault, in seconds.
CONVERGENCE_BOUND_SECONDS = 30.0

#: A VM is a candidate on all VMs within this time after its start, in seconds; even if the platform
#: list is empty and the others find it only by probing VMs that they regard as dead.
JOINING_BOUND_SECONDS = 12.0

#: Pauses of at most this time never lead to an eviction, in seconds.
HARMLESS_PAUSE_SECONDS = 1.5

_CHECK_INTERVAL_SECONDS = 0.25
_DETECTION_STEP_SECONDS = 0.01
_KEYS = tuple(f"pool-{number}" for number in range(20))

ViewFactory = Callable[[MemberRecord, MembershipSettings, float], MembershipView]


@dataclass
class SoakReport:
    """Counts and times of one run."""

    #: Number of injected faults, by name.
    faults: "Counter[str]" = field(default_factory=Counter)

    #: Times from a crash until the VM was no candidate of any live VM, in seconds.
    detection_seconds: list[float] = field(default_factory=list)

    #: Times from the start of draining until the VM was no candidate of any live VM, in seconds.
    leaving_seconds: list[float] = field(default_factory=list)

    #: Number of checks that one live VM is a candidate of another; VMs under a fault are exempt.
    pairs_checked: int = 0

    #: Control traffic per VM, sent and received, in bytes per second, averaged over the run.
    bytes_per_second: float = 0.0


@dataclass
class _VmProcess:
    """One process of a VM."""

    service: MembershipService
    messenger: FakeMessenger
    scope: trio.CancelScope


class MembershipSoak:
    """A fleet in virtual time with a random series of faults.

    The names of the fault methods are the keys of ``SoakReport.faults``.
    """

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
        self._processes: dict[VmId, _VmProcess] = {}
        self._list = platform_list()
        self._list_unreadable = False
        self._crashed_since: dict[VmId, float] = {}
        self._leaving_since: dict[VmId, float] = {}
        self._exempt_until: dict[VmId, float] = {}
        #: Crashes and starts of draining, with their time, that need no further timing.
        self._detected: set[tuple[VmId, float]] = set()
        self._incarnation = 0
        self._bytes_of_stopped = 0
        self.report = SoakReport()

    async def run(self, fault_count: int) -> SoakReport:
        """Starts the fleet, injects faults, ends them and checks that all views agree."""
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
            await self._end_faults()
            self._check_convergence()
            self._count_bytes()
            nursery.cancel_scope.cancel()
        return self.report

    async def time_detection(self, leaving: bool) -> float:
        """Returns the time until all VMs removed one that crashed or drains, in seconds."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._set_list(self._names)
            for name in self._names:
                self._start(name)
            await trio.sleep(self._rng.uniform(15.0, 18.0))
            target, started = self._random_vm(), trio.current_time()
            if leaving:
                self._processes[target].service.announce_leaving()
            else:
                self._stop(target)
            while self._is_candidate(target):
                await trio.sleep(_DETECTION_STEP_SECONDS)
            seconds = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return seconds

    def _is_candidate(self, name: VmId) -> bool:
        now = trio.current_time()
        views = (process.service.view for process in self._processes.values())
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
        self._processes[name] = _VmProcess(service, messenger, trio.CancelScope())
        self._crashed_since.pop(name, None)
        self._leaving_since.pop(name, None)
        self._exempt_from_checks(name, JOINING_BOUND_SECONDS)
        self._nursery.start_soon(self._run_process, self._processes[name])

    async def _run_process(self, process: _VmProcess) -> None:
        with process.scope:
            await process.service.run()

    def _stop(self, name: VmId) -> None:
        process = self._processes.pop(name)
        process.scope.cancel()
        self._network.detach(name)
        self._bytes_of_stopped += process.messenger.bytes_sent + process.messenger.bytes_received
        self._crashed_since[name] = trio.current_time()
        if self._leaving_since.pop(name, None) is not None:
            self._detected.add((name, self._crashed_since[name]))

    async def _read_list(self) -> PlatformList:
        await trio.sleep(0.01)
        if self._list_unreadable:
            raise OSError("platform list is unreadable")
        return self._list

    def _set_list(self, names: tuple[VmId, ...]) -> None:
        self._list = platform_list(tuple(ListedVm(name, "10.0.0.1", 7000) for name in names))

    def _random_vm(self) -> VmId:
        return self._rng.choice(sorted(self._processes))

    def _exempt_from_checks(self, name: VmId, seconds: float) -> None:
        """Exempts ``name`` from the checks for ``seconds``, as observer and as subject."""
        until = trio.current_time() + seconds
        self._exempt_until[name] = max(until, self._exempt_until.get(name, 0.0))

    async def _kill(self) -> None:
        if len(self._processes) > max(2, len(self._names) // 2):
            self._stop(self._random_vm())

    async def _restart(self) -> None:
        for name in sorted(self._crashed_since)[:1]:
            self._start(name)

    async def _replace(self) -> None:
        """Announces draining, waits as a graceful shutdown does, and restarts the VM."""
        name = self._random_vm()
        self._processes[name].service.announce_leaving()
        self._leaving_since[name] = trio.current_time()
        await trio.sleep(6.0)
        self._stop(name)
        await trio.sleep(self._rng.uniform(0.1, 3.0))
        self._start(name)

    async def _cut_link(self) -> None:
        """Cuts one link; neither VM may be evicted, because the others still reach both."""
        if len(self._processes) < 4:
            return
        pair = frozenset(self._rng.sample(sorted(self._processes), 2))
        self._network.cut_links.add(pair)
        await trio.sleep(self._rng.uniform(2.0, 15.0))
        self._network.cut_links.discard(pair)

    async def _pause(self, seconds: float) -> None:
        name = self._random_vm()
        self._network.paused[name] = trio.Event()
        await trio.sleep(seconds)
        self._network.paused.pop(name).set()

    async def _pause_shortly(self) -> None:
        await self._pause(self._rng.uniform(0.1, HARMLESS_PAUSE_SECONDS))

    async def _pause_long(self) -> None:
        seconds = self._rng.uniform(4.0, 9.0)
        for name in self._processes:
            self._exempt_from_checks(name, seconds + REJOINING_BOUND_SECONDS)
        await self._pause(seconds)

    async def _split(self) -> None:
        names = sorted(self._processes)
        group = self._rng.sample(names, len(names) // 2)
        self._network.partition_of = dict.fromkeys(group, 1)
        seconds = self._rng.uniform(2.0, 12.0)
        for name in names:
            self._exempt_from_checks(name, seconds + REJOINING_BOUND_SECONDS)
        await trio.sleep(seconds)
        self._network.partition_of = {}

    async def _lose_messages(self) -> None:
        self._network.loss_probability = 0.02
        await trio.sleep(self._rng.uniform(2.0, 10.0))
        self._network.loss_probability = 0.0

    async def _spoil_list(self) -> None:
        """Makes the platform list unreadable, empty or wrong until the next such fault."""
        self._list_unreadable = self._rng.random() < 0.25
        subset = tuple(name for name in self._names if self._rng.random() < 0.5)
        stranger = VmId(f"stranger-{self._rng.randrange(3)}")
        self._set_list(self._rng.choice([(), subset, (*subset, stranger), self._names]))

    async def _end_faults(self) -> None:
        self._list_unreadable = False
        self._set_list(self._names)
        for name in sorted(self._crashed_since):
            self._start(name)
        await trio.sleep(CONVERGENCE_BOUND_SECONDS)

    async def _check_repeatedly(self) -> None:
        while True:
            self._check_invariants()
            await trio.sleep(_CHECK_INTERVAL_SECONDS)

    def _check_invariants(self) -> None:
        now = trio.current_time()
        observers = {
            name: process.service.view
            for name, process in self._processes.items()
            if now >= self._exempt_until.get(name, 0.0)
        }
        for view in observers.values():
            for subject in observers:
                accepted = subject in view.home_candidates(now) or subject in self._leaving_since
                assert accepted, f"{view.own.vm_id} evicted {subject}, which is alive, at {now}"
                self.report.pairs_checked += 1
        undisturbed = len(observers) == len(self._processes)
        durations = self.report.detection_seconds
        self._check_removed(self._crashed_since, DETECTION_BOUND_SECONDS, durations, undisturbed)
        durations = self.report.leaving_seconds
        self._check_removed(self._leaving_since, LEAVING_BOUND_SECONDS, durations, undisturbed)

    def _check_removed(
        self,
        start_times: dict[VmId, float],
        bound: float,
        durations: list[float],
        undisturbed: bool,
    ) -> None:
        """Asserts that crashed or draining VMs are removed from all candidates within ``bound``."""
        now = trio.current_time()
        for name, start in start_times.items():
            holders = [
                process.service.view.own.vm_id
                for process in self._processes.values()
                if name in process.service.view.home_candidates(now)
            ]
            overdue = undisturbed and now - start > bound
            assert not (holders and overdue), f"{name} is a candidate of {holders} at {now}"
            if not holders and (name, start) not in self._detected and undisturbed:
                durations.append(now - start)
            if not holders:
                self._detected.add((name, start))

    def _check_convergence(self) -> None:
        now = trio.current_time()
        views = [process.service.view for process in self._processes.values()]
        for view in views:
            candidates = view.home_candidates(now)
            assert candidates == tuple(sorted(self._processes)), (view.own.vm_id, candidates)
        for key in _KEYS:
            homes = {view.home_of(key, now) for view in views}
            assert len(homes) == 1, f"VMs disagree on the home VM of {key}: {homes}"

    def _count_bytes(self) -> None:
        messengers = [process.messenger for process in self._processes.values()]
        current_bytes = sum(m.bytes_sent + m.bytes_received for m in messengers)
        vm_seconds = trio.current_time() * len(self._names)
        self.report.bytes_per_second = (current_bytes + self._bytes_of_stopped) / vm_seconds


def run_membership_soak(
    seed: int,
    vm_count: int = 7,
    fault_count: int = 40,
    view_factory: ViewFactory = MembershipView,
) -> SoakReport:
    """Runs one seed in virtual time; raises ``AssertionError`` if an invariant does not hold."""

    async def main() -> SoakReport:
        soak = MembershipSoak(seed, vm_count, MembershipSettings(), view_factory)
        return await soak.run(fault_count)

    return run_in_virtual_time(main)


def measure_detection(vm_count: int, leaving: bool, seeds: range) -> list[float]:
    """Returns, for each seed, the time until all VMs removed a crashed or draining VM."""

    def run_seed(seed: int) -> float:
        soak = MembershipSoak(seed, vm_count, MembershipSettings())
        return run_in_virtual_time(lambda: soak.time_detection(leaving))

    return [run_seed(seed) for seed in seeds]


def main(first_seed: int, count: int, vm_count: int) -> None:
    """Runs consecutive seeds and prints one report per line."""
    for seed in range(first_seed, first_seed + count):
        report = run_membership_soak(seed, vm_count)
        detected, leaving = report.detection_seconds, report.leaving_seconds
        print(
            f"seed={seed} faults={sum(report.faults.values())}"
            f" deaths_timed={len(detected)} detection_mean={mean(detected or [0]):.2f}"
            f" detection_max={max(detected, default=0):.2f}"
            f" leaving_max={max(leaving, default=0):.2f}"
            f" pairs_checked={report.pairs_checked}"
            f" bytes_per_second={report.bytes_per_second:.0f}"
        )


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:]]
    main(*(arguments + [1, 1, 7][len(arguments) :]))
