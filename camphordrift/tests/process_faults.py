"""Faults of a fleet of processes, and runs of a fleet under load during a fault."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from camphordrift.demo import demo_plan
from camphordrift.testing import process_loopback_network
from camphordrift.tests.process_fleet import ProcessFleet, open_process_fleet
from camphordrift.tests.process_load import ClientObservations, check_bookings, run_load

#: Timeout of one run, after which it is considered hung, in seconds.
RUN_TIMEOUT_SECONDS = 180.0

SECONDS_BEFORE_FAULT = 1.5
SECONDS_AFTER_FAULT = 2.0
REQUESTS_PER_SECOND = 8.0

Fault = Callable[[ProcessFleet], Awaitable[None]]


@dataclass(frozen=True)
class FaultSpan:
    """When a fault was active, by the clock of the load generator's event loop, in seconds."""

    #: Before the fault was injected.
    started_at: float

    #: After the fault was removed.
    ended_at: float


async def kill_vm(fleet: ProcessFleet) -> None:
    """Kills a VM's process and starts a new one after 1 s."""
    fleet.send_signal(0, signal.SIGKILL)
    await fleet.wait_exit(0)
    await trio.sleep(1.0)
    fleet.start_entry(0)


async def pause_vm(fleet: ProcessFleet) -> None:
    """Pauses a VM's process for longer than claims and suspicions last, and resumes it."""
    fleet.send_signal(1, signal.SIGSTOP)
    await trio.sleep(6.0)
    fleet.send_signal(1, signal.SIGCONT)


async def log_outage(fleet: ProcessFleet) -> None:
    """Makes the log service unresponsive for 3 s."""
    await fleet.inject_fault("log.outage", silent=True)
    await trio.sleep(3.0)
    await fleet.inject_fault("log.outage", on=False)


async def lose_log_responses(fleet: ProcessFleet) -> None:
    """Loses the responses to appends that take effect, at once or 1 s later."""
    await fleet.inject_fault("log.lose_answers", count=5, takes_effect=True)
    await fleet.inject_fault(
        "log.lose_answers", count=5, takes_effect=True, effect_delay_seconds=1.0
    )


async def kill_engine(fleet: ProcessFleet) -> None:
    """Kills an engine during its responses and restarts it after 2 s."""
    await fleet.inject_fault("engine.die", engine_id="engine-1")
    await trio.sleep(2.0)
    await fleet.inject_fault("engine.restart", engine_id="engine-1")


async def restart_vms_in_turn(fleet: ProcessFleet) -> None:
    """Shuts down and starts each VM, one after the other."""
    for index in range(len(fleet.plan.entries)):
        fleet.send_signal(index, signal.SIGTERM)
        assert await fleet.wait_exit(index) == 0, "the graceful shutdown failed"
        fleet.start_entry(index)
        await fleet.wait_ready(index)


async def inject_both(first: Fault, second: Fault, fleet: ProcessFleet) -> None:
    """Injects two faults at the same time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first, fleet)
        nursery.start_soon(second, fleet)


async def run_load_with_fault(
    fault: Fault, observations: ClientObservations, seconds_around: float = SECONDS_BEFORE_FAULT
) -> FaultSpan:
    """Runs a fleet under load during one fault, and checks the bookings after the load.

    The load lasts ``seconds_around`` before the fault, and at least as long after it.
    """
    with trio.fail_after(RUN_TIMEOUT_SECONDS):
        async with open_process_fleet(demo_plan(process_loopback_network())) as fleet:
            async with trio.open_nursery() as nursery:
                stop = trio.Event()
                nursery.start_soon(run_load, fleet, observations, stop, REQUESTS_PER_SECOND)
                await trio.sleep(seconds_around)
                started_at = trio.current_time()
                await fault(fleet)
                ended_at = trio.current_time()
                await trio.sleep(max(seconds_around, SECONDS_AFTER_FAULT))
                stop.set()
            await check_bookings(fleet, observations)
    return FaultSpan(started_at, ended_at)
