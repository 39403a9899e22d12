"""Tests of the membership service over in-memory streams between three VMs."""

import random

import testtools
import trio

from camphordrift.identifiers import BackendServerId, Incarnation, VmId
from camphordrift.membership import (
    ListedServer,
    ListedVm,
    MemberRecord,
    MembershipService,
    MembershipSettings,
    PlatformList,
    membership_service,
    platform_list,
)
from camphordrift.peers.tests.peer_fixtures import MemoryFabric
from camphordrift.testing import run_in_virtual_time

ENGINE = BackendServerId("engine-1")


class Fleet:
    """Three VMs connected by in-memory streams, all named in the platform's list."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._fabric = MemoryFabric(nursery)
        self.services: list[MembershipService] = []
        self.scopes: list[trio.CancelScope] = []

    async def start(self) -> None:
        networks = [self._fabric.add(f"vm-{number}") for number in range(3)]
        await self._fabric.start(networks)
        for number, network in enumerate(networks):
            own = MemberRecord(VmId(f"vm-{number}"), Incarnation(1), address=f"127.0.0.1:{number}")
            rng = random.Random(number)
            settings = MembershipSettings()
            service = membership_service(own, settings, network, self._read_list, rng)
            self.services.append(service)
            self.scopes.append(trio.CancelScope())
            self._nursery.start_soon(self._run, number)
        await trio.sleep(3.0)

    def kill(self, number: int) -> None:
        self._fabric.unreachable.add(number)
        self.scopes[number].cancel()
        for stream in self._fabric.streams:
            stream.blackholed = True

    async def _run(self, number: int) -> None:
        with self.scopes[number]:
            await self.services[number].run()

    async def _read_list(self) -> PlatformList:
        vms = (ListedVm(VmId(f"vm-{number}"), "127.0.0.1", number) for number in range(3))
        return platform_list(tuple(vms), (ListedServer(ENGINE, "http://10.0.1.1:8000"),))


class MembershipServiceTest(testtools.TestCase):
    def test_vms_discover_each_other_and_detect_a_dead_vm(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery)
                await fleet.start()
                names = tuple(VmId(f"vm-{number}") for number in range(3))
                for service in fleet.services:
                    self.assertEqual(names, service.view.home_candidates(trio.current_time()))
                fleet.kill(2)
                await trio.sleep(8.0)
                for service in fleet.services[:2]:
                    now = trio.current_time()
                    self.assertEqual(names[:2], service.view.home_candidates(now))
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_draining_vm_and_server_are_disseminated_at_once(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery)
                await fleet.start()
                fleet.services[0].announce_leaving()
                fleet.services[0].on_server_response(ENGINE, Incarnation(7), leaving=True)
                await trio.sleep(0.1)
                now = trio.current_time()
                for service in fleet.services:
                    self.assertNotIn(VmId("vm-0"), service.view.home_candidates(now))
                    self.assertFalse(service.servers.takes_new_work(ENGINE, now))
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)
