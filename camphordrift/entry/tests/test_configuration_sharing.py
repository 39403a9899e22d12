"""Tests that a VM fetches the configuration from a peer while the log is unreachable."""

import random
import time

import testtools
import trio
from returns.pipeline import is_successful

from camphordrift.configuration import (
    HIGHEST_SCHEMA_VERSION,
    ConfigurationKeeper,
    KeeperSettings,
    prepare_record,
)
from camphordrift.entry._configuration_sharing import ConfigurationSharing
from camphordrift.identifiers import VmId
from camphordrift.peers import PeerNetwork
from camphordrift.peers.tests.peer_fixtures import MemoryFabric
from camphordrift.platform_log import LogWriter, WriterSettings
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.testing import run_in_virtual_time

RECORD = {
    "author": "ola",
    "note": "first",
    "changes": [
        {
            "kind": "client_account",
            "key": "instructors",
            "replaces": 0,
            "value": {"key_hashes": ["0" * 64]},
        }
    ],
}


def start_keeper(log: InMemoryLogService, name: str, nursery: trio.Nursery) -> ConfigurationKeeper:
    rng = random.Random(name)
    writer = LogWriter(log, name, WriterSettings(), trio.current_time, rng)
    keeper = ConfigurationKeeper(log, writer, KeeperSettings(), trio.current_time, time.time, rng)
    nursery.start_soon(writer.run)
    nursery.start_soon(keeper.run)
    return keeper


def configuration_sharing(
    keeper: ConfigurationKeeper, network: PeerNetwork, other: str
) -> ConfigurationSharing:
    peers = (VmId(other),)
    return ConfigurationSharing(keeper, network, lambda: peers, random.Random(1), part_bytes=50)


class NewVmDuringOutageTest(testtools.TestCase):
    def test_becomes_ready_from_a_peer_and_not_without_one(self) -> None:
        run_in_virtual_time(self._scenario)

    async def _scenario(self) -> None:
        log = InMemoryLogService(trio.current_time, LogLimits())
        async with trio.open_nursery() as nursery:
            fabric = MemoryFabric(nursery)
            old, new = fabric.add("old"), fabric.add("new")
            await fabric.start((old, new))
            informed_keeper = start_keeper(log, "old", nursery)
            record = prepare_record(RECORD, HIGHEST_SCHEMA_VERSION).unwrap()
            self.assertTrue(is_successful(await informed_keeper.publish(record, 10.0)))
            log.faults.begin_outage(unresponsive=True)
            nursery.start_soon(configuration_sharing(informed_keeper, old, "new").run)
            new_keeper = start_keeper(log, "new", nursery)
            await trio.sleep(30.0)
            self.assertFalse(new_keeper.is_ready, "a VM without a configuration must not be ready")
            nursery.start_soon(configuration_sharing(new_keeper, new, "old").run)
            await new_keeper.wait_ready()
            self.assertEqual(1, new_keeper.status.version)
            nursery.cancel_scope.cancel()
