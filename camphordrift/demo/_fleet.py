"""Runs the stand-ins and entry VMs of the demo in one event loop."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
from returns.pipeline import is_successful

from camphordrift.configuration import HIGHEST_SCHEMA_VERSION, prepare_record
from camphordrift.demo._plan import DemoPlan
from camphordrift.entry import EntryProcess
from camphordrift.security import FleetKeys
from camphordrift.standins import StandinFleet

#: Timeout for publishing the first configuration record, in seconds.
PUBLISH_TIMEOUT_SECONDS = 20.0


class DemoConfigurationError(Exception):
    """The first configuration record was invalid or not accepted."""


@dataclass(frozen=True)
class DemoFleet:
    """A running demo fleet."""

    #: The plan that the fleet was started with.
    plan: DemoPlan

    #: The stand-ins for the platform and the backend servers.
    standins: StandinFleet

    #: The entry VMs, in the order of the plan.
    entries: tuple[EntryProcess, ...]


@asynccontextmanager
async def open_demo_fleet(plan: DemoPlan) -> AsyncIterator[DemoFleet]:
    """Runs the fleet of ``plan`` while the context is open; its configuration is in force."""
    keys = FleetKeys(plan.fleet_key, (plan.fleet_key,))
    standins = StandinFleet(plan.standins)
    entries = tuple(EntryProcess(settings, keys) for settings in plan.entries)
    async with trio.open_nursery() as nursery:
        await nursery.start(standins.run)
        for entry in entries:
            await nursery.start(entry.run)
        await _publish_first_record(plan, entries[0])
        for entry in entries:
            await entry.configuration_keeper.wait_ready()
        try:
            yield DemoFleet(plan, standins, entries)
        finally:
            nursery.cancel_scope.cancel()


async def _publish_first_record(plan: DemoPlan, entry: EntryProcess) -> None:
    record = prepare_record(plan.record, HIGHEST_SCHEMA_VERSION)
    if not is_successful(record):
        raise DemoConfigurationError(record.failure().detail)
    published = await entry.configuration_keeper.publish(record.unwrap(), PUBLISH_TIMEOUT_SECONDS)
    if not is_successful(published):
        raise DemoConfigurationError(published.failure().failure.detail)
