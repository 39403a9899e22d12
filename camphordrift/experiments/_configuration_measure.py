"""Measures the configuration and the log client in virtual time.

``python -m camphordrift.experiments._configuration_measure`` prints the figures of
docs/design/configuration.md and docs/design/platform-log.md; the same seed gives the same figures.
"""

import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import cyclopts
import trio

from camphordrift.configuration import (
    ConfigurationRecord,
    ConfigurationState,
    KeeperSettings,
    apply_record,
    decode_payload,
    encode_checkpoint,
    encode_record,
    prepare_record,
)
from camphordrift.experiments._configuration_fleet import ConfigurationFleet, FleetVm
from camphordrift.identifiers import VmId
from camphordrift.platform_log import (
    LogWriter,
    RecordEnvelope,
    WriterSettings,
    encode_envelope,
    new_record_id,
)
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.testing import run_in_virtual_time

_STREAM = "configuration"
_LOG_RECORDS = 10_000
_LOG_ENTRIES = 500
_NO_CHECKPOINTS = KeeperSettings(checkpoint_seconds=1e9, checkpoint_records=10**9)
_LIMITS = LogLimits(latency_seconds=0.01)
_TRIALS = 40
_START_TRIALS = 5
_MEASURED_SECONDS = 30.0

_Experiment = Callable[[InMemoryLogService, ConfigurationFleet], Awaitable[list[float]]]


def service_record(name: str, replaces: int, seconds: int) -> ConfigurationRecord:
    """Returns a record that sets the timeouts of one service."""
    value = {
        "type": "model",
        "default_timeout_seconds": seconds,
        "maximum_timeout_seconds": 2 * seconds,
    }
    change = {"kind": "service", "key": name, "replaces": replaces, "value": value}
    raw = {"author": "measure", "changes": [change]}
    return prepare_record(raw, 1).unwrap()


def propagation_seconds(vm_count: int, seed: int, trials: int = _TRIALS) -> list[float]:
    """Returns the times from a publication until all VMs applied the record, in seconds."""

    async def experiment(service: InMemoryLogService, fleet: ConfigurationFleet) -> list[float]:
        vms = _start_vms(fleet, vm_count)
        await _publish(vms[0], service_record("a", 0, 1))
        await fleet.wait_for_version(1)
        random = Random(seed)
        durations = []
        for version in range(1, trials + 1):
            await trio.sleep(random.uniform(0.5, 2.0))
            started_at = trio.current_time()
            record = service_record("a", version, 1 + version % 50)
            await _publish(random.choice(vms), record)
            await fleet.wait_for_version(version + 1)
            durations.append(trio.current_time() - started_at)
        return durations

    return _run_with_fleet(experiment, seed)


def start_seconds(checkpoint: bool, seed: int) -> list[float]:
    """Returns the times from the start of a VM with empty state until it is ready, in seconds.

    The log has 10,000 records, or, with ``checkpoint``, only a checkpoint of them.
    """

    async def experiment(service: InMemoryLogService, fleet: ConfigurationFleet) -> list[float]:
        await _append_records(service, checkpoint)
        durations = []
        for number in range(_START_TRIALS):
            vm = fleet.start_vm(VmId(f"vm-{number}"))
            started_at = trio.current_time()
            await vm.keeper.wait_ready()
            durations.append(trio.current_time() - started_at)
            assert vm.keeper.status.version == _LOG_RECORDS
            fleet.stop_vm(vm.vm_id)
        return durations

    return _run_with_fleet(experiment, seed)


def seconds_after_outage(
    vm_count: int, outage_seconds: float, seed: int, trials: int = _TRIALS
) -> list[float]:
    """Returns the times from the end of a log outage until all VMs applied a record, in seconds.

    The record is published during the outage and waits for its end.
    """

    async def experiment(service: InMemoryLogService, fleet: ConfigurationFleet) -> list[float]:
        vms = _start_vms(fleet, vm_count)
        await _publish(vms[0], service_record("a", 0, 1))
        await fleet.wait_for_version(1)
        durations = []
        for version in range(1, trials + 1):
            service.faults.begin_outage()
            async with trio.open_nursery() as nursery:
                record = service_record("a", version, 1 + version % 50)
                nursery.start_soon(_publish, vms[version % vm_count], record)
                await trio.sleep(outage_seconds + 0.13 * version)
                service.faults.end_outage()
                ended_at = trio.current_time()
                await fleet.wait_for_version(version + 1)
                durations.append(trio.current_time() - ended_at)
        return durations

    return _run_with_fleet(experiment, seed)


def replay_seconds() -> float:
    """Returns the processor time to decode and apply 10,000 records, in seconds."""
    encoded = [encode_record(record) for record in _accepted_records()]
    state = ConfigurationState()
    started_at = time.process_time()
    for offset, payload in enumerate(encoded):
        record = decode_payload(payload).unwrap()
        assert isinstance(record, ConfigurationRecord)
        apply_record(state, record, f"{offset:032x}", offset)
    elapsed = time.process_time() - started_at
    assert state.version == _LOG_RECORDS
    return elapsed


