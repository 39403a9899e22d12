"""Measures the bytes, CPU time and memory of control work on a VM as the fleet grows.

Run ``python -m camphordrift.experiments._control_slopes`` for the tables of
docs/design/membership.md. For small fleets, whole VMs run in one process, connected by in-memory
streams, in virtual time. For fleets that are too large for one process, only the decision code of
one VM runs, with as many records as it would have in such a fleet.
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

#: TCP and IP header bytes added to each write.
PACKET_HEADER_BYTES = 52

#: Length of the measurement after the warm-up, in virtual seconds.
MEASUREMENT_SECONDS = 20.0

_WARM_UP_SECONDS = 40.0
_KEY = b"a fleet key for measurements"

_T = TypeVar("_T")


@dataclass(frozen=True)
class VmCost:
    """Control cost of a VM, averaged over all VMs of a run."""

    #: Number of VMs in the run.
    vm_count: int

    #: Bytes sent per second, including packet headers.
    sent_bytes: float

    #: Bytes received per second, including packet headers.
    received_bytes: float

    #: CPU time per second, in milliseconds.
    cpu_milliseconds: float

    #: Number of connections, both opened and accepted.
    connections: float


class CountingStream(trio.abc.Stream):
    """Wraps a stream and counts the bytes sent on it, including packet headers."""

    def __init__(self, stream: trio.abc.Stream, counter: "ByteCounter") -> None:
        self._stream = stream
        self._counter = counter

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Adds the data and one packet header to the count, then sends the data."""
        self._counter.sent_bytes += len(data) + PACKET_HEADER_BYTES
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits for the wrapped stream."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Receives from the wrapped stream; received bytes are not counted."""
        return bytes(await self._stream.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Closes the wrapped stream."""
        await self._stream.aclose()


@dataclass
class ByteCounter:
    """Counts the bytes that all VMs of a run send."""

    #: Bytes sent so far, including packet headers.
    sent_bytes: int = 0


class SimulatedFleet:
    """VMs in one process, connected by in-memory streams."""

    def __init__(self, nursery: trio.Nursery, vm_count: int, account_count: int) -> None:
        self._nursery = nursery
        self._rng = random.Random(1)
        self._names = [VmId(f"vm-{number:04}") for number in range(vm_count)]
        self._accounts = [AccountId(f"account-{number}") for number in range(account_count)]
        self.counter = ByteCounter()
        self.networks: list[PeerNetwork] = []
        self.limiters: list[AccountLimiter] = []

    async def start(self) -> None:
        """Starts the network, membership and account limits of all VMs."""
        for name in self._names:
            self.networks.append(peer_network(name, Incarnation(1), [_KEY], self._dial))
        for number, network in enumerate(self.networks):
            await self._nursery.start(network.serve)
            membership = self._start_membership(number, network)
            self._start_limits(membership, network)

    async def send_requests(self) -> None:
        """Sends each VM 25 requests per second over random accounts, until cancelled."""
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
        accepted = CountingStream(there, self.counter)
        self._nursery.start_soon(self.networks[port].accept, accepted)
        return CountingStream(here, self.counter)


def measure_vm_cost(vm_count: int, account_count: int) -> VmCost:
    """Returns the cost per VM of membership and account limits in a fleet of ``vm_count`` VMs."""

    async def main() -> VmCost:
        async with trio.open_nursery() as nursery:
            fleet = SimulatedFleet(nursery, vm_count, account_count)
            await fleet.start()
            if account_count:
                nursery.start_soon(fleet.send_requests)
            await trio.sleep(_WARM_UP_SECONDS)
            bytes_before, cpu_before = fleet.counter.sent_bytes, time.process_time()
            await trio.sleep(MEASUREMENT_SECONDS)
            vm_seconds = MEASUREMENT_SECONDS * vm_count
            sent = (fleet.counter.sent_bytes - bytes_before) / vm_seconds
            cpu = (time.process_time() - cpu_before) * 1000 / vm_seconds
            accepted_count = sum(
                len(network.dump_state()["accepted"]) for network in fleet.networks
            )
            nursery.cancel_scope.cancel()
        return VmCost(vm_count, sent, sent, cpu, 2 * accepted_count / vm_count)

    return run_in_virtual_time(main)


@dataclass(frozen=True)
class DecisionCost:
    """Cost of the decision code of one VM for a number of records."""

    #: Number of records: VMs, backend servers or accounts.
    record_count: int

    #: CPU time of the periodic work per second, in milliseconds.
    cpu_milliseconds: float

    #: Memory of the records, in bytes.
    state_bytes: int


def measure_membership_state(vm_count: int) -> DecisionCost:
    """Returns the membership cost of one VM in a fleet of ``vm_count`` VMs.

    Each second it sends two probes, answers two, and gossips; it reads the VM list every 2 s.
    """
    settings = MembershipSettings()

    def build() -> MembershipView:
        view = MembershipView(_record(0), settings, 0.0)
        view.on_platform_list(_vm_list(vm_count), 0.0)
        for number in range(1, vm_count):
            view.on_record(_record(number), 0.0)
        return view

    view, state_bytes = _allocated_bytes(build)
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

    return DecisionCost(vm_count, _mean_cpu_milliseconds(one_second), state_bytes)


def measure_server_state(server_count: int) -> DecisionCost:
    """Returns the cost of tracking ``server_count`` backend servers on one VM.

    Each server responds once per second; the server list is read every two seconds.
    """
    names = [BackendServerId(f"engine-{number}") for number in range(server_count)]
    listing = platform_list(servers=tuple(ListedServer(n, f"http://10.1.0.1/{n}") for n in names))

    def build() -> BackendServerView:
        view = BackendServerView()
        view.on_platform_list(listing, 0.0)
        for name in names:
            view.on_response(name, Incarnation(1), leaving=False, now=0.0)
        return view

    view, state_bytes = _allocated_bytes(build)

    def one_second(second: int) -> None:
        for name in names:
            view.on_response(name, Incarnation(1), leaving=False, now=float(second))
        if second % 2 == 0:
            view.on_platform_list(listing, float(second))
        view.usable_servers(float(second))

    return DecisionCost(server_count, _mean_cpu_milliseconds(one_second), state_bytes)


def measure_account_state(account_count: int) -> DecisionCost:
    """Returns the cost of account limits on one VM with ``account_count`` active accounts.

    It is also the home VM of all accounts, which assigns their shares of the limits to VMs. The
    accounts send 50 requests per second in total.
    """
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

    (limiter, home), state_bytes = _allocated_bytes(build)

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

    return DecisionCost(account_count, _mean_cpu_milliseconds(one_second), state_bytes)


def fit_points(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns intercept and slope of the least-squares line through points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    x_variation = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    return mean_y - slope * mean_x, slope


def _run_request(limiter: AccountLimiter, account_id: AccountId, now: float) -> None:
    """Admits a request and releases its admission at once."""
    outcome = limiter.try_admit(account_id, 100, now)
    if isinstance(outcome, Success):
        limiter.release(outcome.unwrap(), now)


def _record(number: int) -> MemberRecord:
    return MemberRecord(VmId(f"vm-{number:04}"), Incarnation(1), address=f"10.0.0.1:{number}")


def _vm_list(vm_count: int) -> PlatformList:
    names = (VmId(f"vm-{number:04}") for number in range(vm_count))
    return platform_list(tuple(ListedVm(name, "10.0.0.1", 7400) for name in names))


def _allocated_bytes(build: Callable[[], _T]) -> tuple["_T", int]:
    """Returns the result of ``build`` and the bytes that stay allocated for it."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def _mean_cpu_milliseconds(one_second: Callable[[int], None], seconds: int = 20) -> float:
    """Returns the mean CPU time of ``one_second``, in milliseconds, after one warm-up call."""
    one_second(0)
    started = time.process_time()
    for second in range(1, seconds + 1):
        one_second(second)
    return (time.process_time() - started) * 1000 / seconds


def main() -> None:
    """Prints the cost tables and the fitted lines."""
    _print_detection_times((3, 7, 50), range(10))
    _print_vm_costs((3, 7, 20, 50), (0, 10))
    _print_vm_costs((7,), (50, 200))
    _print_decision_costs("known VMs", measure_membership_state, (7, 50, 500, 2700))
    _print_decision_costs("backend servers", measure_server_state, (20, 100, 300, 1000))
    _print_decision_costs("active accounts", measure_account_state, (10, 100, 300, 970))


def _print_detection_times(vm_counts: Sequence[int], seeds: range) -> None:
    print(
        "time until all VMs detect it: VMs, crash mean and max, graceful shutdown mean and max, s"
    )
    for vm_count in vm_counts:
        crash_times = measure_detection(vm_count, False, seeds)
        shutdown_times = measure_detection(vm_count, True, seeds)
        print(
            f"{vm_count:6} {mean(crash_times):8.2f} {max(crash_times):8.2f}"
            f" {mean(shutdown_times):8.2f} {max(shutdown_times):8.2f}"
        )


def _print_vm_costs(vm_counts: Sequence[int], account_counts: Sequence[int]) -> None:
    print("whole VMs: accounts, VMs, B/s sent, B/s received, CPU ms/s, connections")
    for account_count in account_counts:
        for vm_count in vm_counts:
            cost = measure_vm_cost(vm_count, account_count)
            print(
                f"{account_count:6} {cost.vm_count:6} {cost.sent_bytes:8.0f}"
                f" {cost.received_bytes:8.0f} {cost.cpu_milliseconds:8.2f}"
                f" {cost.connections:6.1f}"
            )


def _print_decision_costs(
    name: str, measure: Callable[[int], DecisionCost], counts: Sequence[int]
) -> None:
    print(f"decision code: {name}, CPU ms/s, state bytes")
    costs = [measure(count) for count in counts]
    for cost in costs:
        print(f"{cost.record_count:6} {cost.cpu_milliseconds:8.3f} {cost.state_bytes:10}")
    cpu_base, cpu_slope = fit_points([(c.record_count, c.cpu_milliseconds) for c in costs])
    base, slope = fit_points([(c.record_count, c.state_bytes) for c in costs])
    print(f"  CPU {cpu_base:.3f} ms/s + {cpu_slope * 1000:.3f} us/s each", end="; ")
    print(f"state {base:.0f} B + {slope:.0f} B each")


if __name__ == "__main__":
    main()
