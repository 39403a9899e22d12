"""Simulates one load under one routing policy in virtual time and checks the final state."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import trio

from camphordrift.experiments._attempts import RequestRun, first_grant_request
from camphordrift.experiments._control_cost import ControlCost
from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._faults import Fault, FaultInjector
from camphordrift.experiments._fleet import Fleet, Policy, open_fleet
from camphordrift.experiments._home_views import vm_id
from camphordrift.experiments._records import Record
from camphordrift.experiments._workload import Arrival
from camphordrift.standins import InMemoryEngines, open_in_memory_engines
from camphordrift.testing import run_in_virtual_time

#: Time for holds of crashed VMs to expire after a run with faults, in seconds.
SETTLING_SECONDS = 20.0


@dataclass(frozen=True)
class RunResult:
    """Request records and control cost of one run."""

    #: One record per arrival, in order of arrival.
    records: tuple[Record, ...]

    #: Control messages of the run.
    cost: ControlCost

    #: Length of the run, in virtual seconds.
    seconds: float

    #: Grant requests that an entry VM scheduled locally, without the home VM.
    decided_alone: int = 0


def run_load(
    deployment: Deployment,
    policy: Policy,
    load: Iterable[Arrival],
    seed: int,
    faults: Sequence[Fault] = (),
) -> RunResult:
    """Runs all arrivals to their end, with the given faults injected.

    Raises ``AssertionError`` if an invariant is violated at the end of the run.
    """
    arrivals = list(load)

    async def main() -> RunResult:
        models = deployment.engine_models()
        async with open_in_memory_engines(models, deployment.hop_seconds, seed) as engines:
            return await _run(deployment, policy, arrivals, engines, seed, list(faults))

    return run_in_virtual_time(main)


async def _run(
    deployment: Deployment,
    policy: Policy,
    load: list[Arrival],
    engines: InMemoryEngines,
    seed: int,
    faults: list[Fault],
) -> RunResult:
    records = [Record(arrival) for arrival in load]
    async with trio.open_nursery() as background:
        fleet = open_fleet(policy, deployment, engines, background, seed)
        injector = FaultInjector(deployment, fleet, engines)
        async with trio.open_nursery() as callers:
            callers.start_soon(injector.run, faults)
            for record in records:
                await trio.sleep_until(record.arrival.at)
                callers.start_soon(_run_request, record, deployment, fleet, engines)
        await trio.sleep(SETTLING_SECONDS if faults else 1.0)
        check_final_state(records, fleet, engines)
        background.cancel_scope.cancel()
    local_count = sum(source.local_fallback_count for source in fleet.remote_sources)
    return RunResult(tuple(records), fleet.cost, trio.current_time(), local_count)


async def _run_request(
    record: Record, deployment: Deployment, fleet: Fleet, engines: InMemoryEngines
) -> None:
    """Runs a request on its VM, or on the next running one; a crash of that VM cancels it."""
    index = record.arrival.vm_index
    while index in fleet.dead_vms:
        index = (index + 1) % deployment.vm_count
    ask = first_grant_request(record.arrival, deployment.model, vm_id(index))
    run = RequestRun(record, ask, fleet.sources[index], engines, fleet.retries)
    crashed = fleet.crash_events[index]
    async with trio.open_nursery() as nursery:

        async def cancel_on_crash() -> None:
            await crashed.wait()
            record.lost_with_vm = True
            nursery.cancel_scope.cancel()

        nursery.start_soon(cancel_on_crash)
        await run.run()
        nursery.cancel_scope.cancel()


def check_final_state(records: list[Record], fleet: Fleet, engines: InMemoryEngines) -> None:
    """Checks the invariants that hold once all requests have ended.

    Every request ended at most 0.1 s after its deadline unless its VM crashed, no refused request
    was run, engines use no memory and have no holds, and no scheduler has queued requests.
    """
    for record in records:
        arrival = record.arrival
        if record.lost_with_vm:
            continue
        assert record.ended_at is not None, f"{arrival.request_id} never ended"
        lateness = record.ended_at - arrival.at - arrival.band.timeout_seconds
        assert lateness < 0.1, f"{arrival.request_id} ended {lateness} s after its deadline"
        was_run = arrival.request_id in engines.started_request_ids
        assert not (record.refused and was_run), f"{arrival.request_id} was refused but run"
    for engine_id in engines.engine_ids:
        load = engines.state(engine_id).load_now()
        assert (
            load.used_memory_tokens == 0
        ), f"{engine_id} still uses {load.used_memory_tokens} tokens"
        holds = engines.state(engine_id).holds()
        assert not holds, f"{engine_id} still has {holds}"
    for source in fleet.schedulers:
        assert source.waiting_count == 0, "a grant request is still queued"
