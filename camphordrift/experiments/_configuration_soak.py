"""Soak test: randomized operators and faults, with invariants of the configuration asserted.

``python -m camphordrift.experiments._configuration_soak --first-seed 1 --seeds 1000`` runs
1000 seeds; the same seed gives the same run. A run fails with ``AssertionError``.
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
from camphordrift.experiments._configuration_reference import LogReference, entries_of
from camphordrift.identifiers import VmId
from camphordrift.platform_log import (
    FollowerSettings,
    WriterSettings,
)
from camphordrift.results import ResultCode
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.testing import run_in_virtual_time

#: Every VM applies an accepted record within this time, in seconds.
APPLIED_WITHIN_SECONDS = 3.0

_VM_COUNT = 5
_OPERATOR_COUNT = 3
_FAULT_SECONDS = 60.0
_CONVERGENCE_SECONDS = 60.0
_CHECK_INTERVAL_SECONDS = 0.1
_PUBLISH_TIMEOUT_SECONDS = 8.0

_SETTINGS = KeeperSettings(
    follower=FollowerSettings(poll_seconds=0.5, read_timeout_seconds=4.0),
    checkpoint_seconds=40.0,
    checkpoint_records=10,
    checkpoint_check_seconds=1.0,
    checkpoint_jitter_seconds=3.0,
)


@dataclass
class SoakReport:
    """Counts of one run; a report exists only if all invariants held."""

    #: Seed of the run.
    seed: int

    #: Records that were accepted.
    accepted: int = 0

    #: Number of publications by result code; ``OK`` for accepted records.
    outcomes: Counter[str] = field(default_factory=Counter)

    #: Number of injected faults, by name.
    faults: Counter[str] = field(default_factory=Counter)

    #: VMs of an older schema version that could not read a newer record at the end.
    left_behind: int = 0


class ConfigurationSoak:
    """One seeded run with concurrent operators and faults; invariants are checked continuously."""

    def __init__(self, seed: int, keeper_factory: KeeperFactory = ConfigurationKeeper) -> None:
        self._random = Random(seed)
        self._keeper_factory = keeper_factory
        self._report = SoakReport(seed)
        self._versions: dict[ConfigurationKeeper, int] = {}
        self._lowest_versions: deque[tuple[float, int]] = deque()
        self._ready: set[ConfigurationKeeper] = set()
        self._winners: dict[tuple[EntryKey, int], str] = {}
        self._next_note = 0
        self._service: InMemoryLogService
        self._fleet: ConfigurationFleet
        self._faults: ConfigurationFaults
        self._reference: LogReference

    async def run(self) -> SoakReport:
        """Runs to the end and returns the counts."""
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
            nursery.start_soon(self._check_repeatedly)
            await self._run_with_faults(nursery)
            await self._check_convergence()
            nursery.cancel_scope.cancel()
        return self._report

    async def _run_with_faults(self, nursery: trio.Nursery) -> None:
        async with trio.open_nursery() as operators:
            for number in range(_OPERATOR_COUNT):
                operators.start_soon(self._publish_repeatedly, f"operator-{number}")
            with trio.move_on_after(_FAULT_SECONDS):
                while True:
                    await trio.sleep(self._random.uniform(0.2, 5.0))
                    nursery.start_soon(self._faults.inject_one)
            operators.cancel_scope.cancel()

    async def _check_convergence(self) -> None:
        """Ends all faults and asserts that all VMs converge to the same configuration."""
        self._faults.end_all()
        await trio.sleep(_CONVERGENCE_SECONDS)
        self._check()
        for vm in self._fleet.vms.values():
            status = vm.keeper.status
            if status.block is not None:
                # A VM of an older schema that started after a newer record must not serve requests.
                assert status.block.reason is BlockReason.SCHEMA, (vm.vm_id, status)
                assert status.readable_schema_version < HIGHEST_SCHEMA_VERSION
                assert not vm.keeper.is_ready, (vm.vm_id, status)
                self._report.left_behind += 1
                continue
            assert vm.keeper.is_ready or self._reference.version == 0, (vm.vm_id, status)
            assert status.version == self._reference.version, (vm.vm_id, status)
        self._report.accepted = self._reference.version
        self._report.faults = self._faults.counts

    async def _publish_repeatedly(self, author: str) -> None:
        while True:
            await trio.sleep(self._random.uniform(0.05, 2.0))
            vms = list(self._fleet.vms.values())
            if vms:
                await self._publish_once(self._random.choice(vms), author)

    async def _publish_once(self, vm: FleetVm, author: str) -> None:
        self._next_note += 1
        note = f"note-{self._next_note}"
        record = self._random_record(vm, author, note)
        with trio.move_on_after(_PUBLISH_TIMEOUT_SECONDS + 5.0) as scope:
            publish_result = await vm.keeper.publish(record, _PUBLISH_TIMEOUT_SECONDS)
        if scope.cancelled_caught:
            # The VM is paused and the operator's client timed out.
            self._report.outcomes["NO_ANSWER"] += 1
            return
        self._reference.catch_up()
        match publish_result:
            case result.Success(published):
                self._report.outcomes["OK"] += 1
                assert self._reference.accepted_notes.get(note) == published.version
                for change in record.changes:
                    winner = self._winners.setdefault((change.key, change.replaces), note)
                    assert winner == note, "two operators were told that their change was accepted"
            case result.Failure(not_published):
                self._report.outcomes[not_published.failure.code.name] += 1
                if not_published.failure.code is not ResultCode.PUBLISH_UNSURE:
                    assert (
                        note not in self._reference.accepted_notes
                    ), "an accepted record was reported as refused"

    def _random_record(self, vm: FleetVm, author: str, note: str) -> ConfigurationRecord:
        schema_version = publishable_schema_version(self._fleet.live_schema_versions())
        versions = {entry.key: entry.version for entry in vm.keeper.entries()}
        name = self._random.choice(ENTRY_NAMES)
        kind, value = random_value(self._random, schema_version)
        key = EntryKey(kind, name)
        change = {"kind": kind.value, "key": name, "replaces": versions.get(key, 0), **value}
        raw = {"author": author, "note": note, "changes": [change]}
        return prepare_record(raw, schema_version).unwrap()

    async def _check_repeatedly(self) -> None:
        while True:
            self._check()
            await trio.sleep(_CHECK_INTERVAL_SECONDS)

    def _check(self) -> None:
        self._reference.catch_up()
        for vm in self._fleet.vms.values():
            self._check_vm(vm)
        self._record_lowest_version()

    def _check_vm(self, vm: FleetVm) -> None:
        keeper = vm.keeper
        keeper.check_invariants()
        version = keeper.status.version
        previous = self._versions.get(keeper, 0)
        assert version >= previous, f"{vm.vm_id} went back from version {previous} to {version}"
        if version != previous:
            entries = entries_of(keeper.encoded_state())
            assert (
                entries == self._reference.encoded_entries[version]
            ), f"{vm.vm_id} differs from the reference"
        self._versions[keeper] = version
        if keeper.is_ready and keeper not in self._ready:
            self._ready.add(keeper)
            self._check_newly_ready(vm)

    def _check_newly_ready(self, vm: FleetVm) -> None:
        """Asserts that a VM becomes ready with at least the version that all had 3 s ago."""
        version = vm.keeper.status.version
        lowest = self._lowest_versions[0][1] if self._lowest_versions else 0
        assert version >= lowest, f"{vm.vm_id} became ready with version {version}"

    def _record_lowest_version(self) -> None:
        """Records the lowest version of all ready VMs and drops outdated entries."""
        now = trio.current_time()
        versions = [
            vm.keeper.status.version for vm in self._fleet.vms.values() if vm.keeper in self._ready
        ]
        self._lowest_versions.append((now, min(versions, default=0)))
        while (
            len(self._lowest_versions) > 1
            and self._lowest_versions[1][0] <= now - APPLIED_WITHIN_SECONDS
        ):
            self._lowest_versions.popleft()


def run_configuration_soak(
    seed: int, keeper_factory: KeeperFactory = ConfigurationKeeper
) -> SoakReport:
    """Runs one seed in virtual time; raises ``AssertionError`` if an invariant does not hold."""
    return run_in_virtual_time(ConfigurationSoak(seed, keeper_factory).run)


def main(first_seed: int = 1, seeds: int = 20) -> None:
    """Runs consecutive seeds and prints their total counts.

    Parameters
    ----------
    first_seed
        First seed.
    seeds
        Number of seeds.

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
    print(f"accepted records: {accepted}; VMs blocked by an older schema: {left_behind}")
    print(
        "publications: " + ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
    )
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(faults.items())))


if __name__ == "__main__":
    cyclopts.run(main)
