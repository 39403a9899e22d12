"""Compares orderings of claim, check and dispatch under the same concurrent calls.

*Claim first* is the ordering of the product. *Check then write* reads the log, runs the call and
then records it. *Compensate* does the same and undoes the run if another run was recorded first.
"""

import random
import statistics
import sys
from dataclasses import dataclass
from enum import Enum
from functools import partial

import trio
from returns import result

from camphordrift.calls import (
    AttemptStage,
    KeyFree,
    RepeatableSendGate,
    ServiceCall,
    digest_of_call,
    new_claim_attempt,
    parse_call_key,
)
from camphordrift.clocks import ClockReading
from camphordrift.experiments._call_fleet import CallFleet, CallVm, open_call_fleet, unbatched
from camphordrift.experiments._call_service import CountingService, booking, wall_clock
from camphordrift.platform_log import WriterSettings
from camphordrift.standins import LogLimits
from camphordrift.testing import run_in_virtual_time


class Ordering(Enum):
    """Order in which a VM checks, records and runs a call."""

    #: Appends a claim, then runs the call if the claim is the first one for its key.
    CLAIM_FIRST = "claim first"

    #: Reads, runs the call, then appends the record.
    CHECK_THEN_WRITE = "check then write"

    #: Reads, runs the call, appends the record, and undoes the run if another record came first.
    COMPENSATE = "compensate"


@dataclass(frozen=True)
class OrderingLoad:
    """Load and log parameters of one comparison."""

    #: Number of distinct calls.
    call_count: int = 400

    #: Arrival rate of distinct calls, per second.
    calls_per_second: float = 40.0

    #: Share of calls that reach two VMs at nearly the same time.
    racing_share: float = 0.2

    #: Share of calls that the caller retries at another VM 1 to 5 seconds later.
    repeated_share: float = 0.1

    #: Number of VMs.
    vm_count: int = 7

    #: Append rate limit of the log service, per second, divided evenly among the VMs.
    appends_per_second: float = 300.0

    #: Latency of a request to the log, and the median of the delay added to an append, in seconds.
    log_latency_seconds: float = 0.004
    added_append_median_seconds: float = 0.006

    #: Spread of the added delay (sigma of the logarithm).
    added_append_sigma: float = 0.7

    #: Whether waiting records are appended in one batch.
    batched: bool = True


@dataclass(frozen=True)
class OrderingFigures:
    """Measured results of one ordering."""

    #: The ordering.
    ordering: Ordering

    #: Distinct calls that ran.
    calls_run: int

    #: Distinct calls that ran more than once.
    calls_run_twice: int

    #: Distinct calls that had two runs, neither undone, at the same time.
    calls_twice_in_force: int

    #: Distinct calls of which no copy ran.
    calls_not_run: int

    #: Appends that the log service accepted, per distinct call.
    appends_per_call: float

    #: Records in the log, per distinct call.
    records_per_call: float

    #: Latency in addition to the service's own, median and 99th percentile, in seconds.
    added_p50_seconds: float
    added_p99_seconds: float


def compare_orderings(seed: int, load: OrderingLoad) -> tuple[OrderingFigures, ...]:
    """Runs every ordering in virtual time under the same calls and returns the figures."""
    return tuple(_run_ordering(ordering, seed, load) for ordering in Ordering)


def _run_ordering(ordering: Ordering, seed: int, load: OrderingLoad) -> OrderingFigures:
    return run_in_virtual_time(partial(_measure, ordering, seed, load))


@dataclass(frozen=True)
class _Arrival:
    #: Arrival time of this copy, in seconds from the start.
    at: float

    #: Index of the VM that receives it.
    vm_number: int

    #: The call; copies of one call have the same key.
    call: ServiceCall


def _arrivals(seed: int, load: OrderingLoad) -> list[_Arrival]:
    generator = random.Random(seed)
    arrivals = []
    at = 0.0
    for number in range(load.call_count):
        at += generator.expovariate(load.calls_per_second)
        call = booking(made_at=at, tail=number, body=b"stall %d" % number)
        first_vm, other_vm = generator.sample(range(load.vm_count), 2)
        arrivals.append(_Arrival(at, first_vm, call))
        if generator.random() < load.racing_share:
            arrivals.append(_Arrival(at + generator.uniform(0.0, 0.01), other_vm, call))
        if generator.random() < load.repeated_share:
            arrivals.append(_Arrival(at + generator.uniform(1.0, 5.0), other_vm, call))
    return sorted(arrivals, key=lambda arrival: arrival.at)


