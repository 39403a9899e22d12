"""Compares ways to share an account's limit among VMs, and checks the bound of overshoot.

Run ``python -m camphordrift.experiments._limits_comparison [SEED]`` for the tables of
docs/design/limits.md.
"""

import random
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

from returns.result import Success

from camphordrift.account_limits import (
    AccountLimiter,
    FleetSize,
    LimiterSettings,
    ShareAsk,
    ShareGrant,
    ShareHome,
    ShareLease,
    Shares,
    account_home,
)
from camphordrift.configuration import AccountLimits
from camphordrift.identifiers import AccountId, VmId
from camphordrift.peers import MessageRegistry

LIMIT_PER_SECOND = 100.0
TOKENS_PER_REQUEST = 1000
STEP_SECONDS = 0.05
TICK_SECONDS = 0.25
MESSAGE_OVERHEAD_BYTES = 100
ACCOUNT = AccountId("large")

#: A VM that dies is dropped from the others' views after this time, in seconds.
VIEW_LAG_SECONDS = 3.0


class SharingWay(Enum):
    """The ways that are compared."""

    UNSHARED = "each VM has the whole limit"
    STATIC = "equal parts"
    BROADCAST = "usage told to all"
    HOME = "leases of a home VM"


@dataclass
class _Vm:
    """One VM's decisions, and what it sees of the fleet."""

    vm_id: VmId
    limiter: AccountLimiter
    home: ShareHome
    bytes: int = 0
    seen: tuple[VmId, ...] = ()
    group: int = 0
    offered: int = 0
    told: dict[VmId, float] = field(default_factory=dict)


