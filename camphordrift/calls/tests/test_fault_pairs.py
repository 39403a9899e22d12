"""Tests of calls during two simultaneous faults."""

from functools import partial

import testtools
import trio
from returns import result

from camphordrift.calls import CallOutcome, CallSettings
from camphordrift.experiments._call_fleet import CallFleet, open_call_fleet
from camphordrift.experiments._call_service import CountingService, booking
from camphordrift.results import Failure, ResultCode
from camphordrift.standins import LogLimits, ResponseLoss
from camphordrift.testing import run_in_virtual_time


def _code_of(response: result.Result[CallOutcome, Failure]) -> ResultCode:
    match response:
        case result.Failure(failure):
            return failure.code
    return ResultCode.OK


async def _call_and_crash(fleet: CallFleet, service: CountingService, crash_after: float) -> None:
    """Runs a call on the first VM; that VM and the caller crash after ``crash_after`` seconds."""
    caller = trio.CancelScope()

    async def call() -> None:
        with caller:
            await fleet.coordinators[0].execute(booking(), service.dispatch)

    fleet.nursery.start_soon(call)
    await trio.sleep(crash_after)
    fleet.cancel_scopes[0].cancel()
    caller.cancel()


class FaultPairTest(testtools.TestCase):
    def test_vm_crashes_after_the_dispatch_while_the_log_is_unavailable(self) -> None:
        async def main() -> None:
            async with open_call_fleet(2) as fleet:
                service = CountingService(latency_seconds=10.0)
                fleet.nursery.start_soon(partial(_call_and_crash, fleet, service, 5.0))
                await trio.sleep(2.0)
                fleet.faults.begin_outage(unresponsive=True)
                await trio.sleep(10.0)
                during = await fleet.coordinators[1].execute(booking(), service.dispatch)
                self.assertEqual(ResultCode.CALL_STILL_RUNNING, _code_of(during))
                fleet.faults.end_outage()
                await trio.sleep(30.0)
                after = await fleet.coordinators[1].execute(booking(), service.dispatch)
                self.assertEqual(ResultCode.CALL_OUTCOME_UNKNOWN, _code_of(after))
                self.assertEqual(1, service.runs[b"stall 7"])

        run_in_virtual_time(main)

    def test_two_vms_claim_one_key_and_both_responses_of_the_log_are_lost(self) -> None:
        async def main() -> None:
            for loss in (ResponseLoss(True), ResponseLoss(False), ResponseLoss(True, 1.5)):
                async with open_call_fleet(2) as fleet:
                    service = CountingService()
                    fleet.faults.lose_next_responses(2, loss)
                    async with trio.open_nursery() as nursery:
                        for vm in fleet.coordinators:
                            nursery.start_soon(vm.execute, booking(), service.dispatch)
                    await trio.sleep(10.0)
                    repeat = await fleet.coordinators[0].execute(booking(), service.dispatch)
                    self.assertEqual(ResultCode.OK, _code_of(repeat), str(loss))
                    self.assertEqual(1, service.runs[b"stall 7"], str(loss))

        run_in_virtual_time(main)

    def test_vm_crashes_during_the_append_of_its_claim_to_a_slow_log(self) -> None:
        async def main() -> None:
            async with open_call_fleet(2) as fleet:
                service = CountingService()
                fleet.faults.slow_down(1.0)
                await _call_and_crash(fleet, service, 0.2)
                fleet.faults.slow_down(0.0)
                response = await fleet.coordinators[1].execute(booking(), service.dispatch)
                await trio.sleep(60.0)
                late = await fleet.coordinators[1].execute(booking(), service.dispatch)
                self.assertTrue(service.runs[b"stall 7"] <= 1)
                ran = service.runs[b"stall 7"] == 1
                self.assertEqual(ran, _code_of(response) is ResultCode.OK)
                self.assertEqual(ran, _code_of(late) is ResultCode.OK)

        run_in_virtual_time(main)

    def test_response_of_the_service_is_lost_while_the_log_is_unavailable(self) -> None:
        async def main() -> None:
            async with open_call_fleet(2) as fleet:
                service = CountingService(latency_seconds=3.0, loses_responses=True)
                fleet.nursery.start_soon(fleet.coordinators[0].execute, booking(), service.dispatch)
                await trio.sleep(1.0)
                fleet.faults.begin_outage()
                await trio.sleep(20.0)
                fleet.faults.end_outage()
                await fleet.coordinators[0].flush()
                await trio.sleep(1.0)
                repeat = await fleet.coordinators[1].execute(booking(), service.dispatch)
                self.assertEqual(ResultCode.CALL_OUTCOME_UNKNOWN, _code_of(repeat))
                self.assertEqual(1, service.runs[b"stall 7"])

        run_in_virtual_time(main)

    def test_retention_expires_while_a_vm_is_paused_between_claim_and_first_byte(self) -> None:
        async def main() -> None:
            settings = CallSettings(key_max_age_seconds=90.0, heartbeat_interval_seconds=20.0)
            async with open_call_fleet(2, LogLimits(retention_seconds=60.0), settings) as fleet:
                service = CountingService(connect_seconds=200.0)
                fleet.nursery.start_soon(fleet.coordinators[0].execute, booking(), service.dispatch)
                await trio.sleep(150.0)
                fleet.start_vm()
                await trio.sleep(5.0)
                service.connect_seconds = 0.0
                repeat = await fleet.coordinators[2].execute(booking(), service.dispatch)
                self.assertEqual(ResultCode.KEY_TOO_OLD, _code_of(repeat))
                await trio.sleep(200.0)
                self.assertEqual(0, service.runs[b"stall 7"])

        run_in_virtual_time(main)

    def test_outcome_of_a_vm_drained_during_a_log_outage_is_recorded(self) -> None:
        async def main() -> None:
            async with open_call_fleet(2) as fleet:
                service = CountingService(latency_seconds=2.0)
                fleet.nursery.start_soon(fleet.coordinators[0].execute, booking(), service.dispatch)
                await trio.sleep(1.0)
                fleet.faults.begin_outage()
                await trio.sleep(5.0)
                with trio.move_on_after(1.0) as flush_timeout:
                    await fleet.coordinators[0].flush()
                self.assertTrue(flush_timeout.cancelled_caught)
                fleet.faults.end_outage()
                await fleet.coordinators[0].flush()
                fleet.cancel_scopes[0].cancel()
                await trio.sleep(1.0)
                repeat = await fleet.coordinators[1].execute(booking(), service.dispatch)
                self.assertEqual(b"booked", repeat.unwrap().body)

        run_in_virtual_time(main)
