"""Tests of calls on several VMs that share a log, with faults of VMs, the log and the service."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Optional

import testtools
import trio
from returns import result

from camphordrift.calls import (
    MAX_OUTCOME_BODY_BYTES,
    CallCoordinator,
    CallOutcome,
    CallSettings,
    Repeatability,
    ServiceCall,
)
from camphordrift.experiments._call_fleet import CallFleet, open_call_fleet
from camphordrift.experiments._call_service import CountingService, booking
from camphordrift.results import Failure, ResultCode, RunState
from camphordrift.standins import LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time

_CallResult = result.Result[CallOutcome, Failure]


def _code_of(response: _CallResult) -> ResultCode:
    match response:
        case result.Failure(failure):
            return failure.code
    return ResultCode.OK


async def _execute_on_all_vms(
    fleet: CallFleet, call: ServiceCall, service: CountingService
) -> list[_CallResult]:
    responses: list[_CallResult] = []

    async def execute(vm: CallCoordinator) -> None:
        responses.append(await vm.execute(call, service.dispatch))

    async with trio.open_nursery() as nursery:
        for vm in fleet.coordinators:
            nursery.start_soon(execute, vm)
    return responses


class _FleetTestCase(testtools.TestCase):
    def run_fleet(
        self,
        check: Callable[[CallFleet, CountingService], Awaitable[None]],
        vm_count: int = 2,
        limits: Optional[LogLimits] = None,
        settings: Optional[CallSettings] = None,
    ) -> None:
        async def main() -> None:
            async with open_call_fleet(vm_count, limits, settings) as fleet:
                await check(fleet, CountingService())

        run_in_virtual_time(main)


class RepeatTest(_FleetTestCase):
    def test_concurrent_calls_with_one_key_on_all_vms_run_once(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            responses = await _execute_on_all_vms(fleet, booking(), service)
            self.assertEqual(1, service.runs[b"stall 7"])
            codes = sorted(_code_of(response) for response in responses)
            self.assertEqual([ResultCode.OK] + [ResultCode.CALL_STILL_RUNNING] * 6, codes)

        self.run_fleet(check, vm_count=7)

    def test_a_repeated_call_gets_the_recorded_response_on_every_vm_and_a_new_one(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            await fleet.coordinators[0].execute(booking(), service.dispatch)
            await fleet.coordinators[0].flush()
            fleet.start_vm()
            await trio.sleep(1.0)
            for response in await _execute_on_all_vms(fleet, booking(), service):
                outcome = response.unwrap()
                self.assertEqual((201, b"booked", True), (outcome.status, outcome.body, True))
                self.assertTrue(outcome.repeated)
            self.assertEqual(1, service.runs[b"stall 7"])

        self.run_fleet(check)

    def test_a_repeated_call_gets_status_and_digest_of_a_large_response_without_the_body(
        self,
    ) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.response_body = b"x" * (MAX_OUTCOME_BODY_BYTES + 1)
            first = (await fleet.coordinators[0].execute(booking(), service.dispatch)).unwrap()
            await fleet.coordinators[0].flush()
            await trio.sleep(1.0)
            repeat = (await fleet.coordinators[1].execute(booking(), service.dispatch)).unwrap()
            self.assertIsNone(repeat.body)
            self.assertEqual(first.answer_digest, repeat.answer_digest)
            self.assertEqual(first.body_size, repeat.body_size)

        self.run_fleet(check)

    def test_another_body_with_the_same_key_is_refused_on_both_vms(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            await fleet.coordinators[0].execute(booking(), service.dispatch)
            await trio.sleep(1.0)
            other = booking(body=b"stall 8")
            for response in await _execute_on_all_vms(fleet, other, service):
                self.assertEqual(ResultCode.KEY_REUSED_WITH_OTHER_BODY, _code_of(response))
            self.assertEqual(0, service.runs[b"stall 8"])

        self.run_fleet(check)


class WithoutKeyTest(_FleetTestCase):
    def test_a_call_without_key_is_refused_or_sent_once_by_the_configuration(self) -> None:
        cases = (
            (Repeatability.KEY_REQUIRED, ResultCode.KEY_REQUIRED, 0),
            (Repeatability.ONCE_WITHOUT_KEY, ResultCode.OK, 1),
            (Repeatability.REPEATABLE, ResultCode.OK, 1),
        )
        for repeatability, code, runs in cases:

            async def check(
                fleet: CallFleet,
                service: CountingService,
                repeatability: Repeatability = repeatability,
                code: ResultCode = code,
                runs: int = runs,
            ) -> None:
                keyed = booking(repeatability=repeatability)
                call = ServiceCall(**{**keyed.__dict__, "key": None})
                response = await fleet.coordinators[0].execute(call, service.dispatch)
                self.assertEqual((code, runs), (_code_of(response), service.runs[b"stall 7"]))

            self.run_fleet(check)


class LogFaultTest(_FleetTestCase):
    def test_a_call_is_refused_as_not_run_while_the_log_is_unavailable_and_can_run_later(
        self,
    ) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            for silent in (False, True):
                call = booking(tail=2 + silent, body=str(silent).encode())
                fleet.faults.begin_outage(silent)
                refused = await fleet.coordinators[0].execute(call, service.dispatch)
                self.assertEqual(ResultCode.CLAIM_NOT_MADE, _code_of(refused))
                self.assertEqual(RunState.NOT_RUN, refused.failure().run_state)
                self.assertEqual(0, service.runs[call.body])
                fleet.faults.end_outage()
                await trio.sleep(20.0)
                self.assertEqual(
                    ResultCode.OK,
                    _code_of(await fleet.coordinators[1].execute(call, service.dispatch)),
                )
                self.assertEqual(1, service.runs[call.body])

        self.run_fleet(check)

    def test_a_lost_response_to_the_claim_still_runs_the_call_once(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            for tail, takes_effect in ((2, True), (3, False)):
                call = booking(tail=tail, body=str(tail).encode())
                fleet.faults.lose_next_responses(1, ResponseLoss(takes_effect=takes_effect))
                response = await fleet.coordinators[0].execute(call, service.dispatch)
                await trio.sleep(5.0)
                repeat = await fleet.coordinators[1].execute(call, service.dispatch)
                self.assertEqual(1, service.runs[call.body])
                self.assertEqual({ResultCode.OK}, {_code_of(response), _code_of(repeat)})

        self.run_fleet(check)

    def test_a_claim_appended_after_its_caller_was_refused_is_voided(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            fleet.faults.slow_down(8.0)
            refused = await fleet.coordinators[0].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.CLAIM_NOT_MADE, _code_of(refused))
            fleet.faults.slow_down(0.0)
            await trio.sleep(10.0)
            self.assertEqual(0, service.runs[b"stall 7"])
            response = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.OK, _code_of(response))
            self.assertEqual(1, service.runs[b"stall 7"])

        self.run_fleet(check)

    def test_the_caller_gets_its_response_although_the_outcome_cannot_be_appended(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.latency_seconds = 5.0
            fleet.nursery.start_soon(_run_outage, fleet, 2.0, 30.0)
            response = await fleet.coordinators[0].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.OK, _code_of(response))
            again = await fleet.coordinators[0].execute(booking(), service.dispatch)
            self.assertEqual(1, fleet.coordinators[0].pending_records)
            self.assertEqual(ResultCode.CALL_STILL_RUNNING, _code_of(again))
            await fleet.coordinators[0].flush()
            self.assertEqual(0, fleet.coordinators[0].pending_records)
            await trio.sleep(1.0)
            repeat = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(b"booked", repeat.unwrap().body)

        self.run_fleet(check)

    def test_a_key_is_refused_once_the_log_may_have_dropped_its_claim(self) -> None:
        settings = CallSettings(key_max_age_seconds=200.0, heartbeat_interval_seconds=20.0)

        async def check(fleet: CallFleet, service: CountingService) -> None:
            await fleet.coordinators[0].execute(booking(), service.dispatch)
            await trio.sleep(150.0)
            fleet.start_vm()
            await trio.sleep(5.0)
            repeat = await fleet.coordinators[2].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.KEY_TOO_OLD, _code_of(repeat))
            new_call = booking(made_at=trio.current_time(), body=b"stall 9")
            response = await fleet.coordinators[2].execute(new_call, service.dispatch)
            self.assertEqual(ResultCode.OK, _code_of(response))
            self.assertEqual(1, service.runs[b"stall 7"])

        self.run_fleet(check, limits=LogLimits(retention_seconds=100.0), settings=settings)


async def _run_outage(fleet: CallFleet, delay: float, duration: float) -> None:
    await trio.sleep(delay)
    fleet.faults.begin_outage()
    await trio.sleep(duration)
    fleet.faults.end_outage()


class CrashTest(_FleetTestCase):
    async def _run_call_and_crash(
        self, fleet: CallFleet, service: CountingService, crash_after: float
    ) -> None:
        async def call() -> None:
            with caller:
                await fleet.coordinators[0].execute(booking(), service.dispatch)

        caller = trio.CancelScope()
        fleet.nursery.start_soon(call)
        await trio.sleep(crash_after)
        fleet.cancel_scopes[0].cancel()
        caller.cancel()

    def test_crash_after_the_dispatch_leaves_the_outcome_unknown_and_never_reruns_the_call(
        self,
    ) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.latency_seconds = 15.0
            await self._run_call_and_crash(fleet, service, 2.0)
            await trio.sleep(3.0)
            early = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.CALL_STILL_RUNNING, _code_of(early))
            await trio.sleep(30.0)
            late = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.CALL_OUTCOME_UNKNOWN, _code_of(late))
            self.assertEqual(RunState.OUTCOME_UNKNOWN, late.failure().run_state)
            self.assertEqual(1, service.runs[b"stall 7"])

        self.run_fleet(check)

    def test_crash_between_claim_and_dispatch_runs_nothing_and_reports_an_unknown_outcome(
        self,
    ) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.connect_seconds = 19.0
            await self._run_call_and_crash(fleet, service, 2.0)
            await trio.sleep(30.0)
            late = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.CALL_OUTCOME_UNKNOWN, _code_of(late))
            self.assertEqual(0, service.runs[b"stall 7"])

        self.run_fleet(check)


class BackendFaultTest(_FleetTestCase):
    def test_an_unreachable_service_frees_the_key(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.reachable = False
            refused = await fleet.coordinators[0].execute(booking(), service.dispatch)
            self.assertEqual(RunState.NOT_RUN, refused.failure().run_state)
            await trio.sleep(2.0)
            service.reachable = True
            response = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.OK, _code_of(response))

        self.run_fleet(check)

    def test_a_call_whose_response_was_lost_is_never_retried(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.loses_responses = True
            first = await fleet.coordinators[0].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.SERVICE_OUTCOME_UNKNOWN, _code_of(first))
            await trio.sleep(2.0)
            for response in await _execute_on_all_vms(fleet, booking(), service):
                self.assertEqual(ResultCode.CALL_OUTCOME_UNKNOWN, _code_of(response))
            self.assertEqual(1, service.runs[b"stall 7"])

        self.run_fleet(check)

    def test_a_pause_between_claim_and_first_byte_sends_nothing(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.connect_seconds = 6.0
            response = await fleet.coordinators[0].execute(booking(), service.dispatch)
            self.assertEqual(ResultCode.CLAIM_EXPIRED, _code_of(response))
            self.assertEqual(0, service.runs[b"stall 7"])

        self.run_fleet(check)

    def test_a_dispatched_call_continues_after_its_caller_has_disconnected(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            service.latency_seconds = 3.0
            with trio.move_on_after(1.0):
                await fleet.coordinators[0].execute(booking(), service.dispatch)
            await trio.sleep(5.0)
            repeat = await fleet.coordinators[1].execute(booking(), service.dispatch)
            self.assertEqual(b"booked", repeat.unwrap().body)
            self.assertEqual(1, service.runs[b"stall 7"])

        self.run_fleet(check)


class DumpTest(_FleetTestCase):
    def test_shows_calls_in_flight_and_counters(self) -> None:
        async def check(fleet: CallFleet, service: CountingService) -> None:
            vm = fleet.coordinators[0]
            service.latency_seconds = 3.0
            fleet.nursery.start_soon(partial(vm.execute, booking(), service.dispatch))
            await trio.sleep(1.0)
            during = vm.dump_state()
            self.assertEqual(["dispatched"], [call.stage for call in during.in_flight])
            await trio.sleep(5.0)
            after = vm.dump_state()
            self.assertEqual((), after.in_flight)
            self.assertEqual(1, after.counts.claims_appended)
            self.assertEqual(1, after.counts.background_records)
            self.assertEqual(1, sum(row.key_count for row in after.partitions))

        self.run_fleet(check)
