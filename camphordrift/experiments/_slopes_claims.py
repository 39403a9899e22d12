"""Measures what claims cost: the ledger by its keys, and the log by the calls a second."""

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
    SeriesKind,
    held_bytes,
    run_cpu_seconds,
)
from camphordrift.identifiers import AccountId, Incarnation, VmId
from camphordrift.platform_log import LogRecord, LogTransport, ReadBatch
from camphordrift.testing import run_in_virtual_time

#: VMs that claim while the calls a second vary.
VM_COUNT = 7

#: Length of a run, in virtual seconds.
RUN_SECONDS = 20.0

#: Body of a call's answer, in bytes.
ANSWER_BYTES = 200

#: Fresh keys folded in one timed run; each run needs others.
_FOLDED_CALLS = 1_000
_FOLD_RUNS = 5

_KEY_MAX_AGE_SECONDS = 12 * 3600.0

_STATE = SeriesKind(
    "claims_state_by_keys",
    "ledger of one claims stream: each key has a claim and an outcome with an answer of 200 bytes",
    "keys remembered",
    "bytes",
)
_FOLD_CPU = SeriesKind(
    "claims_cpu_by_keys",
    "fold one claim and its outcome into a ledger that remembers so many keys",
    "keys remembered",
    "us CPU per call",
)
_RECORD_BYTES = SeriesKind(
    "claims_record_bytes_by_answer",
    "records of one call in the log, without the log client's envelope: claim and outcome",
    "bytes of the answer",
    "bytes",
)
_APPENDS = SeriesKind(
    "log_appends_by_calls",
    "appends to the log; 7 VMs, each call claimed, run and recorded, batched as in the product",
    "calls a second",
    "appends/s",
)
_BATCHES = SeriesKind(
    "records_per_append_by_calls",
    "records in one append of a single VM, whose appends a second are bounded; two records a call",
    "calls a second",
    "records",
)
_READ_BYTES = SeriesKind(
    "log_read_bytes_by_calls",
    "payloads read from the log by each VM, which reads all claims streams; 7 VMs",
    "calls a second",
    "bytes/s per VM",
)
_READS = SeriesKind(
    "log_reads_by_vms",
    "reads of the claims streams by all VMs while no call is made",
    "VMs",
    "reads/s",
)


def measure_ledger(key_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures a ledger's state, and the fold of one call, by the keys remembered."""
    return (
        _STATE.measured(key_counts, lambda count: float(held_bytes(lambda: _ledger(count))[1])),
        _FOLD_CPU.measured(key_counts, _fold_cost),
    )


def measure_claim_records(answer_sizes: Sequence[int]) -> tuple[Series, ...]:
    """Measures the bytes of a call's records by the size of its answer."""

    def size(answer_bytes: int) -> float:
        return float(sum(len(payload) for payload in _payloads(1, answer_bytes)))

    return (_RECORD_BYTES.measured(answer_sizes, size),)


def measure_log_use(call_rates: Sequence[int]) -> tuple[Series, ...]:
    """Measures appends and bytes read by the calls a second, over the log's stand-in."""
    uses = {rate: _run_log_use(VM_COUNT, rate) for rate in call_rates}
    return (
        _APPENDS.measured(call_rates, lambda rate: uses[rate].appends_per_second),
        _READ_BYTES.measured(call_rates, lambda rate: uses[rate].read_bytes_per_vm_second),
    )


def measure_batches(call_rates: Sequence[int]) -> tuple[Series, ...]:
    """Measures how many records a single busy VM puts into one append."""
    uses = {rate: _run_log_use(1, rate) for rate in call_rates}
    return (_BATCHES.measured(call_rates, lambda rate: 2 * rate / uses[rate].appends_per_second),)


def measure_log_reads(vm_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures reads of the claims streams by the VMs that follow them."""
    uses = {count: _run_log_use(count, 0) for count in vm_counts}
    return (_READS.measured(vm_counts, lambda count: uses[count].reads_per_second),)


@dataclass(frozen=True)
class LogUse:
    """What a run asked of the log."""

    #: Appends a second.
    appends_per_second: float

    #: Reads a second.
    reads_per_second: float

    #: Bytes of payload that each VM read a second.
    read_bytes_per_vm_second: float


class CountingTransport:
    """Counts what passes to and from a log service."""

    def __init__(self, service: LogTransport) -> None:
        self._service = service
        self.appends = 0
        self.reads = 0
        self.read_bytes = 0

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends and counts."""
        self.appends += 1
        return await self._service.append(stream, payloads)

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads and counts."""
        self.reads += 1
        batch = await self._service.read(stream, from_offset, max_records)
        self.read_bytes += sum(len(record.payload) for record in batch.records)
        return batch


def _run_log_use(vm_count: int, call_rate: int) -> LogUse:
    return run_in_virtual_time(lambda: _log_use(vm_count, call_rate))


async def _log_use(vm_count: int, call_rate: int) -> LogUse:
    async with open_call_fleet(0) as fleet:
        counting = CountingTransport(fleet.transport)
        fleet.transport = counting
        for _ in range(vm_count):
            fleet.start_vm()
        await trio.sleep(1.0)
        counting.appends = counting.reads = counting.read_bytes = 0
        await _make_calls(fleet, call_rate)
        return LogUse(
            counting.appends / RUN_SECONDS,
            counting.reads / RUN_SECONDS,
            counting.read_bytes / RUN_SECONDS / vm_count,
        )


async def _make_calls(fleet: CallFleet, call_rate: int) -> None:
    """Makes calls evenly for the length of a run; each is its own booking."""
    service = CountingService(response_body=b"x" * ANSWER_BYTES)
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
        _fold(ledger, number)
    return ledger


def _fold_cost(key_count: int) -> float:
    ledger = _ledger(key_count)
    # Encoded beforehand: the VM that folds a record is seldom the one that made it.
    first_numbers = range(key_count, key_count + _FOLD_RUNS * _FOLDED_CALLS, _FOLDED_CALLS)
    blocks = [
        [_payloads(first + number, ANSWER_BYTES) for number in range(_FOLDED_CALLS)]
        for first in first_numbers
    ]
    seconds = [run_cpu_seconds(partial(_fold_all, ledger, block)) for block in blocks]
    return statistics.median(seconds) / _FOLDED_CALLS * 1e6


def _fold_all(ledger: ClaimLedger, calls: Sequence[tuple[bytes, bytes]]) -> None:
    for payloads in calls:
        _fold_payloads(ledger, payloads)


def _fold(ledger: ClaimLedger, number: int) -> None:
    _fold_payloads(ledger, _payloads(number, ANSWER_BYTES))


def _fold_payloads(ledger: ClaimLedger, payloads: Sequence[bytes]) -> None:
    for payload in payloads:
        ledger.apply(LogRecord(ledger.next_offset, payload, WALL_START))


def _payloads(number: int, answer_bytes: int) -> tuple[bytes, bytes]:
    """Returns the records of one call, encoded."""
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
        body=b"x" * answer_bytes,
        answer_digest=bytes(32),
        body_size=answer_bytes,
    )
    return encode_call_record(claim), encode_call_record(outcome)
