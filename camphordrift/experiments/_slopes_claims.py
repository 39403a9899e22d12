"""Measures the cost of claims: the ledger by remembered keys, the log by calls per second."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

import trio

from camphordrift.calls import (
    CallKey,
    Claimant,
    ClaimLedger,
    ClaimRecord,
    OutcomeKind,
    OutcomeRecord,
    ServiceCall,
    encode_call_record,
)
from camphordrift.calls._records import new_record_id
from camphordrift.experiments._call_fleet import CallFleet, open_call_fleet
from camphordrift.experiments._call_service import (
    WALL_START,
    CountingService,
    booking,
    timed_uuid,
)
from camphordrift.experiments._slope_series import (
    Series,
    SeriesDefinition,
    allocated_bytes,
    single_run_cpu_seconds,
)
from camphordrift.identifiers import AccountId, Incarnation, VmId
from camphordrift.platform_log import LogRecord, LogTransport, ReadBatch
from camphordrift.testing import run_in_virtual_time

#: Number of VMs while the calls per second vary.
VM_COUNT = 7

#: Length of one run, in virtual seconds.
RUN_SECONDS = 20.0

#: Size of the response body of a call, in bytes.
RESPONSE_BYTES = 200

#: Calls applied in one timed run; each run needs new keys.
_APPLIED_CALLS = 1_000
_APPLY_RUNS = 5

_KEY_MAX_AGE_SECONDS = 12 * 3600.0

_STATE = SeriesDefinition(
    "claims_state_by_keys",
    "ledger of one claims stream: each key has a claim and an outcome with an answer of 200 bytes",
    "keys remembered",
    "bytes",
)
_APPLY_CPU = SeriesDefinition(
    "claims_cpu_by_keys",
    "fold one claim and its outcome into a ledger that remembers so many keys",
    "keys remembered",
    "us CPU per call",
)
_RECORD_BYTES = SeriesDefinition(
    "claims_record_bytes_by_answer",
    "records of one call in the log, without the log client's envelope: claim and outcome",
    "bytes of the answer",
    "bytes",
)
_APPENDS = SeriesDefinition(
    "log_appends_by_calls",
    "appends to the log; 7 VMs, each call claimed, run and recorded, batched as in the product",
    "calls a second",
    "appends/s",
)
_BATCHES = SeriesDefinition(
    "records_per_append_by_calls",
    "records in one append of a single VM, whose appends a second are bounded; two records a call",
    "calls a second",
    "records",
)
_READ_BYTES = SeriesDefinition(
    "log_read_bytes_by_calls",
    "payloads read from the log by each VM, which reads all claims streams; 7 VMs",
    "calls a second",
    "bytes/s per VM",
)
_READS = SeriesDefinition(
    "log_reads_by_vms",
    "reads of the claims streams by all VMs while no call is made",
    "VMs",
    "reads/s",
)


def measure_ledger(key_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures ledger memory and the CPU time to apply one call, by remembered keys."""
    return (
        _STATE.measure(key_counts, lambda count: float(allocated_bytes(lambda: _ledger(count))[1])),
        _APPLY_CPU.measure(key_counts, _apply_cost),
    )


def measure_claim_records(response_sizes: Sequence[int]) -> tuple[Series, ...]:
    """Measures the encoded size of a call's log records by the size of its response."""

    def size(response_bytes: int) -> float:
        return float(sum(len(payload) for payload in _encoded_call(1, response_bytes)))

    return (_RECORD_BYTES.measure(response_sizes, size),)


def measure_log_usage(call_rates: Sequence[int]) -> tuple[Series, ...]:
    """Measures log appends and bytes read by calls per second, with the log stand-in."""
    usages = {rate: _run_log_usage(VM_COUNT, rate) for rate in call_rates}
    return (
        _APPENDS.measure(call_rates, lambda rate: usages[rate].appends_per_second),
        _READ_BYTES.measure(call_rates, lambda rate: usages[rate].read_bytes_per_vm_second),
    )


def measure_batches(call_rates: Sequence[int]) -> tuple[Series, ...]:
    """Measures the records per append of a single VM by calls per second."""
    usages = {rate: _run_log_usage(1, rate) for rate in call_rates}
    return (_BATCHES.measure(call_rates, lambda rate: 2 * rate / usages[rate].appends_per_second),)


