"""Runs the long-lived processes: an entry VM, the stand-ins, and the demo of both."""

import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from camphordrift.demo import (
    DEMO_ACCOUNT_KEYS,
    DEMO_OPERATOR_KEY,
    DemoPlan,
    demo_plan,
    open_demo_fleet,
)
from camphordrift.entry import EntryProcess
from camphordrift.security import FleetKeys
from camphordrift.settings import EntrySettings, StandinSettings
from camphordrift.standins import StandinFleet
from camphordrift.telemetry import (
    DUMP_SIGNAL,
    STOP_SIGNALS,
    call_on_stop_signal,
    configure_logging,
    dump_on_signal,
)

#: Exit code of a process that stopped as planned.
EXIT_STOPPED = 0

#: Exit code of a process that cut requests or left something unwritten to stop within its bound.
EXIT_STOPPED_LATE = 1


def run_entry(settings: EntrySettings, keys: FleetKeys) -> int:
    """Runs an entry VM until a planned stop is over, and returns its exit code."""
    configure_logging(settings.logging_level)
    clean = trio.run(_run_entry, settings, keys)
    return EXIT_STOPPED if clean else EXIT_STOPPED_LATE


async def _run_entry(settings: EntrySettings, keys: FleetKeys) -> bool:
    process = EntryProcess(settings, keys)
    clean = False
    with (
        trio.open_signal_receiver(DUMP_SIGNAL) as dump_signals,
        trio.open_signal_receiver(*STOP_SIGNALS) as stop_signals,
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(dump_on_signal, dump_signals, process.dump)
            nursery.start_soon(_stop_on_signals, stop_signals, process)
            clean = await process.run()
            nursery.cancel_scope.cancel()
    return clean


async def _stop_on_signals(signals: AsyncIterator[int], process: EntryProcess) -> None:
    """Asks for a planned stop; each further signal hurries it."""
    async for number in signals:
        process.graceful_shutdown.start(signal.Signals(number).name)


def run_standins(settings: StandinSettings) -> int:
    """Runs the stand-ins until they are told to stop, and returns the exit code."""
    configure_logging(settings.logging_level)

    async def main() -> None:
        await _until_stopped(StandinFleet(settings).run)

    trio.run(main)
    return EXIT_STOPPED


def run_demo() -> int:
    """Runs a whole fleet in one process until it is told to stop, and returns the exit code."""
    configure_logging("info")
    plan = demo_plan()

    async def main() -> None:
        async def fleet() -> None:
            async with open_demo_fleet(plan):
                print(_welcome(plan), flush=True)
                await trio.sleep_forever()

        await _until_stopped(fleet)

    trio.run(main)
    return EXIT_STOPPED


async def _until_stopped(run: Callable[[], Awaitable[None]]) -> None:
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await call_on_stop_signal(signals, nursery.cancel_scope.cancel)


def _welcome(plan: DemoPlan) -> str:
    first = plan.entries[0].listen
    callers = ", ".join(f"http://{entry.listen.callers}" for entry in plan.entries)
    lines = [
        f"{len(plan.entries)} entry VMs serve callers at {callers}",
        f"operators' port of the first: http://{first.operators} (key {DEMO_OPERATOR_KEY})",
        f"faults of the stand-ins: http://{plan.standins.control}/faults",
        *(f"key of client account {name}: {key}" for name, key in DEMO_ACCOUNT_KEYS.items()),
        "stop with Ctrl-C",
    ]
    return "\n".join(lines)
