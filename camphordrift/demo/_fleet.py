"""Runs stand-ins and entry VMs in one loop."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from camphordrift.configuration import snapshot_of
from camphordrift.demo._plan import DemoPlan
from camphordrift.entry import EntryProcess
from camphordrift.standins import StandinFleet


@dataclass(frozen=True)
class DemoFleet:
    """A running fleet."""

    #: What it was started with.
    plan: DemoPlan

    #: The stand-ins.
    standins: StandinFleet

    #: The entry VMs' processes, in the order of the plan.
    entries: tuple[EntryProcess, ...]


@asynccontextmanager
async def open_demo_fleet(plan: DemoPlan) -> AsyncIterator[DemoFleet]:
    """Runs the fleet of ``plan`` for as long as the context is open."""
    standins = StandinFleet(plan.standins)
    entries = tuple(EntryProcess(settings) for settings in plan.entries)
    async with trio.open_nursery() as nursery:
        await nursery.start(standins.run)
        for entry in entries:
            await nursery.start(entry.run)
            entry.apply(snapshot_of(1, 1, plan.values))
        try:
            yield DemoFleet(plan, standins, entries)
        finally:
            nursery.cancel_scope.cancel()
