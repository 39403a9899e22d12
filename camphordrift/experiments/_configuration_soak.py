"""Long randomized runs of the configuration, with its invariants asserted on the way.

``python -m camphordrift.experiments._configuration_soak --first-seed 1 --seeds 1000`` runs a
thousand seeds; the same seed gives the same run. A run fails with ``AssertionError``.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

import cyclopts
import trio
from returns import result

from camphordrift.configuration import (
    HIGHEST_SCHEMA_VERSION,
    BlockReason,
    ConfigurationKeeper,
    ConfigurationRecord,
    EntryKey,
    KeeperSettings,
    prepare_record,
    publishable_schema_version,
)
from camphordrift.experiments._configuration_faults import ConfigurationFaults
from camphordrift.experiments._configuration_fleet import (
    ConfigurationFleet,
    FleetVm,
    KeeperFactory,
)
from camphordrift.experiments._configuration_records import ENTRY_NAMES, random_value
from camphordrift.experiments._configuration_reference import LogReference, content_of
from camphordrift.identifiers import VmId
from camphordrift.platform_log import (
    FollowerSettings,
    WriterSettings,
)
from camphordrift.results import ResultCode
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.testing import run_in_virtual_time

#: An accepted record is in force on every VM within this time, in seconds.
IN_FORCE_WITHIN_SECONDS = 3.0

_VM_COUNT = 5
_OPERATOR_COUNT = 3
_FAULT_SECONDS = 60.0
_SETTLE_SECONDS = 60.0
_CHECK_SECONDS = 0.1
_PUBLISH_SECONDS = 8.0

_SETTINGS = KeeperSettings(
    follower=FollowerSettings(poll_seconds=0.5, read_timeout_seconds=4.0),
    checkpoint_seconds=40.0,
    checkpoint_records=10,
    checkpoint_check_seconds=1.0,
    checkpoint_jitter_seconds=3.0,
)


@dataclass
class SoakReport:
    """What one run went through; all of it kept to the invariants."""

    #: The seed.
    seed: int

    #: Records that were in force in the end.
    accepted: int = 0

    #: How publishing ended, by result code; ``OK`` for records in force.
    outcomes: Counter[str] = field(default_factory=Counter)

    #: Faults that were brought about, by name.
    faults: Counter[str] = field(default_factory=Counter)

    #: VMs with an older program that could not follow a newer record in the end.
    left_behind: int = 0


class ConfigurationSoak:
    """One seeded run: operators race, faults strike, and everything is checked all the time."""

    def __init__(self, seed: int, keeper_factory: KeeperFactory = ConfigurationKeeper) -> None:
        self._random = Random(seed)
        self._keeper_factory = keeper_factory
        self._report = SoakReport(seed)
        self._versions: dict[ConfigurationKeeper, int] = {}
        self._floors: deque[tuple[float, int]] = deque()
        self._ready: set[ConfigurationKeeper] = set()
        self._won: dict[tuple[EntryKey, int], str] = {}
        self._next_note = 0
        self._service: InMemoryLogService
        self._fleet: ConfigurationFleet
        self._faults: ConfigurationFaults
        self._reference: LogReference

    async def run(self) -> SoakReport:
        """Runs to the end and returns what happened."""
        limits = LogLimits(retention_records=self._random.choice((None, 60)))
        self._service = InMemoryLogService(trio.current_time, limits)
        self._reference = LogReference(self._service, _SETTINGS.stream)
        async with trio.open_nursery() as nursery:
            self._fleet = ConfigurationFleet(
                self._service,
                nursery,
                self._random,
                _SETTINGS,
                WriterSettings(),
                self._keeper_factory,
            )
            self._faults = ConfigurationFaults(self._random, self._service, self._fleet)
            for number in range(_VM_COUNT):
                self._fleet.start_vm(VmId(f"vm-{number}"), self._faults.schema_version())
            nursery.start_soon(self._fleet.exchange_states)
            nursery.start_soon(self._check_all_the_time)
            await self._strike(nursery)
            await self._settle()
            nursery.cancel_scope.cancel()
        return self._report

    async def _strike(self, nursery: trio.Nursery) -> None:
        async with trio.open_nursery() as striking:
            for number in range(_OPERATOR_COUNT):
                striking.start_soon(self._operate, f"operator-{number}")
            with trio.move_on_after(_FAULT_SECONDS):
                while True:
                    await trio.sleep(self._random.uniform(0.2, 5.0))
                    nursery.start_soon(self._faults.strike_once)
            striking.cancel_scope.cancel()

    async def _settle(self) -> None:
        """Ends all faults, and asserts that all VMs come to have the same configuration."""
        self._faults.end_all()
        await trio.sleep(_SETTLE_SECONDS)
        self._check()
        for vm in self._fleet.vms.values():
            status = vm.keeper.status
            if status.block is not None:
                # An older program that was started after a newer record serves nobody.
                assert status.block.reason is BlockReason.SCHEMA, (vm.vm_id, status)
                assert status.readable_schema_version < HIGHEST_SCHEMA_VERSION
                assert not vm.keeper.is_ready, (vm.vm_id, status)
                self._report.left_behind += 1
                continue
            assert vm.keeper.is_ready or self._reference.version == 0, (vm.vm_id, status)
            assert status.version == self._reference.version, (vm.vm_id, status)
        self._report.accepted = self._reference.version
        self._report.faults = self._faults.counts

    async def _operate(self, author: str) -> None:
        while True:
            await trio.sleep(self._random.uniform(0.05, 2.0))
            vms = list(self._fleet.vms.values())
            if vms:
                await self._publish_once(self._random.choice(vms), author)

    async def _publish_once(self, vm: FleetVm, author: str) -> None:
        self._next_note += 1
        note = f"note-{self._next_note}"
        record = self._random_record(vm, author, note)
        with trio.move_on_after(_PUBLISH_SECONDS + 5.0) as scope:
            ended = await vm.keeper.publish(record, _PUBLISH_SECONDS)
        if scope.cancelled_caught:
            # The VM is paused; the operator's tool has given up.
            self._report.outcomes["NO_ANSWER"] += 1
            return
        self._reference.read_on()
        match ended:
            case result.Success(published):
                self._report.outcomes["OK"] += 1
                assert self._reference.accepted_notes.get(note) == published.version
                for change in record.changes:
                    winner = self._won.setdefault((change.key, change.replaces), note)
                    assert winner == note, "two operators were told that they won"
            case result.Failure(refused):
                self._report.outcomes[refused.failure.code.name] += 1
                if refused.failure.code is not ResultCode.PUBLISH_UNSURE:
                    assert note not in self._reference.accepted_notes, "told wrongly of a refusal"

    def _random_record(self, vm: FleetVm, author: str, note: str) -> ConfigurationRecord:
        schema_version = publishable_schema_version(self._fleet.live_schema_versions())
        versions = {entry.key: entry.version for entry in vm.keeper.entries()}
        name = self._random.choice(ENTRY_NAMES)
        kind, value = random_value(self._random, schema_version)
        key = EntryKey(kind, name)
        change = {"kind": kind.value, "key": name, "replaces": versions.get(key, 0), **value}
        raw = {"author": author, "note": note, "changes": [change]}
        return prepare_record(raw, schema_version).unwrap()

    async def _check_all_the_time(self) -> None:
        while True:
            self._check()
            await trio.sleep(_CHECK_SECONDS)

    def _check(self) -> None:
        self._reference.read_on()
        for vm in self._fleet.vms.values():
            self._check_vm(vm)
        self._note_floor()

    def _check_vm(self, vm: FleetVm) -> None:
        keeper = vm.keeper
        keeper.check_invariants()
        version = keeper.status.version
        before = self._versions.get(keeper, 0)
        assert version >= before, f"{vm.vm_id} went back from version {before} to {version}"
        if version != before:
            content = content_of(keeper.encoded_state())
            assert content == self._reference.contents[version], f"{vm.vm_id} differs"
        self._versions[keeper] = version
        if keeper.is_ready and keeper not in self._ready:
            self._ready.add(keeper)
            self._check_newly_ready(vm)

    def _check_newly_ready(self, vm: FleetVm) -> None:
        """Asserts that a VM begins to serve with no less than all others had some seconds ago."""
        version = vm.keeper.status.version
        known_by_all = self._floors[0][1] if self._floors else 0
        assert version >= known_by_all, f"{vm.vm_id} began with version {version}"

    def _note_floor(self) -> None:
        """Notes the lowest version of all VMs that serve, and forgets all but the last seconds."""
        now = trio.current_time()
        versions = [
            vm.keeper.status.version for vm in self._fleet.vms.values() if vm.keeper in self._ready
        ]
        self._floors.append((now, min(versions, default=0)))
        while len(self._floors) > 1 and self._floors[1][0] <= now - IN_FORCE_WITHIN_SECONDS:
            self._floors.popleft()


def run_configuration_soak(
    seed: int, keeper_factory: KeeperFactory = ConfigurationKeeper
) -> SoakReport:
    """Runs one seed in virtual time; raises ``AssertionError`` if an invariant is broken."""
    return run_in_virtual_time(ConfigurationSoak(seed, keeper_factory).run)


def main(first_seed: int = 1, seeds: int = 20) -> None:
    """Runs many seeds and prints what they went through.

    Parameters
    ----------
    first_seed
        The first seed.
    seeds
        How many seeds follow one another.

    """
    accepted = 0
    left_behind = 0
    outcomes: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    for seed in range(first_seed, first_seed + seeds):
        try:
            report = run_configuration_soak(seed)
        except BaseException:
            print(f"seed {seed} failed")
            raise
        accepted += report.accepted
        left_behind += report.left_behind
        outcomes.update(report.outcomes)
        faults.update(report.faults)
    print(f"{seeds} seeds from {first_seed}: all invariants held")
    print(f"records in force: {accepted}; VMs left behind by their schema: {left_behind}")
    print("publishing: " + ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items())))
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(faults.items())))


if __name__ == "__main__":
    cyclopts.run(main)
