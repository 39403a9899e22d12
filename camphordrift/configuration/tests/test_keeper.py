"""Tests of configuration keepers on several VMs, with failures alone and in pairs."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import testtools
import trio
from returns import result

from camphordrift.configuration import (
    BlockReason,
    Checkpoint,
    ConfigurationRecord,
    HistoryEntry,
    KeeperSettings,
    PeerStateOutcome,
    Published,
    PublishResult,
    Readiness,
    decode_payload,
    encode_record,
)
from camphordrift.configuration.tests.samples import base_record, engine, raw_change, record
from camphordrift.experiments._configuration_fleet import ConfigurationFleet, FleetVm
from camphordrift.identifiers import VmId
from camphordrift.platform_log import (
    RecordEnvelope,
    WriterSettings,
    decode_envelope,
    encode_envelope,
    new_record_id,
)
from camphordrift.results import ResultCode, RunState
from camphordrift.standins import InMemoryLogService, LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time

_STREAM = "configuration"
_NO_CHECKPOINTS = KeeperSettings(checkpoint_records=10_000, checkpoint_seconds=1e9)
_FREQUENT_CHECKPOINTS = KeeperSettings(
    checkpoint_records=5, checkpoint_seconds=100.0, checkpoint_jitter_seconds=9
)

_Body = Callable[[InMemoryLogService, ConfigurationFleet], Awaitable[None]]


def _run(body: _Body, settings: KeeperSettings = _NO_CHECKPOINTS) -> None:
    async def main() -> None:
        service = InMemoryLogService(trio.current_time, LogLimits())
        async with trio.open_nursery() as nursery:
            fleet = ConfigurationFleet(service, nursery, Random(1), settings, WriterSettings())
            nursery.start_soon(fleet.exchange_states)
            await body(service, fleet)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


def _start(fleet: ConfigurationFleet, count: int) -> list[FleetVm]:
    return [fleet.start_vm(VmId(f"vm-{number}")) for number in range(count)]


async def _start_with_base(fleet: ConfigurationFleet, count: int) -> list[FleetVm]:
    vms = _start(fleet, count)
    assert isinstance(await _publish(vms[0], base_record()), result.Success)
    await fleet.wait_for_version(1)
    return vms


async def _publish(vm: FleetVm, published: ConfigurationRecord, seconds: float = 10.0) -> Any:
    return await vm.keeper.publish(published, seconds)


def _move_engine(replaces: int, port: int, author: str = "ala") -> ConfigurationRecord:
    return record(raw_change("backend_server", "engine-1", replaces, engine(port)), author=author)


async def _move_engine_repeatedly(vm: FleetVm, first: int, count: int) -> None:
    """Publishes ``count`` records, the first of which replaces version ``first``."""
    for version in range(first, first + count):
        outcome = await _publish(vm, _move_engine(version, 9_000 + version))
        assert outcome.unwrap().version == version + 1


def _code(outcome: PublishResult) -> ResultCode:
    return outcome.failure().failure.code


class StartupTest(testtools.TestCase):
    def test_vm_without_configuration_is_not_ready(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            service.faults.begin_outage()
            (vm,) = _start(fleet, 1)
            await trio.sleep(60)
            self.assertEqual(Readiness.KNOWS_NOTHING, vm.keeper.readiness)
            self.assertIsNone(vm.keeper.snapshot)
            self.assertIsNone(vm.keeper.encoded_state())

        _run(body)

    def test_new_vm_gets_the_configuration_from_peers_while_the_log_is_unavailable(self) -> None:
        for silent in (False, True):
            self._check_start_in_outage(silent)

    def _check_start_in_outage(self, silent: bool) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            await _start_with_base(fleet, 2)
            service.faults.begin_outage(unresponsive=silent)
            new_vm = fleet.start_vm(VmId("newcomer"))
            with trio.fail_after(_NO_CHECKPOINTS.peer_only_after_seconds + 2):
                await new_vm.keeper.wait_ready()
            self.assertEqual(1, new_vm.keeper.status.version)
            # Stop all VMs that read the configuration from the log, then start another one.
            fleet.stop_vm(VmId("vm-0"))
            fleet.stop_vm(VmId("vm-1"))
            last = fleet.start_vm(VmId("last"))
            await last.keeper.wait_ready()
            self.assertEqual(1, last.keeper.status.version)

        _run(body)

    def test_outdated_peer_state_does_not_make_a_new_vm_ready(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 1)
            old = vms[0].keeper.encoded_state()
            assert old is not None
            await _move_engine_repeatedly(vms[0], 1, 3)
            self.assertEqual(PeerStateOutcome.NOT_NEWER, vms[0].keeper.accept_peer_state(old))
            service.faults.slow_down(1.0)
            new_vm = fleet.start_vm(VmId("newcomer"))
            new_vm.keeper.accept_peer_state(old)
            self.assertEqual(Readiness.NOT_CAUGHT_UP, new_vm.keeper.readiness)
            await new_vm.keeper.wait_ready()
            self.assertEqual(4, new_vm.keeper.status.version)

        _run(body)


class PublishTest(testtools.TestCase):
    def test_one_of_two_concurrent_records_is_accepted(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 3)
            outcomes: list[Any] = []

            async def race(vm: FleetVm, port: int, author: str) -> None:
                outcomes.append(await _publish(vm, _move_engine(1, port, author)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(race, vms[0], 9001, "ala")
                nursery.start_soon(race, vms[1], 9002, "bob")
            accepted = [one for one in outcomes if isinstance(one, result.Success)]
            (rejected,) = [one for one in outcomes if isinstance(one, result.Failure)]
            self.assertEqual([2], [one.unwrap().version for one in accepted])
            self.assertEqual(ResultCode.RECORD_VERSION_CONFLICT, _code(rejected))
            (conflict,) = rejected.failure().conflicts
            self.assertEqual(["port"], [changed.field for changed in conflict.differences])

        _run(body)

    def test_lost_response_neither_duplicates_nor_loses_a_record(self) -> None:
        for lost_response in (
            ResponseLoss(takes_effect=True),
            ResponseLoss(takes_effect=True, effect_delay_seconds=3.0),
            ResponseLoss(takes_effect=False),
        ):
            self._check_lost_response(lost_response)

    def _check_lost_response(self, lost_response: ResponseLoss) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            service.faults.lose_next_responses(2, lost_response)
            outcome = await _publish(vms[0], _move_engine(1, 9001))
            self.assertEqual(2, outcome.unwrap().version)
            await trio.sleep(10)
            self.assertEqual([2, 2], [vm.keeper.status.version for vm in vms])

        _run(body)

    def test_record_refused_in_an_outage_is_never_applied(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            service.faults.begin_outage()
            outcome = await _publish(vms[0], _move_engine(1, 9001), 5.0)
            self.assertEqual(ResultCode.LOG_UNAVAILABLE, _code(outcome))
            self.assertEqual(RunState.NOT_RUN, outcome.failure().failure.run_state)
            self.assertTrue(all(vm.keeper.is_ready for vm in vms))
            service.faults.end_outage()
            await trio.sleep(30)
            self.assertEqual([1, 1], [vm.keeper.status.version for vm in vms])

        _run(body)

    def test_lost_response_before_an_outage_is_reported_as_unsure(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            service.faults.lose_next_responses(1, ResponseLoss(takes_effect=True))
            outcomes: list[Any] = []

            async def publish() -> None:
                outcomes.append(await _publish(vms[0], _move_engine(1, 9001), 5.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(publish)
                while not vms[0].writer.statistics.unsure:
                    await trio.sleep(0.0005)
                service.faults.begin_outage()
            self.assertEqual(ResultCode.PUBLISH_UNSURE, _code(outcomes[0]))
            service.faults.end_outage()
            await trio.sleep(3)
            self.assertEqual([2, 2], [vm.keeper.status.version for vm in vms])

        _run(body)

    def test_dry_run_returns_the_decision_and_appends_nothing(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            (vm,) = await _start_with_base(fleet, 1)
            appends = service.append_count
            accepted = await vm.keeper.publish(_move_engine(1, 9001), 5.0, dry_run=True)
            rejected = await vm.keeper.publish(_move_engine(7, 9001), 5.0, dry_run=True)
            self.assertEqual(result.Success(Published(2)), accepted)
            self.assertEqual(ResultCode.RECORD_VERSION_CONFLICT, _code(rejected))
            self.assertEqual(appends, service.append_count)
            (change,) = vm.keeper.preview_changes(_move_engine(1, 9001))
            self.assertEqual(["port"], [field.field for field in change.fields])

        _run(body)

    def test_history_and_differences_between_versions(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            (vm,) = await _start_with_base(fleet, 1)
            await _move_engine_repeatedly(vm, 1, 3)
            history: tuple[HistoryEntry, ...] = vm.keeper.history()
            self.assertEqual([1, 2, 3, 4], [entry.version for entry in history])
            (change,) = vm.keeper.changes_between_versions(2).unwrap()
            (field,) = change.fields
            self.assertEqual((9_001, 9_003), (field.old, field.new))
            unknown = vm.keeper.changes_between_versions(3, 9).failure()
            self.assertEqual(ResultCode.CONFIGURATION_UNKNOWN, unknown.code)

        _run(body)


class LogGapTest(testtools.TestCase):
    def test_vm_recovers_from_truncation_by_checkpoint_or_peer_state(self) -> None:
        for without_peer in (True, False):
            self._check_truncation(without_peer)

    def _check_truncation(self, without_peer: bool) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            vms[1].link.is_disconnected = True
            vms[1].link.pause()
            await _move_engine_repeatedly(vms[0], 1, 8)
            await trio.sleep(60)
            service.truncate(_STREAM, 8)
            if without_peer:
                fleet.stop_vm(VmId("vm-0"))
            self.assertEqual(1, vms[1].keeper.status.version)
            vms[1].link.is_disconnected = False
            vms[1].link.resume()
            await trio.sleep(5)
            self.assertEqual(9, vms[1].keeper.status.version)
            self.assertIsNone(vms[1].keeper.status.block)

        _run(body, _FREQUENT_CHECKPOINTS)

    def test_gap_without_checkpoint_blocks_updates_but_not_serving(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            vms[1].link.is_disconnected = True
            vms[1].link.pause()
            await _move_engine_repeatedly(vms[0], 1, 8)
            service.truncate(_STREAM, 5)
            fleet.stop_vm(VmId("vm-0"))
            vms[1].link.is_disconnected = False
            vms[1].link.resume()
            await trio.sleep(10)
            status = vms[1].keeper.status
            assert status.block is not None
            self.assertEqual((1, BlockReason.GAP), (status.version, status.block.reason))
            self.assertEqual(Readiness.READY, status.readiness)
            outcome = await _publish(vms[1], _move_engine(1, 9001))
            self.assertEqual(ResultCode.CONFIGURATION_UNKNOWN, _code(outcome))

        _run(body)

    def test_lost_log_tail_does_not_revert_the_configuration(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            await _move_engine_repeatedly(vms[0], 1, 4)
            await fleet.wait_for_version(5)
            service.lose_tail(_STREAM, 2)
            await trio.sleep(5)
            self.assertEqual([5, 5], [vm.keeper.status.version for vm in vms])
            self.assertTrue(vms[0].keeper.status.lost_tail)
            outcome = await _publish(vms[0], _move_engine(5, 9_500))
            self.assertEqual(ResultCode.LOG_UNAVAILABLE, _code(outcome))

        _run(body)


class CheckpointTest(testtools.TestCase):
    def test_one_vm_appends_a_checkpoint_and_new_vms_start_from_it(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 7)
            await trio.sleep(60)
            self.assertEqual(1, _appended_checkpoints(fleet))
            await _move_engine_repeatedly(vms[0], 1, 6)
            await trio.sleep(60)
            self.assertEqual(2, _appended_checkpoints(fleet))
            await trio.sleep(100)
            self.assertEqual(3, _appended_checkpoints(fleet))
            for vm in vms:
                fleet.stop_vm(vm.vm_id)
            service.truncate(_STREAM, len(service.records_of(_STREAM)) - 1)
            new_vm = fleet.start_vm(VmId("newcomer"))
            await new_vm.keeper.wait_ready()
            self.assertEqual(7, new_vm.keeper.status.version)

        _run(body, _FREQUENT_CHECKPOINTS)

    def test_checkpoint_is_appended_despite_outage_and_lost_response(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            await _start_with_base(fleet, 3)
            service.faults.begin_outage()
            await trio.sleep(100)
            service.faults.lose_next_responses(1, ResponseLoss(takes_effect=True))
            service.faults.end_outage()
            await trio.sleep(60)
            self.assertTrue(1 <= _checkpoints_in_log(service) <= 2)

        _run(body, _FREQUENT_CHECKPOINTS)


def _appended_checkpoints(fleet: ConfigurationFleet) -> int:
    return sum(vm.keeper.status.checkpoints_appended for vm in fleet.vms.values())


def _checkpoints_in_log(service: InMemoryLogService) -> int:
    envelopes = [decode_envelope(stored.payload) for stored in service.records_of(_STREAM)]
    decoded = [decode_payload(envelope.payload) for envelope in envelopes if envelope is not None]
    return sum(isinstance(one.unwrap(), Checkpoint) for one in decoded)


class SchemaVersionsTest(testtools.TestCase):
    def test_a_record_is_refused_while_a_live_vm_cannot_read_it(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            fleet.start_vm(VmId("old"), schema_version=1)
            await fleet.wait_for_version(1)
            outcome = await _publish(vms[0], _schema_2_record())
            self.assertEqual(ResultCode.RECORD_SCHEMA_TOO_NEW, _code(outcome))
            self.assertIn("old", outcome.failure().failure.detail)
            fleet.stop_vm(VmId("old"))
            self.assertEqual(2, (await _publish(vms[0], _schema_2_record())).unwrap().version)

        _run(body)

    def test_older_program_does_not_partially_apply_a_newer_record(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            vms = await _start_with_base(fleet, 2)
            await _publish(vms[0], _schema_2_record())
            await _publish(vms[0], _move_engine(1, 9_001))
            old = fleet.start_vm(VmId("old"), schema_version=1)
            await trio.sleep(10)
            status = old.keeper.status
            assert status.block is not None
            self.assertEqual((1, BlockReason.SCHEMA), (status.version, status.block.reason))
            self.assertEqual(Readiness.BEHIND_A_PEER, status.readiness)

        _run(body)

    def test_fleet_of_older_programs_keeps_serving(self) -> None:
        async def body(service: InMemoryLogService, fleet: ConfigurationFleet) -> None:
            old = [fleet.start_vm(VmId(f"old-{number}"), 1) for number in range(2)]
            assert isinstance(await _publish(old[0], base_record()), result.Success)
            await fleet.wait_for_version(1)
            # A tool that does not know these VMs appends a record without the schema check.
            await service.append(_STREAM, [_in_envelope(_schema_2_record())])
            await trio.sleep(10)
            for vm in old:
                self.assertEqual(Readiness.READY, vm.keeper.readiness)
            new = fleet.start_vm(VmId("new"))
            await new.keeper.wait_ready()
            await trio.sleep(5)
            self.assertEqual(2, new.keeper.status.version)
            for vm in old:
                self.assertEqual(Readiness.BEHIND_A_PEER, vm.keeper.readiness)

        _run(body)


def _schema_2_record() -> ConfigurationRecord:
    value = {
        "version": "1",
        "service": "assistant",
        "maximum_context_tokens": 1_000,
        "adapters": ["polish@1"],
    }
    return record(raw_change("model", "coach", 0, value), schema_version=2)


def _in_envelope(published: ConfigurationRecord) -> bytes:
    return encode_envelope(RecordEnvelope(new_record_id(), "tool", encode_record(published)))
