"""Properties of the watchers over random sequences of writes, restores and leader changes."""

from dataclasses import dataclass, replace
from typing import Optional, Union

import testtools
import trio
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from camphordrift.relay import BackendServer, KeyedRecord, ServerState
from camphordrift.relay.tests.samples import TOPICS, server
from camphordrift.relay.tests.watched_vms import (
    REVOCATION_DELAY,
    VmLog,
    WatchedFleet,
    WatchedVm,
    run_fleet,
)

VM_COUNT = 3
SERVER_COUNT = 3
ZONES = ("z0", "z1")

#: Maximum number of seconds after which the operator and the servers have written again.
REWRITE_DELAY = 1.9

#: Seconds until all VMs have read the store once.
START_DELAY = 1.0

#: Seconds after the last operation until all VMs must agree with the store.
AGREEMENT_DELAY = 12.0


@dataclass(frozen=True)
class Publish:
    """The operator publishes a version that adds a key, or removes the oldest one."""

    adds_key: bool


@dataclass(frozen=True)
class WriteServer:
    """A server writes its entry or removes it."""

    number: int
    #: ``None`` removes the entry.
    state: Optional[ServerState]
    restarts: bool


@dataclass(frozen=True)
class ChangeZone:
    """The operator evacuates a zone or takes it back."""

    zone: str
    evacuated: bool


@dataclass(frozen=True)
class Restore:
    """The store is away, and comes back with the content that it had some operations ago."""

    operations: int
    outage: float
    rewrite_delay: float


@dataclass(frozen=True)
class ChangeLeader:
    """Some VMs follow another leader, the others none."""

    leader: int
    followers: frozenset[int]


@dataclass(frozen=True)
class DisturbVm:
    """The connection of a VM to the store is cut or slow."""

    number: int
    is_cut: bool
    delay: float


Operation = Union[Publish, WriteServer, ChangeZone, Restore, ChangeLeader, DisturbVm]

_numbers = st.integers(0, VM_COUNT - 1)
_operations = st.one_of(
    st.builds(Publish, st.booleans()),
    st.builds(
        WriteServer,
        st.integers(0, SERVER_COUNT - 1),
        st.sampled_from([*ServerState, None]),
        st.booleans(),
    ),
    st.builds(ChangeZone, st.sampled_from(ZONES), st.booleans()),
    st.builds(Restore, st.integers(0, 6), st.floats(0.0, 5.0), st.floats(0.0, REWRITE_DELAY)),
    st.builds(ChangeLeader, _numbers, st.frozensets(_numbers)),
    st.builds(DisturbVm, _numbers, st.booleans(), st.sampled_from([0.0, 0.0, 0.3, 0.9])),
)
#: The removal of a key is lost before any VM has read it, and is written again as late as possible.
_LOST_REMOVAL: list[tuple[Operation, float]] = [
    *((DisturbVm(number, True, 0.0), 0.0) for number in range(VM_COUNT)),
    (Publish(False), 0.1),
    *((DisturbVm(number, False, 0.0), 0.0) for number in range(VM_COUNT)),
    (Restore(VM_COUNT + 1, 4.0, REWRITE_DELAY), 3.0),
]
#: An evacuation is lost; the copy ends with the return of the zone from an earlier one.
_LOST_EVACUATION: list[tuple[Operation, float]] = [
    (ChangeZone("z0", True), 1.0),
    (ChangeZone("z0", False), 1.0),
    (ChangeZone("z0", True), 1.0),
    (Restore(1, 1.0, REWRITE_DELAY), 6.0),
]
_steps = st.lists(st.tuples(_operations, st.floats(0.0, 1.5)), max_size=20)


