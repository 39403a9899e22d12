"""Measures what control costs a VM: bytes, processor time and memory, against the fleet's size.

Run ``python -m camphordrift.experiments._control_slopes`` for the tables of
docs/design/membership.md. Bytes and the time of whole VMs are measured over the real streams, in
memory and in virtual time; what one process cannot hold, the decisions alone, with as many records
as the fleet would have.
"""

import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import mean
from typing import Optional, TypeVar

import trio
import trio.testing
from returns.result import Success

from camphordrift.account_limits import (
    AccountLimiter,
    FleetSize,
    LimiterSettings,
    ShareHome,
    account_home,
    account_limit_service,
)
from camphordrift.configuration import AccountLimits
from camphordrift.experiments._membership_soak import measure_detection
from camphordrift.identifiers import AccountId, BackendServerId, Incarnation, VmId
from camphordrift.membership import (
    BackendServerView,
    GossipQueue,
    ListedServer,
    ListedVm,
    MemberRecord,
    MembershipService,
    MembershipSettings,
    MembershipView,
    PlatformList,
    Prober,
    membership_service,
    platform_list,
)
from camphordrift.peers import PeerNetwork, peer_network
from camphordrift.testing import run_in_virtual_time

#: What TCP and IP add to each write, in bytes.
PACKET_HEADER_BYTES = 52

#: Length of the measured period, in virtual seconds.
MEASURED_SECONDS = 20.0

_WARM_UP_SECONDS = 40.0
_KEY = b"a fleet key for measurements"

_T = TypeVar("_T")


@dataclass(frozen=True)
class VmCost:
    """What control costs the average VM."""

    #: VMs in the run.
    vm_count: int

    #: Bytes a second sent, packet headers included.
    sent_bytes: float

    #: Bytes a second received, packet headers included.
    received_bytes: float

    #: Processor time per second, in milliseconds.
    cpu_milliseconds: float

    #: Connections, in both directions.
    connections: float


