"""Compares strategies to share an account's limit among VMs; checks the bound of overshoot.

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

#: Time until the other VMs remove a crashed VM from their views, in seconds.
VIEW_LAG_SECONDS = 3.0


class SharingStrategy(Enum):
    """The compared strategies; the values are labels of the table."""

    UNSHARED = "each VM has the whole limit"
    STATIC = "equal parts"
    BROADCAST = "usage told to all"
    HOME = "leases of a home VM"


@dataclass
class _LimitsVm:
    """State of one VM.

    ``group`` is its partition, ``bytes`` its control traffic, and ``offered`` counts its requests
    since the last broadcast. ``reported_demands`` holds the last broadcast of each VM.
    """

    vm_id: VmId
    limiter: AccountLimiter
    home: ShareHome
    bytes: int = 0
    visible_vms: tuple[VmId, ...] = ()
    group: int = 0
    offered: int = 0
    reported_demands: dict[VmId, float] = field(default_factory=dict)


class LimitsRun:
    """VMs that receive requests of one account, in simulated time."""

    def __init__(
        self,
        strategy: SharingStrategy,
        vm_count: int,
        seed: int,
        settings: Optional[LimiterSettings] = None,
    ) -> None:
        self._strategy = strategy
        self._rng = random.Random(seed)
        self._settings = settings or LimiterSettings()
        self._registry = MessageRegistry()
        for message_type in (ShareAsk, ShareGrant):
            self._registry.declare(message_type)
        self.now = 0.0
        self.vms: dict[VmId, _LimitsVm] = {}
        self.admitted: list[tuple[float, VmId]] = []
        self.response_loss_probability = 0.0
        self._next_tick = 0.0
        self._view_changes: list[tuple[float, dict[VmId, tuple[VmId, ...]]]] = []
        self._dead: set[VmId] = set()
        for number in range(vm_count):
            self.join(VmId(f"vm-{number}"))

    def join(self, vm_id: VmId) -> None:
        """Adds a VM, which all VMs of its partition see immediately."""
        limiter = AccountLimiter(self._settings, self.now)
        limits = AccountLimits(ACCOUNT, LIMIT_PER_SECOND, 1e9, 10**6)
        limiter.set_limits({ACCOUNT: limits}, memory_tokens=10**6)
        home = ShareHome(vm_id, self._settings, account_home, self.now)
        self.vms[vm_id] = _LimitsVm(vm_id, limiter, home)
        self._dead.discard(vm_id)
        self._schedule_view_change(0.0)

    def kill(self, vm_id: VmId) -> None:
        """Removes a VM; it stays in the views of the others for ``VIEW_LAG_SECONDS``."""
        del self.vms[vm_id]
        self._dead.add(vm_id)
        self._schedule_view_change(VIEW_LAG_SECONDS)

    def split(self, group: Sequence[VmId]) -> None:
        """Partitions the fleet into ``group`` and the rest; an empty group ends the partition.

        The views of the VMs change ``VIEW_LAG_SECONDS`` later.
        """
        for vm in self.vms.values():
            vm.group = int(vm.vm_id in group)
        self._schedule_view_change(VIEW_LAG_SECONDS)

    def run(self, until: float, offered: dict[VmId, float]) -> None:
        """Simulates until ``until``, in seconds; ``offered`` is the request rate of each VM."""
        while self.now < until:
            self.now += STEP_SECONDS
            if self.now >= self._next_tick:
                self._next_tick = self.now + TICK_SECONDS
                self._tick()
            for vm_id, rate in offered.items():
                self._offer_requests(vm_id, rate * STEP_SECONDS)

    def admitted_between(self, start: float, end: float) -> int:
        """Returns the number of requests that all VMs admitted in a time range."""
        return sum(start <= when < end for when, _ in self.admitted)

    def worst_window(self, seconds: float, start: float, end: float) -> float:
        """Returns the highest admission rate in any window of ``seconds``, per second."""
        times = [when for when, _ in self.admitted if start <= when < end]
        worst, first = 0, 0
        for last, when in enumerate(times):
            while times[first] <= when - seconds:
                first += 1
            worst = max(worst, last - first + 1)
        return worst / seconds

    def check_bound(self, factor: float, seconds: float, start: float, end: float) -> None:
        """Asserts the bound of overshoot for all windows of ``seconds``.

        The bound is ``factor`` times the limit, for the window and the burst time.
        """
        bound = factor * LIMIT_PER_SECOND * (seconds + self._settings.burst_seconds)
        worst = self.worst_window(seconds, start, end) * seconds
        assert worst <= bound + len(self.vms), f"{worst} admitted in {seconds} s, bound {bound}"

    def bytes_per_second(self) -> tuple[float, float]:
        """Returns the mean and the largest control traffic of a VM, in bytes per second."""
        rates = [vm.bytes / self.now for vm in self.vms.values()]
        return sum(rates) / len(rates), max(rates)

    def _schedule_view_change(self, delay: float) -> None:
        """Changes the view of each VM to the VMs of its partition, after ``delay`` seconds."""
        visible_vms = {
            vm.vm_id: tuple(sorted(o.vm_id for o in self.vms.values() if o.group == vm.group))
            for vm in self.vms.values()
        }
        self._view_changes.append((self.now + delay, visible_vms))
        self._view_changes.sort(key=lambda change: change[0])

    def _offer_requests(self, vm_id: VmId, expected: float) -> None:
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
            match self._strategy:
                case SharingStrategy.HOME:
                    self._request_leases(vm)
                case SharingStrategy.BROADCAST:
                    self._broadcast_demand(vm)
                case SharingStrategy.STATIC:
                    self._set_own_lease(vm, LIMIT_PER_SECOND / len(vm.visible_vms))
                case SharingStrategy.UNSHARED:
                    self._set_own_lease(vm, LIMIT_PER_SECOND)

    def _change_views(self) -> None:
        while self._view_changes and self._view_changes[0][0] <= self.now:
            _, visible_vms = self._view_changes.pop(0)
            known_count = len(self.vms) + len(self._dead)
            for vm in self.vms.values():
                vm.visible_vms = visible_vms.get(vm.vm_id, vm.visible_vms) or (vm.vm_id,)
                vm.limiter.set_fleet(FleetSize(min(len(vm.visible_vms), known_count), known_count))
                vm.home.set_candidates(vm.visible_vms, self.now)

    def _set_own_lease(self, vm: _LimitsVm, rate: float) -> None:
        shares = Shares(rate, 1e9, 1e6, 1e6)
        vm.limiter.apply_grant(vm.vm_id, ShareGrant((ShareLease(ACCOUNT, shares, 1.0),)), self.now)

    def _request_leases(self, vm: _LimitsVm) -> None:
        requests = vm.limiter.due_lease_requests(
            lambda name: account_home(name, vm.visible_vms), self.now
        )
        for vm_id, request in requests.items():
            self._count_bytes(vm, request)
            other = self.vms.get(vm_id)
            if other is None or other.group != vm.group:
                continue
            self._count_bytes(other, request)
            fleet, limits = other.limiter.fleet, other.limiter.account_limits
            outcome = other.home.handle_lease_request(vm.vm_id, request, limits, fleet, self.now)
            if (
                isinstance(outcome, Success)
                and self._rng.random() >= self.response_loss_probability
            ):
                self._count_bytes(other, outcome.unwrap())
                self._count_bytes(vm, outcome.unwrap())
                vm.limiter.apply_grant(vm_id, outcome.unwrap(), self.now)

    def _count_bytes(self, vm: _LimitsVm, message: object) -> None:
        vm.bytes += len(self._registry.encode(message).body) + MESSAGE_OVERHEAD_BYTES

    def _broadcast_demand(self, vm: _LimitsVm) -> None:
        """Broadcasts the demand of the last second and leases a proportional share of the limit."""
        if int(self.now) == int(self.now - TICK_SECONDS):
            return
        for other in self.vms.values():
            if other.group == vm.group:
                other.reported_demands[vm.vm_id] = float(vm.offered)
                size = MESSAGE_OVERHEAD_BYTES + 30
                vm.bytes += size
                other.bytes += size
        total = sum(vm.reported_demands.values())
        own_demand = vm.reported_demands[vm.vm_id]
        vm.offered = 0
        fraction = (own_demand + 1.0) / (total + len(vm.visible_vms))
        shares = Shares(LIMIT_PER_SECOND * fraction, 1e9, 1e6, 1e6)
        vm.limiter.apply_grant(vm.vm_id, ShareGrant((ShareLease(ACCOUNT, shares, 2.0),)), self.now)


@dataclass(frozen=True)
class StrategyReport:
    """Results of one strategy with demand of twice the limit, most of it at one VM."""

    #: Share of the limit that was used under steady demand.
    utilization: float

    #: Largest number of requests admitted in one second, as a multiple of the limit.
    worst_second: float

    #: Time after a move of the demand until at least 0.8 of the limit is used, in seconds.
    move_seconds: Optional[float]

    #: Mean control traffic of a VM, in bytes per second.
    mean_bytes: float

    #: Largest control traffic of a VM, in bytes per second.
    largest_bytes: float


def measure_strategy(strategy: SharingStrategy, vm_count: int, seed: int) -> StrategyReport:
    """Measures a strategy with most of the demand at one VM, which then moves to another VM."""
    run = LimitsRun(strategy, vm_count, seed)
    first, second, *rest = run.vms
    others = {vm_id: 40.0 / len(rest) for vm_id in rest}
    run.run(20.0, {first: 160.0, **others})
    run.run(40.0, {second: 160.0, **others})
    move_times = (
        start / 4
        for start in range(76)
        if run.admitted_between(20 + start / 4, 21 + start / 4) >= 0.8 * LIMIT_PER_SECOND
    )
    mean_bytes, largest_bytes = run.bytes_per_second()
    return StrategyReport(
        utilization=run.admitted_between(10.0, 20.0) / 10.0 / LIMIT_PER_SECOND,
        worst_second=run.worst_window(1.0, 5.0, 40.0) / LIMIT_PER_SECOND,
        move_seconds=next(move_times, None),
        mean_bytes=mean_bytes,
        largest_bytes=largest_bytes,
    )


@dataclass(frozen=True)
class FaultReport:
    """Largest admission rate over ten seconds, as a multiple of the limit, in each phase."""

    #: Before any fault.
    steady: float

    #: After a crash of the account's home VM, which divides its limit; a new home VM takes over.
    home_dead: float

    #: After new VMs have joined.
    joined: float

    #: While the fleet is partitioned.
    split: float

    #: Time after that crash in which less than half of the limit was used, in seconds.
    starved_seconds: float


def measure_faults(vm_count: int, seed: int) -> FaultReport:
    """Measures the overshoot under faults; raises ``AssertionError`` if it exceeds its bound."""
    run = LimitsRun(SharingStrategy.HOME, vm_count, seed)
    run.response_loss_probability = 0.1
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
    starved_seconds = sum(
        run.admitted_between(20 + second, 21 + second) < 0.5 * LIMIT_PER_SECOND
        for second in range(20)
    )
    phases = ((5.0, 20.0), (20.0, 40.0), (40.0, 60.0), (60.0, 90.0))
    worst = [run.worst_window(10.0, *phase) / LIMIT_PER_SECOND for phase in phases]
    return FaultReport(worst[0], worst[1], worst[2], worst[3], float(starved_seconds))


def main(seed: int) -> None:
    """Prints the tables of all strategies and of the faults."""
    print(
        f"{'strategy':30} {'VMs':>4} {'used':>6} {'worst s':>8} {'move s':>7} {'B/s':>7} {'max':>7}"
    )
    for vm_count in (3, 7, 50):
        for strategy in SharingStrategy:
            report = measure_strategy(strategy, vm_count, seed)
            move = "never" if report.move_seconds is None else f"{report.move_seconds:.2f}"
            print(
                f"{strategy.value:30} {vm_count:4} {report.utilization:6.2f}"
                f" {report.worst_second:8.2f} {move:>7}"
                f" {report.mean_bytes:7.0f} {report.largest_bytes:7.0f}"
            )
    for vm_count in (3, 7, 50):
        print(vm_count, measure_faults(vm_count, seed))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
