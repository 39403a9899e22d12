"""Runs the long-lived processes: an entry VM, the stand-ins, or a demo fleet of both."""

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

#: Exit code after a complete graceful shutdown.
EXIT_STOPPED = 0

#: Exit code if requests were cut or data was not written to stop within the time limit.
EXIT_STOPPED_INCOMPLETE = 1


def run_entry(settings: EntrySettings, keys: FleetKeys) -> int:
    """Runs an entry VM until its graceful shutdown has ended, and returns the exit code."""
    configure_logging(settings.logging_level)
    clean = trio.run(_run_entry, settings, keys)
    return EXIT_STOPPED if clean else EXIT_STOPPED_INCOMPLETE


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
    """Starts a graceful shutdown; a second signal ends its waits and cuts running requests."""
    async for number in signals:
        process.graceful_shutdown.start(signal.Signals(number).name)


def run_standins(settings: StandinSettings) -> int:
    """Runs the stand-ins until a stop signal, and returns the exit code."""
    configure_logging(settings.logging_level)

    async def main() -> None:
        await _run_until_stop_signal(StandinFleet(settings).run)

    trio.run(main)
    return EXIT_STOPPED


def run_demo() -> int:
    """Runs the demo fleet until a stop signal, and returns the exit code."""
    configure_logging("info")
    plan = demo_plan()

    async def main() -> None:
        async def fleet() -> None:
            async with open_demo_fleet(plan):
                print(_startup_message(plan), flush=True)
                await trio.sleep_forever()

        await _run_until_stop_signal(fleet)

    trio.run(main)
    return EXIT_STOPPED


async def _run_until_stop_signal(run: Callable[[], Awaitable[None]]) -> None:
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await call_on_stop_signal(signals, nursery.cancel_scope.cancel)


def _startup_message(plan: DemoPlan) -> str:
    first = plan.entries[0].listen
    callers = ", ".join(f"http://{entry.listen.callers}" for entry in plan.entries)
    lines = [
        f"{len(plan.entries)} entry VMs accept requests at {callers}",
        f"operators' port of the first VM: http://{first.operators} (key {DEMO_OPERATOR_KEY})",
        f"fault injection into the stand-ins: http://{plan.standins.control}/faults",
        *(f"key of client account {name}: {key}" for name, key in DEMO_ACCOUNT_KEYS.items()),
        "stop with Ctrl-C",
    ]
    return "\n".join(lines)