class LimitsRun:
    """Some VMs that see requests of one account, in virtual time."""

    def __init__(
        self, way: SharingWay, vm_count: int, seed: int, settings: Optional[LimiterSettings] = None
    ) -> None:
        self._way = way
        self._rng = random.Random(seed)
        self._settings = settings or LimiterSettings()
        self._registry = MessageRegistry()
        for message_type in (ShareAsk, ShareGrant):
            self._registry.declare(message_type)
        self.now = 0.0
        self.vms: dict[VmId, _Vm] = {}
        self.admitted: list[tuple[float, VmId]] = []
        self.lost_answers = 0.0
        self._next_tick = 0.0
        self._view_changes: list[tuple[float, dict[VmId, tuple[VmId, ...]]]] = []
        self._dead: set[VmId] = set()
        for number in range(vm_count):
            self.join(VmId(f"vm-{number}"))

    def join(self, vm_id: VmId) -> None:
        """Adds a VM; all see it at once."""
        limiter = AccountLimiter(self._settings, self.now)
        limits = AccountLimits(ACCOUNT, LIMIT_PER_SECOND, 1e9, 10**6)
        limiter.set_limits({ACCOUNT: limits}, memory_tokens=10**6)
        home = ShareHome(vm_id, self._settings, account_home, self.now)
        self.vms[vm_id] = _Vm(vm_id, limiter, home)
        self._dead.discard(vm_id)
        self._see_each_other(0.0)

    def kill(self, vm_id: VmId) -> None:
        """Removes a VM; the others see it for some time yet."""
        del self.vms[vm_id]
        self._dead.add(vm_id)
        self._see_each_other(VIEW_LAG_SECONDS)

    def split(self, group: Sequence[VmId]) -> None:
        """Parts the VMs; both sides notice after some time. An empty group heals the split."""
        for vm in self.vms.values():
            vm.group = int(vm.vm_id in group)
        self._see_each_other(VIEW_LAG_SECONDS)

    def run(self, until: float, offered: dict[VmId, float]) -> None:
        """Offers requests per second to some VMs until a time."""
        while self.now < until:
            self.now += STEP_SECONDS
            if self.now >= self._next_tick:
                self._next_tick = self.now + TICK_SECONDS
                self._tick()
            for vm_id, rate in offered.items():
                self._offer(vm_id, rate * STEP_SECONDS)

    def admitted_between(self, start: float, end: float) -> int:
        """Returns how many requests all VMs admitted."""
        return sum(start <= when < end for when, _ in self.admitted)

    def worst_window(self, seconds: float, start: float, end: float) -> float:
        """Returns the most admitted in any window of so many seconds, per second."""
        times = [when for when, _ in self.admitted if start <= when < end]
        worst, first = 0, 0
        for last, when in enumerate(times):
            while times[first] <= when - seconds:
                first += 1
            worst = max(worst, last - first + 1)
        return worst / seconds

    def check_bound(self, factor: float, seconds: float, start: float, end: float) -> None:
        """Asserts the stated bound of overshoot for all windows of so many seconds."""
        bound = factor * LIMIT_PER_SECOND * (seconds + self._settings.burst_seconds)
        worst = self.worst_window(seconds, start, end) * seconds
        assert worst <= bound + len(self.vms), f"{worst} admitted in {seconds} s, bound {bound}"

    def bytes_per_second(self) -> tuple[float, float]:
        """Returns the control bytes a second of the average and of the busiest VM."""
        rates = [vm.bytes / self.now for vm in self.vms.values()]
        return sum(rates) / len(rates), max(rates)

    def _see_each_other(self, lag: float) -> None:
        """Has each VM see those of its group after some time."""
        seen = {
            vm.vm_id: tuple(sorted(o.vm_id for o in self.vms.values() if o.group == vm.group))
            for vm in self.vms.values()
        }
        self._view_changes.append((self.now + lag, seen))
        self._view_changes.sort(key=lambda change: change[0])

    def _offer(self, vm_id: VmId, expected: float) -> None:
        vm = self.vms.get(vm_id)
        count = int(expected) + int(self._rng.random() < expected % 1)
        for _ in range(count if vm is not None else 0):
            assert vm is not None
            vm.offered += 1
            outcome = vm.limiter.try_admit(ACCOUNT, TOKENS_PER_REQUEST, self.now)
            if isinstance(outcome, Success):
                self.admitted.append((self.now, vm_id))
                vm.limiter.release(outcome.unwrap(), self.now)

    def _tick(self) -> None:
        self._change_views()
        for vm in self.vms.values():
            vm.home.on_tick(self.now)
            match self._way:
                case SharingWay.HOME:
                    self._ask_homes(vm)
                case SharingWay.BROADCAST:
                    self._tell_all(vm)
                case SharingWay.STATIC:
                    self._lease(vm, LIMIT_PER_SECOND / len(vm.seen))
                case SharingWay.UNSHARED:
                    self._lease(vm, LIMIT_PER_SECOND)

    def _change_views(self) -> None:
        while self._view_changes and self._view_changes[0][0] <= self.now:
            _, seen = self._view_changes.pop(0)
            known = len(self.vms) + len(self._dead)
            for vm in self.vms.values():
                vm.seen = seen.get(vm.vm_id, vm.seen) or (vm.vm_id,)
                vm.limiter.set_fleet(FleetSize(min(len(vm.seen), known), known))
                vm.home.set_candidates(vm.seen, self.now)

    def _lease(self, vm: _Vm, rate: float) -> None:
        shares = Shares(rate, 1e9, 1e6, 1e6)
        vm.limiter.apply_grant(vm.vm_id, ShareGrant((ShareLease(ACCOUNT, shares, 1.0),)), self.now)

    def _ask_homes(self, vm: _Vm) -> None:
        asks = vm.limiter.due_lease_requests(lambda name: account_home(name, vm.seen), self.now)
        for vm_id, ask in asks.items():
            self._count(vm, ask)
            other = self.vms.get(vm_id)
            if other is None or other.group != vm.group:
                continue
            self._count(other, ask)
            fleet, limits = other.limiter.fleet, other.limiter.account_limits
            outcome = other.home.handle_lease_request(vm.vm_id, ask, limits, fleet, self.now)
            if isinstance(outcome, Success) and self._rng.random() >= self.lost_answers:
                self._count(other, outcome.unwrap())
                self._count(vm, outcome.unwrap())
                vm.limiter.apply_grant(vm_id, outcome.unwrap(), self.now)

    def _count(self, vm: _Vm, message: object) -> None:
        vm.bytes += len(self._registry.encode(message).body) + MESSAGE_OVERHEAD_BYTES

    def _tell_all(self, vm: _Vm) -> None:
        """Tells all VMs the demand of the last second, and takes a part of the limit by it."""
        if int(self.now) == int(self.now - TICK_SECONDS):
            return
        for other in self.vms.values():
            if other.group == vm.group:
                other.told[vm.vm_id] = float(vm.offered)
                size = MESSAGE_OVERHEAD_BYTES + 30
                vm.bytes += size
                other.bytes += size
        total = sum(vm.told.values())
        mine = vm.told[vm.vm_id]
        vm.offered = 0
        part = (mine + 1.0) / (total + len(vm.seen))
        shares = Shares(LIMIT_PER_SECOND * part, 1e9, 1e6, 1e6)
        vm.limiter.apply_grant(vm.vm_id, ShareGrant((ShareLease(ACCOUNT, shares, 2.0),)), self.now)


