"""Long randomised runs of calls under faults, with invariants asserted inside.

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
    claim_partition,
    digest_of_call,
    parse_call_key,
)
from camphordrift.experiments._call_fleet import CallFleet, CallVm, open_call_fleet
from camphordrift.experiments._call_service import FaultyService, booking
from camphordrift.results import Failure, RunState
from camphordrift.standins import LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time

#: Times short enough that retention and the keys' age pass during a run, in seconds.
SOAK_SETTINGS = CallSettings(
    key_max_age_seconds=60.0, max_run_timeout_seconds=15.0, heartbeat_interval_seconds=10.0
)

#: The log keeps records for this long in a run, in seconds.
SOAK_RETENTION_SECONDS = 90.0

#: A call may end this much after its time, in seconds, for the read of a recorded answer.
SOAK_SLACK_SECONDS = 2.5


@dataclass(frozen=True)
class SoakPlan:
    """How long and how hard a run is."""

    #: Virtual time in which calls are made, in seconds.
    duration_seconds: float = 120.0

    #: Distinct calls.
    call_count: int = 60

    #: VMs that run at once.
    vm_count: int = 3


@dataclass
class SoakReport:
    """What happened in one run; the invariants held if there is a report at all."""

    #: The seed.
    seed: int

    #: Distinct calls that ran.
    calls_run: int = 0

    #: Copies of calls that VMs handled to an end.
    copies_ended: int = 0

    #: Copies that got the answer of an earlier one.
    copies_repeated: int = 0

    #: Copies that were refused as not run.
    copies_not_run: int = 0

    #: Copies whose outcome the system could not say.
    copies_unknown: int = 0

    #: VMs that died.
    deaths: int = 0

    #: Faults of the log that began.
    log_faults: int = 0


class _Soak:
    """One run."""

    def __init__(self, seed: int, plan: SoakPlan, fleet: CallFleet) -> None:
        self.report = SoakReport(seed)
        self._plan = plan
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._service = FaultyService(generator=random.Random(seed + 1))
        self._live: list[CallVm] = list(fleet.started)
        self._calls: list[ServiceCall] = []
        self._ended = False

    async def run(self) -> None:
        """Plays calls and faults, then lets everything settle and checks the end."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._break_log)
            nursery.start_soon(self._replace_vms)
            async with trio.open_nursery() as callers:
                await self._make_calls(callers)
            self._ended = True
            nursery.cancel_scope.cancel()
        self._fleet.faults.end_outage()
        self._fleet.faults.slow_down(0.0)
        await trio.sleep(30.0)
        self._check_end()

    async def _make_calls(self, callers: trio.Nursery) -> None:
        rate = self._plan.call_count / self._plan.duration_seconds
        for number in range(self._plan.call_count):
            await trio.sleep(self._generator.expovariate(rate))
            call = booking(made_at=trio.current_time(), tail=number, body=b"stall %d" % number)
            call = replace(call, remaining_seconds=self._generator.uniform(1.0, 15.0))
            self._calls.append(call)
            callers.start_soon(self._make_copies, call)

    async def _make_copies(self, call: ServiceCall) -> None:
        """Sends a call once or more often, at once or late, now and then with another body."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._generator.choice((1, 1, 2, 3, 5))):
                copy = call
                if self._generator.random() < 0.05:
                    copy = replace(call, body=call.body + b" other")
                nursery.start_soon(self._make_copy, copy)
                await trio.sleep(self._generator.choice((0.0, 0.005, 0.5, 8.0, 70.0)))

    async def _make_copy(self, call: ServiceCall) -> None:
        vm = self._generator.choice(self._live)
        caller = _Caller(self._service)
        began = trio.current_time()
        with trio.CancelScope() as patience:
            if self._generator.random() < 0.1:
                patience.deadline = began + self._generator.uniform(0.0, 3.0)
            answer = await vm.coordinator.execute(call, caller.dispatch)
            elapsed = trio.current_time() - began
            limit = call.remaining_seconds + SOAK_SLACK_SECONDS
            assert elapsed <= limit, f"a call took {elapsed} s of {limit} s"
            self._check_answer(call, answer, caller)
        self._check_runs()

    def _check_answer(
        self, call: ServiceCall, answer: result.Result[CallOutcome, Failure], caller: "_Caller"
    ) -> None:
        self.report.copies_ended += 1
        match answer:
            case result.Failure(failure):
                self._check_failure(failure, caller)
            case result.Success(outcome):
                assert outcome.repeated == (not caller.sent), "an answer is of another run"
                self.report.copies_repeated += int(outcome.repeated)
                expected = call.body + b" run 1"
                assert outcome.body in (expected, None), f"{outcome.body!r} is not {expected!r}"

    def _check_failure(self, failure: Failure, caller: "_Caller") -> None:
        if failure.run_state is RunState.NOT_RUN:
            assert not caller.sent, f"told {failure.code.name}, not run, but it was sent"
            self.report.copies_not_run += 1
        else:
            self.report.copies_unknown += 1

    def _check_runs(self) -> None:
        for body, runs in self._service.runs.items():
            assert runs == 1, f"{body!r} ran {runs} times"
        for call in self._calls:
            both = self._service.runs[call.body] + self._service.runs[call.body + b" other"]
            assert both <= 1, f"two bodies ran under the key of {call.body!r}"
        for vm in self._live:
            vm.coordinator.check_invariants()

    async def _break_log(self) -> None:
        faults = self._fleet.faults
        while not self._ended:
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
                    faults.lose_next_responses(self._generator.randint(1, 6), self._draw_loss())

    def _draw_loss(self) -> ResponseLoss:
        delay = self._generator.choice((0.0, 0.0, 1.0, 4.0, 30.0, 80.0))
        return ResponseLoss(takes_effect=self._generator.random() < 0.7, effect_delay_seconds=delay)

    async def _replace_vms(self) -> None:
        """Lets a VM die or drain, and starts one that knows nothing."""
        while not self._ended:
            await trio.sleep(self._generator.expovariate(1 / 15.0))
            vm = self._live.pop(self._generator.randrange(len(self._live)))
            self._live.append(self._fleet.start_vm())
            if self._generator.random() < 0.3:
                with trio.move_on_after(20.0):
                    await vm.coordinator.flush()
            vm.life.cancel()
            self.report.deaths += 1

    def _check_end(self) -> None:
        self._check_runs()
        self.report.calls_run = len(self._service.runs)
        for vm in self._live:
            assert vm.coordinator.pending_records == 0, "an outcome was never appended"
        for call in self._calls:
            self._check_agreement(call)

    def _check_agreement(self, call: ServiceCall) -> None:
        """Asserts that no VM would let a call that ran be claimed again."""
        if not self._service.runs[call.body]:
            return
        assert call.key is not None, "every call of a run has a key"
        key = parse_call_key(call.account_id, call.key).unwrap()
        for vm in self._live:
            standing = vm.coordinator.look_up(key, digest_of_call(call))
            assert not isinstance(standing, KeyFree), f"{call.body!r} ran and its key is free"
            assert not isinstance(standing, KeyRunning), f"{call.body!r} runs for ever"
        assert claim_partition(key) >= 0, "a key has a partition"


class _Caller:
    """Notes whether the copy of one caller was sent."""

    def __init__(self, service: FaultyService) -> None:
        self._service = service
        self.sent = False

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Sends the call through a gate that notes it."""
        return await self._service.dispatch(call, _NotingGate(gate, self))


