"""One run of a load against a policy, under virtual time."""

from collections.abc import Iterable
from dataclasses import dataclass

import trio

from camphordrift.experiments._attempts import RequestRun, first_ask
from camphordrift.experiments._control_cost import ControlCost
from camphordrift.experiments._deployments import Deployment
from camphordrift.experiments._fleet import Fleet, Policy, open_fleet
from camphordrift.experiments._home_views import vm_id
from camphordrift.experiments._records import Record
from camphordrift.experiments._workload import Arrival
from camphordrift.standins import InMemoryEngines, open_in_memory_engines
from camphordrift.testing import run_in_virtual_time


@dataclass(frozen=True)
class RunResult:
    """What came of a run."""

    #: One record for each arrival.
    records: tuple[Record, ...]

    #: What the control messages cost.
    cost: ControlCost

    #: Length of the run, in seconds.
    seconds: float


def run_load(
    deployment: Deployment, policy: Policy, load: Iterable[Arrival], seed: int
) -> RunResult:
    """Runs all arrivals to their end and returns what came of them."""
    arrivals = list(load)

    async def main() -> RunResult:
        models = deployment.engine_models()
        async with open_in_memory_engines(models, deployment.hop_seconds, seed) as engines:
            return await _run(deployment, policy, arrivals, engines, seed)

    return run_in_virtual_time(main)


async def _run(
    deployment: Deployment,
    policy: Policy,
    load: list[Arrival],
    engines: InMemoryEngines,
    seed: int,
) -> RunResult:
    records = [Record(arrival) for arrival in load]
    async with trio.open_nursery() as background:
        fleet = open_fleet(policy, deployment, engines, background, seed)
        async with trio.open_nursery() as callers:
            for record in records:
                await trio.sleep_until(record.arrival.at)
                callers.start_soon(_request_run(record, deployment, fleet, engines).run)
        await trio.sleep(1.0)
        check_end(records, fleet, engines)
        background.cancel_scope.cancel()
    return RunResult(tuple(records), fleet.cost, trio.current_time())


def _request_run(
    record: Record, deployment: Deployment, fleet: Fleet, engines: InMemoryEngines
) -> RequestRun:
    index = record.arrival.vm_index
    ask = first_ask(record.arrival, deployment.model, vm_id(index))
    return RequestRun(record, ask, fleet.sources[index], engines, fleet.retries)


def check_end(records: list[Record], fleet: Fleet, engines: InMemoryEngines) -> None:
    """Asserts what must hold once all callers have their end."""
    for record in records:
        arrival = record.arrival
        assert record.ended_at is not None, f"{arrival.request_id} never ended"
        late = record.ended_at - arrival.at - arrival.band.timeout_seconds
        assert late < 0.1, f"{arrival.request_id} ended {late} s late"
        was_run = arrival.request_id in engines.seen_requests
        assert not (record.refused and was_run), f"{arrival.request_id} was refused and run"
    for engine_id in engines.engine_ids:
        load = engines.state(engine_id).load_now()
        assert load.used_memory_tokens == 0, f"{engine_id} kept {load.used_memory_tokens} tokens"
    for source in fleet.schedulers:
        assert source.waiting_count == 0, "an ask still waits"