async def _measure(ordering: Ordering, seed: int, load: OrderingLoad) -> OrderingFigures:
    service = CountingService()
    added_seconds: list[float] = []
    share = load.appends_per_second / load.vm_count
    writer = WriterSettings(appends_per_second=share, burst_appends=max(1.0, share / 4))
    limits = LogLimits(
        appends_per_second=load.appends_per_second, latency_seconds=load.log_latency_seconds
    )
    latency = (load.added_append_median_seconds, load.added_append_sigma, random.Random(seed))
    async with open_call_fleet(
        load.vm_count,
        limits,
        writer_settings=writer if load.batched else unbatched(writer),
        latency=latency,
    ) as fleet:
        if ordering is not Ordering.CLAIM_FIRST:
            for vm in fleet.all_vms:
                fleet.nursery.start_soon(vm.claim_client.run)
            await trio.sleep(1.0)
        await _run_arrivals(ordering, fleet, service, _arrivals(seed, load), added_seconds)
        return _figures(ordering, fleet, service, load, added_seconds)


async def _run_arrivals(
    ordering: Ordering,
    fleet: CallFleet,
    service: CountingService,
    arrivals: list[_Arrival],
    added_seconds: list[float],
) -> None:
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for arrival in arrivals:
            await trio.sleep_until(start + arrival.at)
            vm = fleet.all_vms[arrival.vm_number]
            nursery.start_soon(
                partial(_execute_call, ordering, vm, arrival.call, service, added_seconds)
            )
    for vm in fleet.all_vms:
        await vm.coordinator.flush()


async def _execute_call(
    ordering: Ordering,
    vm: CallVm,
    call: ServiceCall,
    service: CountingService,
    added_seconds: list[float],
) -> None:
    started_at = trio.current_time()
    if ordering is Ordering.CLAIM_FIRST:
        response = await vm.coordinator.execute(call, service.dispatch)
        ran = isinstance(response, result.Success) and not response.unwrap().repeated
    else:
        ran = await _run_then_record(vm, call, service, ordering is Ordering.COMPENSATE)
    if ran:
        added_seconds.append(trio.current_time() - started_at - service.latency_seconds)


async def _run_then_record(
    vm: CallVm, call: ServiceCall, service: CountingService, compensates: bool
) -> bool:
    """Looks the key up, runs the call, then records it; returns whether it ran the call."""
    assert call.key is not None, "a call of the load has no key"
    key = parse_call_key(call.account_id, call.key).unwrap()
    digest = digest_of_call(call)
    if not isinstance(vm.claim_client.look_up(key, digest), KeyFree):
        return False
    await service.dispatch(call, RepeatableSendGate())
    now = ClockReading(monotonic=trio.current_time(), wall=wall_clock())
    attempt = new_claim_attempt(key, digest, vm.claimant, now, 5.0, 30.0)
    await vm.claim_client.append_and_wait(attempt, call.remaining_seconds)
    if compensates and attempt.stage is AttemptStage.LOST:
        service.record_undo(call.body)
    return True


def _figures(
    ordering: Ordering,
    fleet: CallFleet,
    service: CountingService,
    load: OrderingLoad,
    added_seconds: list[float],
) -> OrderingFigures:
    percentiles = statistics.quantiles(added_seconds, n=100)
    return OrderingFigures(
        ordering=ordering,
        calls_run=len(service.runs),
        calls_run_twice=sum(1 for runs in service.runs.values() if runs > 1),
        calls_twice_in_force=sum(1 for runs in service.peak_runs.values() if runs > 1),
        calls_not_run=load.call_count - len(service.runs),
        appends_per_call=fleet.service.append_count / load.call_count,
        records_per_call=fleet.service.record_count / load.call_count,
        added_p50_seconds=percentiles[49],
        added_p99_seconds=percentiles[98],
    )


def main() -> None:
    """Prints the table of docs/design/calls.md; the first argument is the seed, 1 by default."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("calls/s batched ordering run twice not-run appends/call records/call p50-ms p99-ms")
    for calls_per_second in (10, 40, 120, 240):
        for batched in (True, False):
            load = OrderingLoad(
                call_count=10 * calls_per_second,
                calls_per_second=calls_per_second,
                batched=batched,
            )
            for figures in compare_orderings(seed, load):
                print(calls_per_second, batched, _table_row(figures))


def _table_row(figures: OrderingFigures) -> str:
    return (
        f"{figures.ordering.value:16} {figures.calls_run} {figures.calls_run_twice}"
        f" {figures.calls_not_run} {figures.appends_per_call:.2f} {figures.records_per_call:.2f}"
        f" {figures.added_p50_seconds * 1000:.0f} {figures.added_p99_seconds * 1000:.0f}"
    )


if __name__ == "__main__":
    main()
