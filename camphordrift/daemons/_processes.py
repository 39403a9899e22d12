"""Runs the long-lived processes: an entry VM, the stand-ins, and the demo of both."""

import os
import secrets
from collections.abc import Awaitable, Callable

import trio

from camphordrift.demo import (
    DEMO_ACCOUNT_KEYS,
    DEMO_FLEET_KEY_VARIABLE,
    DEMO_OPERATOR_KEY,
    DemoPlan,
    demo_plan,
    open_demo_fleet,
)
from camphordrift.entry import EntryProcess
from camphordrift.settings import EntrySettings, StandinSettings
from camphordrift.standins import StandinFleet
from camphordrift.telemetry import STOP_SIGNALS, call_on_stop_signal, configure_logging

#: Exit code of a process that stopped as planned.
EXIT_STOPPED = 0


def run_entry(settings: EntrySettings) -> int:
    """Runs an entry VM until it is told to stop, and returns its exit code."""
    configure_logging(settings.logging_level)

    async def main() -> None:
        await _until_stopped(EntryProcess(settings).run)

    trio.run(main)
    return EXIT_STOPPED


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
    os.environ.setdefault(DEMO_FLEET_KEY_VARIABLE, secrets.token_urlsafe(32))
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
