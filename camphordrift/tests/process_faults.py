"""Faults of a fleet of processes, and runs of the fleet under load with one of them."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from camphordrift.demo import demo_plan
from camphordrift.testing import process_loopback_network
from camphordrift.tests.process_fleet import ProcessFleet, open_process_fleet
from camphordrift.tests.process_load import Account, check_bookings, run_load

#: A run that has not ended by then hangs, in seconds.
HANG_SECONDS = 180.0

SECONDS_BEFORE_FAULT = 1.5
SECONDS_AFTER_FAULT = 2.0
REQUESTS_PER_SECOND = 8.0

Fault = Callable[[ProcessFleet], Awaitable[None]]


@dataclass(frozen=True)
class FaultSpan:
    """When a fault was there, by the clock of the callers' loop, in seconds."""

    #: Its beginning.
    began_at: float

    #: Its end.
    ended_at: float


async def kill_a_vm(fleet: ProcessFleet) -> None:
    """Kills a VM's process and starts a new one in its place."""
    fleet.send_signal(0, signal.SIGKILL)
    await fleet.wait_exit(0)
    await trio.sleep(1.0)
    fleet.start_entry(0)


async def pause_a_vm(fleet: ProcessFleet) -> None:
    """Stops a VM's process for longer than claims and suspicions last, and lets it go on."""
    fleet.send_signal(1, signal.SIGSTOP)
    await trio.sleep(6.0)
    fleet.send_signal(1, signal.SIGCONT)


async def log_outage(fleet: ProcessFleet) -> None:
    """Takes the log down, without any answer, and brings it back."""
    await fleet.fault("log.outage", silent=True)
    await trio.sleep(3.0)
    await fleet.fault("log.outage", on=False)


async def lose_log_answers(fleet: ProcessFleet) -> None:
    """Loses the answers of appends that took effect, at once and late."""
    await fleet.fault("log.lose_answers", count=5, takes_effect=True)
    await fleet.fault("log.lose_answers", count=5, takes_effect=True, effect_delay_seconds=1.0)


async def kill_an_engine(fleet: ProcessFleet) -> None:
    """Ends an engine in the middle of its answers, and starts it anew."""
    await fleet.fault("engine.die", engine_id="engine-1")
    await trio.sleep(2.0)
    await fleet.fault("engine.restart", engine_id="engine-1")


async def replace_every_vm(fleet: ProcessFleet) -> None:
    """Stops and starts all VMs, one after the other."""
    for index in range(len(fleet.plan.entries)):
        fleet.send_signal(index, signal.SIGTERM)
        assert await fleet.wait_exit(index) == 0, "the stop was not clean"
        fleet.start_entry(index)
        await fleet.wait_ready(index)


async def both(first: Fault, second: Fault, fleet: ProcessFleet) -> None:
    """Brings two faults about at the same time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first, fleet)
        nursery.start_soon(second, fleet)


async def run_fleet(
    fault: Fault, account: Account, seconds_around: float = SECONDS_BEFORE_FAULT
) -> FaultSpan:
    """Runs a fleet under load with one fault, and checks bookings once all is at rest."""
    with trio.fail_after(HANG_SECONDS):
        async with open_process_fleet(demo_plan(process_loopback_network())) as fleet:
            async with trio.open_nursery() as nursery:
                stop = trio.Event()
                nursery.start_soon(run_load, fleet, account, stop, REQUESTS_PER_SECOND)
                await trio.sleep(seconds_around)
                began_at = trio.current_time()
                await fault(fleet)
                ended_at = trio.current_time()
                await trio.sleep(max(seconds_around, SECONDS_AFTER_FAULT))
                stop.set()
            await check_bookings(fleet, account)
    return FaultSpan(began_at, ended_at)