@dataclass(frozen=True)
class WayReport:
    """What one way showed with demand of twice the limit, most of it at one VM."""

    #: Part of the limit that was used once the demand was steady.
    utilization: float

    #: Most requests admitted in one second, as a multiple of the limit.
    worst_second: float

    #: Time until at least 0.8 of the limit is used after the demand has moved, in seconds.
    move_seconds: Optional[float]

    #: Control bytes a second of the average VM.
    mean_bytes: float

    #: Control bytes a second of the busiest VM.
    largest_bytes: float


def measure_way(way: SharingWay, vm_count: int, seed: int) -> WayReport:
    """Returns what a way does when most of the demand is at one VM, and then moves."""
    run = LimitsRun(way, vm_count, seed)
    first, second, *rest = run.vms
    others = {vm_id: 40.0 / len(rest) for vm_id in rest}
    run.run(20.0, {first: 160.0, **others})
    run.run(40.0, {second: 160.0, **others})
    moved = (
        start / 4
        for start in range(76)
        if run.admitted_between(20 + start / 4, 21 + start / 4) >= 0.8 * LIMIT_PER_SECOND
    )
    mean_bytes, largest_bytes = run.bytes_per_second()
    return WayReport(
        utilization=run.admitted_between(10.0, 20.0) / 10.0 / LIMIT_PER_SECOND,
        worst_second=run.worst_window(1.0, 5.0, 40.0) / LIMIT_PER_SECOND,
        move_seconds=next(moved, None),
        mean_bytes=mean_bytes,
        largest_bytes=largest_bytes,
    )


@dataclass(frozen=True)
class FaultReport:
    """Most requests admitted in any ten seconds, as a multiple of the limit, by phase."""

    #: Before any fault.
    steady: float

    #: While the home VM is dead, and its account's new home takes over.
    home_dead: float

    #: After new VMs have joined.
    joined: float

    #: While the fleet is split.
    split: float

    #: Time after the home's death in which less than half of the limit was used, in seconds.
    starved_seconds: float


def measure_faults(vm_count: int, seed: int) -> FaultReport:
    """Returns the overshoot under faults; raises ``AssertionError`` if it exceeds its bound."""
    run = LimitsRun(SharingWay.HOME, vm_count, seed)
    run.lost_answers = 0.1
    rate = 3 * LIMIT_PER_SECOND / vm_count
    run.run(20.0, dict.fromkeys(run.vms, rate))
    run.check_bound(1.0, 1.0, 0.0, 20.0)
    run.kill(account_home(ACCOUNT, tuple(run.vms)))
    run.run(40.0, dict.fromkeys(run.vms, rate))
    run.check_bound(1.0, 1.0, 20.0, 40.0)
    run.join(VmId("vm-new-1"))
    run.join(VmId("vm-new-2"))
    run.run(60.0, dict.fromkeys(run.vms, rate))
    run.check_bound(1.0 + LimiterSettings().fallback_fraction, 1.0, 40.0, 60.0)
    run.split(sorted(run.vms)[: len(run.vms) // 2])
    run.run(90.0, dict.fromkeys(run.vms, rate))
    run.check_bound(1.5 + LimiterSettings().fallback_fraction, 1.0, 60.0, 90.0)
    run.split(())
    run.run(110.0, dict.fromkeys(run.vms, rate))
    run.check_bound(1.5 + LimiterSettings().fallback_fraction, 1.0, 90.0, 110.0)
    starved = sum(
        run.admitted_between(20 + second, 21 + second) < 0.5 * LIMIT_PER_SECOND
        for second in range(20)
    )
    phases = ((5.0, 20.0), (20.0, 40.0), (40.0, 60.0), (60.0, 90.0))
    worst = [run.worst_window(10.0, *phase) / LIMIT_PER_SECOND for phase in phases]
    return FaultReport(worst[0], worst[1], worst[2], worst[3], float(starved))


def main(seed: int) -> None:
    """Prints the tables."""
    print(f"{'way':30} {'VMs':>4} {'used':>6} {'worst s':>8} {'move s':>7} {'B/s':>7} {'max':>7}")
    for vm_count in (3, 7, 50):
        for way in SharingWay:
            report = measure_way(way, vm_count, seed)
            move = "never" if report.move_seconds is None else f"{report.move_seconds:.2f}"
            print(
                f"{way.value:30} {vm_count:4} {report.utilization:6.2f} {report.worst_second:8.2f}"
                f" {move:>7} {report.mean_bytes:7.0f} {report.largest_bytes:7.0f}"
            )
    for vm_count in (3, 7, 50):
        print(vm_count, measure_faults(vm_count, seed))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