class Scenario:
    """What the operator and the servers wrote last, and the VMs that read it."""

    def __init__(self, fleet: WatchedFleet, nursery: trio.Nursery) -> None:
        self.fleet = fleet
        self.version = 1
        self.keys = ["key-0"]
        #: Times at which configurations without a key were acknowledged.
        self.removed_at: dict[str, float] = {}
        self.entries: dict[int, Optional[BackendServer]] = {}
        #: Whether the operator evacuated each zone, and the era and offset of the last record.
        self.evacuated = dict.fromkeys(ZONES, False)
        self._zone_positions: dict[str, tuple[int, int]] = {}
        #: VMs that learned of the present evacuation of each zone.
        self._informed: dict[str, set[str]] = {zone: set() for zone in ZONES}
        self.logs = [VmLog(fleet.log) for _ in range(VM_COUNT)]
        self._nursery = nursery
        self._next_key = 1
        self._write_configuration()
        self._history: list[dict[str, list[KeyedRecord]]] = [fleet.log.copy()]
        self.vms = [fleet.start(number, log) for number, log in enumerate(self.logs)]
        self._draining: list[set[tuple[str, int]]] = [set() for _ in self.vms]

    async def apply(self, operation: Operation) -> None:
        match operation:
            case Publish(adds_key):
                self._publish(adds_key)
            case WriteServer(number, state, restarts):
                self._write_server(number, state, restarts)
            case ChangeZone(zone, evacuated):
                self.evacuated[zone] = evacuated
                self._informed[zone].clear()
                self._write_zone(zone)
            case Restore(operations, outage, rewrite_delay):
                self._history = self._history[: max(1, len(self._history) - operations)]
                self.fleet.log.is_down = True
                await trio.sleep(outage)
                self.fleet.log.restore(self._history[-1])
                self.fleet.log.is_down = False
                self._nursery.start_soon(self._write_again, rewrite_delay)
            case ChangeLeader(leader, followers):
                self._change_leader(leader, followers)
            case DisturbVm(number, is_cut, delay):
                self.logs[number].is_cut, self.logs[number].delay = is_cut, delay
        self._history.append(self.fleet.log.copy())

    async def settle(self) -> None:
        """Ends all disturbances, and waits until all VMs must agree with the store."""
        for log in self.logs:
            log.is_cut, log.delay = False, 0.0
        self._change_leader(0, frozenset(range(VM_COUNT)))
        await trio.sleep(AGREEMENT_DELAY)

    def check_safety(self) -> None:
        """Checks what holds at any time."""
        now = trio.current_time()
        for vm in self.vms:
            self._check_evacuations(vm)
        for vm, draining in zip(self.vms, self._draining, strict=True):
            assert vm.versions == sorted(set(vm.versions)), vm.versions
            for key, removed_at in self.removed_at.items():
                if now >= removed_at + REVOCATION_DELAY:
                    assert not vm.accepts_key(key), (vm.member.vm, key, now - removed_at)
            for entry in vm.directory.servers.values():
                if entry.state is ServerState.LEAVING:
                    draining.add((entry.id, entry.started_ms))
                else:
                    assert (entry.id, entry.started_ms) not in draining, entry

    def _check_evacuations(self, vm: WatchedVm) -> None:
        """Checks that a VM that learned of an evacuation knows it until the zone is taken back."""
        for statement in vm.evacuations.statements:
            zone = statement.zone
            if self.evacuated[zone] and statement.position >= self._zone_positions[zone]:
                self._informed[zone].add(vm.member.vm)
        for zone in ZONES:
            if vm.member.vm in self._informed[zone]:
                assert zone in vm.evacuations.evacuated_zones, (vm.member.vm, zone)

    def check_agreement(self) -> None:
        """Checks that each VM knows what the operator and the servers wrote last."""
        evacuated = {zone for zone in ZONES if self.evacuated[zone]}
        expected = {entry.id: entry for entry in self.entries.values() if entry is not None}
        for vm in self.vms:
            assert vm.configuration.version == self.version, vm.member.vm
            assert vm.evacuations.evacuated_zones == evacuated, (vm.member.vm, evacuated)
            assert vm.directory.servers == expected, (vm.member.vm, vm.directory.servers, expected)
            assert all(vm.accepts_key(key) for key in self.keys), vm.member.vm

    async def _write_again(self, delay: float) -> None:
        await trio.sleep(delay)
        while self.fleet.log.is_down:
            await trio.sleep(0.01)
        self._write_configuration()
        for zone in self._zone_positions:
            self._write_zone(zone)
        for number in self.entries:
            self._write_entry(number)

    def _write_zone(self, zone: str) -> None:
        log = self.fleet.log
        self._zone_positions[zone] = log.era, len(log.copy().get(TOPICS.configuration, []))
        (self.fleet.evacuate if self.evacuated[zone] else self.fleet.take_back)(zone)

    def _publish(self, adds_key: bool) -> None:
        self.version += 1
        if adds_key or not self.keys:
            self.keys.append(f"key-{self._next_key}")
            self._next_key += 1
        else:
            self.removed_at[self.keys.pop(0)] = trio.current_time()
        self._write_configuration()

    def _write_configuration(self) -> None:
        self.fleet.publish(self.version, *self.keys)

    def _write_server(self, number: int, state: Optional[ServerState], restarts: bool) -> None:
        known = self.entries.get(number)
        if state is None:
            self.entries[number] = None
        elif known is None or restarts:
            started_ms = int(trio.current_time() * 1000)
            self.entries[number] = replace(server(number), state=state, started_ms=started_ms)
        elif known.state is ServerState.READY:
            self.entries[number] = replace(known, state=state)
        self._write_entry(number)

    def _write_entry(self, number: int) -> None:
        entry = self.entries[number]
        if entry is None:
            self.fleet.remove(server(number).id)
        else:
            self.fleet.register(entry)

    def _change_leader(self, leader: int, followers: frozenset[int]) -> None:
        for vm in self.vms:
            vm.unfollow()
        for number in followers - {leader}:
            self._nursery.start_soon(self._follow, self.vms[number], self.vms[leader])

    async def _follow(self, follower: WatchedVm, leader: WatchedVm) -> None:
        # The former leader is left first.
        await trio.sleep(0.001)
        await follower.follow(leader)


class StoreRestorePropertiesTest(testtools.TestCase):
    @settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(_steps)
    @example(_LOST_REMOVAL)
    @example(_LOST_EVACUATION)
    def test_vms_agree_and_no_knowledge_goes_back(
        self, steps: list[tuple[Operation, float]]
    ) -> None:
        """Guards against versions, keys, draining servers and zones that go back."""

        async def body(fleet: WatchedFleet) -> None:
            async with trio.open_nursery() as nursery:
                scenario = Scenario(fleet, nursery)
                # A VM that reads the store first after a restore cannot know what was lost.
                await trio.sleep(START_DELAY)
                nursery.start_soon(_check_repeatedly, scenario)
                for operation, pause in steps:
                    await scenario.apply(operation)
                    await trio.sleep(pause)
                await scenario.settle()
                scenario.check_agreement()
                nursery.cancel_scope.cancel()

        run_fleet(body)


async def _check_repeatedly(scenario: Scenario) -> None:
    while True:
        scenario.check_safety()
        await trio.sleep(0.05)