def append_figures(
    records_per_second: int,
    batch_records: int,
    seed: int,
    measured_seconds: float = _MEASURED_SECONDS,
) -> tuple[float, ...]:
    """Returns appends per second, p50 and p99 latency in seconds, and the share of failures."""
    waits: list[float] = []
    failures = 0
    appends = 0.0

    async def main() -> None:
        nonlocal appends
        service = InMemoryLogService(trio.current_time, _LIMITS)
        settings = WriterSettings(appends_per_second=40.0, batch_records=batch_records)
        random = Random(seed)
        writer = LogWriter(service, "vm", settings, trio.current_time, random)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            async with trio.open_nursery() as callers:
                while trio.current_time() < measured_seconds:
                    await trio.sleep(random.expovariate(records_per_second))
                    callers.start_soon(append_one, writer)
            appends = service.append_count / trio.current_time()
            nursery.cancel_scope.cancel()

    async def append_one(writer: LogWriter) -> None:
        nonlocal failures
        started_at = trio.current_time()
        appended = await writer.append("claims", b"x" * 200, started_at + 5.0)
        waits.append(trio.current_time() - started_at)
        failures += appended.value_or(-1) == -1

    run_in_virtual_time(main)
    ordered = sorted(waits)
    return (
        appends,
        _percentile(ordered, 0.5),
        _percentile(ordered, 0.99),
        failures / len(ordered),
    )


def _run_with_fleet(experiment: _Experiment, seed: int) -> list[float]:
    durations: list[float] = []

    async def main() -> None:
        service = InMemoryLogService(trio.current_time, _LIMITS)
        async with trio.open_nursery() as nursery:
            fleet = ConfigurationFleet(
                service, nursery, Random(seed), _NO_CHECKPOINTS, WriterSettings()
            )
            nursery.start_soon(fleet.exchange_states)
            durations.extend(await experiment(service, fleet))
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)
    return durations


def _start_vms(fleet: ConfigurationFleet, count: int) -> list[FleetVm]:
    return [fleet.start_vm(VmId(f"vm-{number}")) for number in range(count)]


async def _publish(vm: FleetVm, record: ConfigurationRecord) -> Any:
    published = await vm.keeper.publish(record, 300.0)
    return published.unwrap()


async def _append_records(service: InMemoryLogService, checkpoint: bool) -> None:
    """Appends 10,000 accepted records; ``checkpoint`` replaces them by a checkpoint of them."""
    records = _accepted_records()
    payloads = [_with_envelope(encode_record(record)) for record in records]
    await service.append(_STREAM, payloads)
    if checkpoint:
        state = ConfigurationState()
        for offset, record in enumerate(records):
            apply_record(state, record, f"{offset:032x}", offset)
        await service.append(_STREAM, [_with_envelope(encode_checkpoint(state))])
        service.truncate(_STREAM, _LOG_RECORDS)


def _accepted_records() -> list[ConfigurationRecord]:
    """Returns 10,000 records, each of which replaces the current version of its entry."""
    versions = dict.fromkeys(range(_LOG_ENTRIES), 0)
    records = []
    for version in range(1, _LOG_RECORDS + 1):
        number = version % _LOG_ENTRIES
        records.append(service_record(f"s-{number}", versions[number], 1 + version % 50))
        versions[number] = version
    return records


def _with_envelope(payload: bytes) -> bytes:
    return encode_envelope(RecordEnvelope(new_record_id(), "measure", payload))


def _percentile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _print_summary(name: str, durations: list[float]) -> None:
    ordered = sorted(durations)
    print(
        f"{name}: p50 {_percentile(ordered, 0.5):.3f} s, p99 {_percentile(ordered, 0.99):.3f} s,"
        f" max {ordered[-1]:.3f} s ({len(ordered)} trials)"
    )


def main(seed: int = 1) -> None:
    """Prints all figures of the configuration and the log client.

    Parameters
    ----------
    seed
        Seed of all random delays; the same seed gives the same figures.

    """
    for vm_count in (3, 7, 20, 50):
        _print_summary(
            f"time until {vm_count} VMs applied a record", propagation_seconds(vm_count, seed)
        )
    _print_summary("time until a new VM is ready, 10,000 records", start_seconds(False, seed))
    _print_summary(
        "time until a new VM is ready, checkpoint of 10,000 records", start_seconds(True, seed)
    )
    print(f"processor time to replay 10,000 records: {replay_seconds():.2f} s")
    for vm_count in (7, 50):
        name = f"time until {vm_count} VMs applied a record after an outage of at least 30 s"
        _print_summary(name, seconds_after_outage(vm_count, 30.0, seed))
    for records_per_second in (10, 30, 100, 1_000):
        for batch_records in (1, 500):
            figures = append_figures(records_per_second, batch_records, seed)
            print(
                f"{records_per_second} records/s, up to {batch_records} per append:"
                f" {figures[0]:.1f} appends/s, p50 {figures[1]:.3f} s, p99 {figures[2]:.3f} s,"
                f" not appended {100 * figures[3]:.1f}%"
            )


if __name__ == "__main__":
    cyclopts.run(main)