class _NotingGate:
    def __init__(self, gate: SendGate, caller: _Caller) -> None:
        self._gate = gate
        self._caller = caller

    def authorize(self) -> result.Result[None, Failure]:
        """Asks the gate and notes that it opened."""
        permission = self._gate.authorize()
        self._caller.sent = self._caller.sent or isinstance(permission, result.Success)
        return permission


def run_calls_soak(seed: int, plan: Optional[SoakPlan] = None) -> SoakReport:
    """Runs one seed in virtual time; raises ``AssertionError`` if an invariant is broken."""
    return run_in_virtual_time(partial(_run_soak, seed, plan or SoakPlan()))


async def _run_soak(seed: int, plan: SoakPlan) -> SoakReport:
    limits = LogLimits(retention_seconds=SOAK_RETENTION_SECONDS)
    async with open_call_fleet(plan.vm_count, limits, SOAK_SETTINGS) as fleet:
        soak = _Soak(seed, plan, fleet)
        await soak.run()
        return soak.report
    raise AssertionError("the fleet always hands the run back")


def main() -> None:
    """Runs the seeds named on the command line and prints a line for each."""
    first_seed, seed_count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first_seed, first_seed + seed_count):
        print(run_calls_soak(seed))


if __name__ == "__main__":
    main()
