"""Soak test: randomized calls under faults, with invariants asserted during the run.

Run ``python -m camphordrift.experiments._calls_soak FIRST_SEED SEED_COUNT``.
"""

import random
import sys
from dataclasses import dataclass, replace
from functools import partial
from typing import Optional

import trio
from returns import result

from camphordrift.calls import (
    CallOutcome,
    CallSettings,
    DispatchReply,
    KeyFree,
    KeyRunning,
    SendGate,
    ServiceCall,
    digest_of_call,
    parse_call_key,
    partition_of_key,
)
from camphordrift.experiments._call_fleet import CallFleet, CallVm, open_call_fleet
from camphordrift.experiments._call_service import FaultyService, booking
from camphordrift.results import Failure, RunState
from camphordrift.standins import LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time

#: Short enough that log retention and the maximum key age expire during a run.
SOAK_SETTINGS = CallSettings(
    key_max_age_seconds=60.0, max_run_timeout_seconds=15.0, heartbeat_interval_seconds=10.0
)

#: Retention of the log in a run, in seconds.
SOAK_RETENTION_SECONDS = 90.0

#: A call may exceed its timeout by this time, in seconds, to read a recorded response.
DEADLINE_SLACK_SECONDS = 2.5


@dataclass(frozen=True)
class SoakPlan:
    """Duration and load of a run."""

    #: Virtual time during which calls arrive, in seconds.
    duration_seconds: float = 120.0

    #: Number of distinct calls.
    call_count: int = 60

    #: Number of VMs that run at the same time.
    vm_count: int = 3


@dataclass
class SoakReport:
    """Counts of one run; a report exists only if all invariants held."""

    #: Seed of the run.
    seed: int

    #: Distinct calls that ran.
    calls_run: int = 0

    #: Copies of calls that got a response or a failure.
    copies_ended: int = 0

    #: Copies that got the recorded response of an earlier copy.
    copies_repeated: int = 0

    #: Copies that were refused without being run.
    copies_not_run: int = 0

    #: Copies whose outcome was reported as unknown.
    copies_unknown: int = 0

    #: VMs that crashed or were drained.
    deaths: int = 0

    #: Injected faults of the log.
    log_faults: int = 0