class CountedStream(trio.abc.Stream):
    """A stream that counts what is sent on it."""

    def __init__(self, stream: trio.abc.Stream, meter: "ByteMeter") -> None:
        self._stream = stream
        self._meter = meter

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends and counts."""
        self._meter.sent_bytes += len(data) + PACKET_HEADER_BYTES
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits as the inner stream does."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Receives."""
        return bytes(await self._stream.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Closes the inner stream."""
        await self._stream.aclose()


@dataclass
class ByteMeter:
    """Counts what all VMs of a run send."""

    #: Bytes sent.
    sent_bytes: int = 0


class MeasuredFleet:
    """VMs in one process, connected by streams in memory."""

    def __init__(self, nursery: trio.Nursery, vm_count: int, account_count: int) -> None:
        self._nursery = nursery
        self._rng = random.Random(1)
        self._names = [VmId(f"vm-{number:04}") for number in range(vm_count)]
        self._accounts = [AccountId(f"account-{number}") for number in range(account_count)]
        self.meter = ByteMeter()
        self.networks: list[PeerNetwork] = []
        self.limiters: list[AccountLimiter] = []

    async def start(self) -> None:
        """Starts all VMs."""
        for name in self._names:
            self.networks.append(peer_network(name, Incarnation(1), [_KEY], self._dial))
        for number, network in enumerate(self.networks):
            await self._nursery.start(network.serve)
            membership = self._start_membership(number, network)
            self._start_limits(membership, network)

    async def send_requests(self) -> None:
        """Has each VM see 25 requests a second, spread over the accounts, for ever."""
        while True:
            now = trio.current_time()
            for limiter in self.limiters:
                for account_id in self._rng.sample(self._accounts, min(5, len(self._accounts))):
                    _run_request(limiter, account_id, now)
            await trio.sleep(0.2)

    def _start_membership(self, number: int, network: PeerNetwork) -> MembershipService:
        name = self._names[number]
        own = MemberRecord(name, Incarnation(1), address=f"10.0.0.1:{number}")
        rng = random.Random(number)
        service = membership_service(own, MembershipSettings(), network, self._read_list, rng)
        self._nursery.start_soon(service.run)
        return service

    def _start_limits(self, membership: MembershipService, network: PeerNetwork) -> None:
        own = network.own.vm_id
        service = account_limit_service(own, LimiterSettings(), membership.view, network)
        limits = {name: AccountLimits(name, 100.0, 1e6, 100) for name in self._accounts}
        service.limiter.set_limits(limits, memory_tokens=10**8)
        self.limiters.append(service.limiter)
        self._nursery.start_soon(service.run)

    async def _read_list(self) -> PlatformList:
        vms = (ListedVm(name, "10.0.0.1", number) for number, name in enumerate(self._names))
        return platform_list(tuple(vms))

    async def _dial(self, ip: str, port: int) -> trio.abc.Stream:
        await trio.sleep(0.001)
        here, there = trio.testing.memory_stream_pair()
        accepted = CountedStream(there, self.meter)
        self._nursery.start_soon(self.networks[port].accept, accepted)
        return CountedStream(here, self.meter)


def measure_vm_cost(vm_count: int, account_count: int) -> VmCost:
    """Returns what membership and limits cost each of so many VMs, over the real streams."""

    async def main() -> VmCost:
        async with trio.open_nursery() as nursery:
            fleet = MeasuredFleet(nursery, vm_count, account_count)
            await fleet.start()
            if account_count:
                nursery.start_soon(fleet.send_requests)
            await trio.sleep(_WARM_UP_SECONDS)
            bytes_before, cpu_before = fleet.meter.sent_bytes, time.process_time()
            await trio.sleep(MEASURED_SECONDS)
            vm_seconds = MEASURED_SECONDS * vm_count
            sent = (fleet.meter.sent_bytes - bytes_before) / vm_seconds
            cpu = (time.process_time() - cpu_before) * 1000 / vm_seconds
            links = sum(len(network.dump_state()["accepted"]) for network in fleet.networks)
            nursery.cancel_scope.cancel()
        return VmCost(vm_count, sent, sent, cpu, 2 * links / vm_count)

    return run_in_virtual_time(main)


@dataclass(frozen=True)
class DecisionCost:
    """What the decisions of one VM cost, with a number of records."""

    #: The records: VMs, engines or accounts.
    record_count: int

    #: Processor time per second of the periodic work, in milliseconds.
    cpu_milliseconds: float

    #: Memory that the records take, in bytes.
    state_bytes: int


def measure_membership_state(vm_count: int) -> DecisionCost:
    """Returns what one VM spends on knowing so many VMs: two probes sent and answered a second."""
    settings = MembershipSettings()

    def build() -> MembershipView:
        view = MembershipView(_record(0), settings, 0.0)
        view.on_platform_list(_vm_list(vm_count), 0.0)
        for number in range(1, vm_count):
            view.on_record(_record(number), 0.0)
        return view

    view, state_bytes = _allocated(build)
    listing = _vm_list(vm_count)
    gossip, prober = GossipQueue(settings, 0.0), Prober(settings, random.Random(1))
    gossip.next_batch(view.records)

    def one_second(second: int) -> None:
        for tick in range(4):
            view.on_tick(second + tick / 4)
        for _ in range(2):
            prober.next_targets(view.probe_targets, view.dead_vms)
        for _ in range(4):
            for record in gossip.next_batch(view.records):
                if isinstance(record, MemberRecord):
                    view.on_record(record, float(second))
        for key in range(50):
            view.home_of(f"pool-{key % 16}", float(second))
        if second % 2 == 0:
            view.on_platform_list(listing, float(second))

    return DecisionCost(vm_count, _milliseconds(one_second), state_bytes)


def measure_server_state(server_count: int) -> DecisionCost:
    """Returns what one VM spends on knowing so many backend servers, each answering once a second.

    The list is read every two seconds.
    """
    names = [BackendServerId(f"engine-{number}") for number in range(server_count)]
    listing = platform_list(servers=tuple(ListedServer(n, f"http://10.1.0.1/{n}") for n in names))

    def build() -> BackendServerView:
        view = BackendServerView()
        view.on_platform_list(listing, 0.0)
        for name in names:
            view.on_response(name, Incarnation(1), leaving=False, now=0.0)
        return view

    view, state_bytes = _allocated(build)

    def one_second(second: int) -> None:
        for name in names:
            view.on_response(name, Incarnation(1), leaving=False, now=float(second))
        if second % 2 == 0:
            view.on_platform_list(listing, float(second))
        view.usable_servers(float(second))

    return DecisionCost(server_count, _milliseconds(one_second), state_bytes)


def measure_account_state(account_count: int) -> DecisionCost:
    """Returns what one VM spends on so many active accounts, with 50 requests a second in all."""
    own = VmId("vm-0")
    settings = LimiterSettings()
    names = [AccountId(f"account-{number}") for number in range(account_count)]
    limits = {name: AccountLimits(name, 1e4, 1e8, 1000) for name in names}

    def build() -> tuple[AccountLimiter, ShareHome]:
        limiter = AccountLimiter(settings, 0.0)
        limiter.set_limits(limits, memory_tokens=10**8)
        limiter.set_fleet(FleetSize(1, 1))
        home = ShareHome(own, settings, account_home, 0.0)
        for name in names:
            _run_request(limiter, name, 0.0)
        for ask in limiter.due_lease_requests(lambda _: own, 0.0).values():
            home.handle_lease_request(own, ask, limiter.account_limits, limiter.fleet, 0.0)
        return limiter, home

    (limiter, home), state_bytes = _allocated(build)

    def one_second(second: int) -> None:
        for tick in range(4):
            now = second + tick / 4
            home.on_tick(now)
            for ask in limiter.due_lease_requests(lambda _: own, now).values():
                grant = home.handle_lease_request(
                    own, ask, limiter.account_limits, limiter.fleet, now
                )
                limiter.apply_grant(own, grant.unwrap(), now)
        for number in range(50):
            name = names[(second * 50 + number) % account_count]
            _run_request(limiter, name, float(second))

    return DecisionCost(account_count, _milliseconds(one_second), state_bytes)


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns the least-squares line through points: its value at zero, and its rise per unit."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - rise * mean_x, rise


def _run_request(limiter: AccountLimiter, account_id: AccountId, now: float) -> None:
    """Admits a request and ends it at once."""
    outcome = limiter.try_admit(account_id, 100, now)
    if isinstance(outcome, Success):
        limiter.release(outcome.unwrap(), now)


def _record(number: int) -> MemberRecord:
    return MemberRecord(VmId(f"vm-{number:04}"), Incarnation(1), address=f"10.0.0.1:{number}")


def _vm_list(vm_count: int) -> PlatformList:
    names = (VmId(f"vm-{number:04}") for number in range(vm_count))
    return platform_list(tuple(ListedVm(name, "10.0.0.1", 7400) for name in names))


def _allocated(build: Callable[[], _T]) -> tuple["_T", int]:
    """Returns what ``build`` makes and how many bytes it holds on to."""
    tracemalloc.start()
    made = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, size


def _milliseconds(one_second: Callable[[int], None], seconds: int = 20) -> float:
    """Returns the processor time that a second's work takes."""
    one_second(0)
    started = time.process_time()
    for second in range(1, seconds + 1):
        one_second(second)
    return (time.process_time() - started) * 1000 / seconds


def main() -> None:
    """Prints the tables and the slopes."""
    _print_notice((3, 7, 50), range(10))
    _print_vm_costs((3, 7, 20, 50), (0, 10))
    _print_vm_costs((7,), (50, 200))
    _print_decisions("known VMs", measure_membership_state, (7, 50, 500, 2700))
    _print_decisions("backend servers", measure_server_state, (20, 100, 300, 1000))
    _print_decisions("active accounts", measure_account_state, (10, 100, 300, 970))


def _print_notice(vm_counts: Sequence[int], seeds: range) -> None:
    print("time until all VMs have noticed: VMs, death mean and max, leaving mean and max, s")
    for vm_count in vm_counts:
        deaths = measure_detection(vm_count, False, seeds)
        leavings = measure_detection(vm_count, True, seeds)
        print(
            f"{vm_count:6} {mean(deaths):8.2f} {max(deaths):8.2f}"
            f" {mean(leavings):8.2f} {max(leavings):8.2f}"
        )


def _print_vm_costs(vm_counts: Sequence[int], account_counts: Sequence[int]) -> None:
    print("over streams: accounts, VMs, B/s sent, B/s received, CPU ms/s, connections")
    for account_count in account_counts:
        for vm_count in vm_counts:
            cost = measure_vm_cost(vm_count, account_count)
            print(
                f"{account_count:6} {cost.vm_count:6} {cost.sent_bytes:8.0f}"
                f" {cost.received_bytes:8.0f} {cost.cpu_milliseconds:8.2f}"
                f" {cost.connections:6.1f}"
            )


def _print_decisions(
    name: str, measure: Callable[[int], DecisionCost], counts: Sequence[int]
) -> None:
    print(f"decisions: {name}, CPU ms/s, state bytes")
    costs = [measure(count) for count in counts]
    for cost in costs:
        print(f"{cost.record_count:6} {cost.cpu_milliseconds:8.3f} {cost.state_bytes:10}")
    cpu_base, cpu_rise = slope([(c.record_count, c.cpu_milliseconds) for c in costs])
    base, rise = slope([(c.record_count, c.state_bytes) for c in costs])
    print(f"  CPU {cpu_base:.3f} ms/s + {cpu_rise * 1000:.3f} us/s each", end="; ")
    print(f"state {base:.0f} B + {rise:.0f} B each")


if __name__ == "__main__":
    main()