def measure_log_reads(vm_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures reads of the claims streams by the number of VMs, without any calls."""
    usages = {count: _run_log_usage(count, 0) for count in vm_counts}
    return (_READS.measure(vm_counts, lambda count: usages[count].reads_per_second),)


@dataclass(frozen=True)
class LogUsage:
    """Log traffic of one run, per second of virtual time."""

    #: Appends per second of all VMs.
    appends_per_second: float

    #: Reads per second of all VMs.
    reads_per_second: float

    #: Payload bytes that each VM reads per second.
    read_bytes_per_vm_second: float


class CountingTransport:
    """Wraps a log transport and counts appends, reads and payload bytes read."""

    def __init__(self, service: LogTransport) -> None:
        self._service = service
        self.appends = 0
        self.reads = 0
        self.read_bytes = 0

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Counts the append and passes it on."""
        self.appends += 1
        return await self._service.append(stream, payloads)

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Passes the read on and counts it with its payload bytes."""
        self.reads += 1
        batch = await self._service.read(stream, from_offset, max_records)
        self.read_bytes += sum(len(record.payload) for record in batch.records)
        return batch


def _run_log_usage(vm_count: int, call_rate: int) -> LogUsage:
    return run_in_virtual_time(lambda: _log_usage(vm_count, call_rate))


async def _log_usage(vm_count: int, call_rate: int) -> LogUsage:
    async with open_call_fleet(0) as fleet:
        transport = CountingTransport(fleet.transport)
        fleet.transport = transport
        for _ in range(vm_count):
            fleet.start_vm()
        await trio.sleep(1.0)
        transport.appends = transport.reads = transport.read_bytes = 0
        await _make_calls(fleet, call_rate)
        return LogUsage(
            transport.appends / RUN_SECONDS,
            transport.reads / RUN_SECONDS,
            transport.read_bytes / RUN_SECONDS / vm_count,
        )


async def _make_calls(fleet: CallFleet, call_rate: int) -> None:
    """Makes calls at a constant rate for the length of a run, each with its own key."""
    service = CountingService(response_body=b"x" * RESPONSE_BYTES)
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(call_rate * RUN_SECONDS)):
            await trio.sleep_until(start + number / call_rate)
            call = booking(trio.current_time(), tail=number + 1)
            nursery.start_soon(_make_call, fleet, number, call, service)
        await trio.sleep_until(start + RUN_SECONDS)


async def _make_call(
    fleet: CallFleet, number: int, call: ServiceCall, service: CountingService
) -> None:
    coordinator = fleet.coordinators[number % len(fleet.coordinators)]
    reply = await coordinator.execute(call, service.dispatch)
    reply.unwrap()


def _ledger(key_count: int) -> ClaimLedger:
    ledger = ClaimLedger(_KEY_MAX_AGE_SECONDS)
    for number in range(key_count):
        _apply_call(ledger, number)
    return ledger


def _apply_cost(key_count: int) -> float:
    ledger = _ledger(key_count)
    # Encoded before the timed run, because most records are encoded by other VMs.
    batch_starts = range(key_count, key_count + _APPLY_RUNS * _APPLIED_CALLS, _APPLIED_CALLS)
    batches = [
        [_encoded_call(first + number, RESPONSE_BYTES) for number in range(_APPLIED_CALLS)]
        for first in batch_starts
    ]
    seconds = [single_run_cpu_seconds(partial(_apply_calls, ledger, batch)) for batch in batches]
    return statistics.median(seconds) / _APPLIED_CALLS * 1e6


def _apply_calls(ledger: ClaimLedger, calls: Sequence[tuple[bytes, bytes]]) -> None:
    for payloads in calls:
        _apply_payloads(ledger, payloads)


def _apply_call(ledger: ClaimLedger, number: int) -> None:
    _apply_payloads(ledger, _encoded_call(number, RESPONSE_BYTES))


def _apply_payloads(ledger: ClaimLedger, payloads: Sequence[bytes]) -> None:
    for payload in payloads:
        ledger.apply(LogRecord(ledger.next_offset, payload, WALL_START))


def _encoded_call(number: int, response_bytes: int) -> tuple[bytes, bytes]:
    """Returns the encoded claim and outcome records of one call."""
    key = CallKey(AccountId(f"account-{number % 970}"), timed_uuid(WALL_START, number + 1))
    attempt_id = new_record_id()
    claim = ClaimRecord(
        record_id=new_record_id(),
        attempt_id=attempt_id,
        key=key,
        body_digest=bytes(32),
        claimant=Claimant(VmId("vm-0001"), Incarnation(1)),
        dispatch_within_seconds=5.0,
        run_timeout_seconds=30.0,
    )
    outcome = OutcomeRecord(
        record_id=new_record_id(),
        attempt_id=attempt_id,
        key=key,
        kind=OutcomeKind.COMPLETED,
        status=201,
        content_type="application/json",
        body=b"x" * response_bytes,
        answer_digest=bytes(32),
        body_size=response_bytes,
    )
    return encode_call_record(claim), encode_call_record(outcome)