class _CallsSoak:
    """State of one run."""

    def __init__(self, seed: int, plan: SoakPlan, fleet: CallFleet) -> None:
        self.report = SoakReport(seed)
        self._plan = plan
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._service = FaultyService(generator=random.Random(seed + 1))
        self._live_vms: list[CallVm] = list(fleet.all_vms)
        self._calls: list[ServiceCall] = []
        self._calls_ended = False

    async def run(self) -> None:
        """Sends calls under faults, waits 30 seconds without faults and checks the final state."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_log_faults)
            nursery.start_soon(self._replace_vms)
            async with trio.open_nursery() as callers:
                await self._send_calls(callers)
            self._calls_ended = True
            nursery.cancel_scope.cancel()
        self._fleet.faults.end_outage()
        self._fleet.faults.slow_down(0.0)
        await trio.sleep(30.0)
        self._check_final_state()

    async def _send_calls(self, callers: trio.Nursery) -> None:
        rate = self._plan.call_count / self._plan.duration_seconds
        for number in range(self._plan.call_count):
            await trio.sleep(self._generator.expovariate(rate))
            call = booking(made_at=trio.current_time(), tail=number, body=b"stall %d" % number)
            call = replace(call, remaining_seconds=self._generator.uniform(1.0, 15.0))
            self._calls.append(call)
            callers.start_soon(self._send_copies, call)

    async def _send_copies(self, call: ServiceCall) -> None:
        """Sends 1 to 5 copies of a call with various delays; 5% of them have another body."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._generator.choice((1, 1, 2, 3, 5))):
                copy = call
                if self._generator.random() < 0.05:
                    copy = replace(call, body=call.body + b" other")
                nursery.start_soon(self._send_copy, copy)
                await trio.sleep(self._generator.choice((0.0, 0.005, 0.5, 8.0, 70.0)))

    async def _send_copy(self, call: ServiceCall) -> None:
        vm = self._generator.choice(self._live_vms)
        caller = _Caller(self._service)
        started_at = trio.current_time()
        with trio.CancelScope() as caller_scope:
            if self._generator.random() < 0.1:
                caller_scope.deadline = started_at + self._generator.uniform(0.0, 3.0)
            response = await vm.coordinator.execute(call, caller.dispatch)
            elapsed = trio.current_time() - started_at
            limit = call.remaining_seconds + DEADLINE_SLACK_SECONDS
            assert elapsed <= limit, f"a call took {elapsed} s, the limit is {limit} s"
            self._check_response(call, response, caller)
        self._check_runs()

    def _check_response(
        self, call: ServiceCall, response: result.Result[CallOutcome, Failure], caller: "_Caller"
    ) -> None:
        self.report.copies_ended += 1
        match response:
            case result.Failure(failure):
                self._check_failure(failure, caller)
            case result.Success(outcome):
                assert outcome.repeated == (not caller.sent), "a response belongs to another run"
                self.report.copies_repeated += int(outcome.repeated)
                expected = call.body + b" run 1"
                assert outcome.body in (expected, None), f"{outcome.body!r} is not {expected!r}"

    def _check_failure(self, failure: Failure, caller: "_Caller") -> None:
        if failure.run_state is RunState.NOT_RUN:
            assert not caller.sent, f"{failure.code.name} says not run, but the call was sent"
            self.report.copies_not_run += 1
        else:
            self.report.copies_unknown += 1

    def _check_runs(self) -> None:
        for body, runs in self._service.runs.items():
            assert runs == 1, f"{body!r} ran {runs} times"
        for call in self._calls:
            run_count = self._service.runs[call.body] + self._service.runs[call.body + b" other"]
            assert run_count <= 1, f"two bodies ran under the key of {call.body!r}"
        for vm in self._live_vms:
            vm.coordinator.check_invariants()

    async def _inject_log_faults(self) -> None:
        faults = self._fleet.faults
        while not self._calls_ended:
            await trio.sleep(self._generator.expovariate(1 / 10.0))
            self.report.log_faults += 1
            match self._generator.randrange(4):
                case 0:
                    faults.begin_outage(unresponsive=self._generator.random() < 0.3)
                    await trio.sleep(self._generator.choice((0.5, 3.0, 20.0)))
                    faults.end_outage()
                case 1:
                    faults.slow_down(self._generator.choice((0.3, 2.0, 6.0)))
                    await trio.sleep(self._generator.uniform(1.0, 10.0))
                    faults.slow_down(0.0)
                case _:
                    faults.lose_next_responses(self._generator.randint(1, 6), self._random_loss())

    def _random_loss(self) -> ResponseLoss:
        delay = self._generator.choice((0.0, 0.0, 1.0, 4.0, 30.0, 80.0))
        return ResponseLoss(takes_effect=self._generator.random() < 0.7, effect_delay_seconds=delay)

    async def _replace_vms(self) -> None:
        """Replaces random VMs, some of them drained first, by VMs with empty state."""
        while not self._calls_ended:
            await trio.sleep(self._generator.expovariate(1 / 15.0))
            vm = self._live_vms.pop(self._generator.randrange(len(self._live_vms)))
            self._live_vms.append(self._fleet.start_vm())
            if self._generator.random() < 0.3:
                with trio.move_on_after(20.0):
                    await vm.coordinator.flush()
            vm.cancel_scope.cancel()
            self.report.deaths += 1

    def _check_final_state(self) -> None:
        self._check_runs()
        self.report.calls_run = len(self._service.runs)
        for vm in self._live_vms:
            assert vm.coordinator.pending_records == 0, "an outcome was not appended"
        for call in self._calls:
            self._check_key_not_free(call)

    def _check_key_not_free(self, call: ServiceCall) -> None:
        """Asserts that no VM accepts another claim for a call that ran."""
        if not self._service.runs[call.body]:
            return
        assert call.key is not None, "a call of the run has no key"
        key = parse_call_key(call.account_id, call.key).unwrap()
        for vm in self._live_vms:
            state = vm.coordinator.look_up(key, digest_of_call(call))
            assert not isinstance(state, KeyFree), f"{call.body!r} ran and its key is free"
            assert not isinstance(state, KeyRunning), f"{call.body!r} never stops running"
        assert partition_of_key(key) >= 0, "a key has no partition"


class _Caller:
    """Caller that records whether its copy of a call was sent."""

    def __init__(self, service: FaultyService) -> None:
        self._service = service
        self.sent = False

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Dispatches the call with a gate that records permitted dispatches."""
        return await self._service.dispatch(call, _RecordingGate(gate, self))


class _RecordingGate:
    def __init__(self, gate: SendGate, caller: _Caller) -> None:
        self._gate = gate
        self._caller = caller

    def authorize(self) -> result.Result[None, Failure]:
        """Asks the wrapped gate and records whether it permits the dispatch."""
        permission = self._gate.authorize()
        self._caller.sent = self._caller.sent or isinstance(permission, result.Success)
        return permission


def run_calls_soak(seed: int, plan: Optional[SoakPlan] = None) -> SoakReport:
    """Runs one seed in virtual time; raises ``AssertionError`` if an invariant does not hold."""
    return run_in_virtual_time(partial(_run_soak, seed, plan or SoakPlan()))


async def _run_soak(seed: int, plan: SoakPlan) -> SoakReport:
    limits = LogLimits(retention_seconds=SOAK_RETENTION_SECONDS)
    async with open_call_fleet(plan.vm_count, limits, SOAK_SETTINGS) as fleet:
        soak = _CallsSoak(seed, plan, fleet)
        await soak.run()
        return soak.report
    raise AssertionError("open_call_fleet suppressed an exception")


def main() -> None:
    """Runs the seeds given on the command line and prints one report per line."""
    first_seed, seed_count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first_seed, first_seed + seed_count):
        print(run_calls_soak(seed))


if __name__ == "__main__":
    main()
