"""Tests of limits enforced by several VMs over their message streams."""

import testtools
import trio

from camphordrift.account_limits import AccountLimitService, LimiterSettings, account_limit_service
from camphordrift.configuration import AccountLimits
from camphordrift.identifiers import AccountId, VmId
from camphordrift.peers.tests.peer_fixtures import MemoryFabric
from camphordrift.testing import run_in_virtual_time

ACCOUNT = AccountId("large")
VM_IDS = tuple(VmId(f"vm-{number}") for number in range(3))


class StaticView:
    """A membership view that never changes."""

    def __init__(self, live: tuple[VmId, ...]) -> None:
        self._live = live

    @property
    def live_vms(self) -> tuple[VmId, ...]:
        return self._live

    @property
    def dead_vms(self) -> tuple[VmId, ...]:
        return ()

    def home_candidates(self, now: float) -> tuple[VmId, ...]:
        return self._live


async def start_services(nursery: trio.Nursery) -> tuple[AccountLimitService, ...]:
    fabric = MemoryFabric(nursery)
    networks = [fabric.add(vm_id) for vm_id in VM_IDS]
    await fabric.start(networks)
    services = []
    for network in networks:
        view = StaticView(VM_IDS)
        service = account_limit_service(network.own.vm_id, LimiterSettings(), view, network)
        service.limiter.set_limits({ACCOUNT: AccountLimits(ACCOUNT, 100.0, 1e9, 1000)}, 10**6)
        nursery.start_soon(service.run)
        services.append(service)
    return tuple(services)


async def count_admitted(service: AccountLimitService, seconds: float) -> int:
    """Sends 200 requests per second and returns how many were admitted."""
    admitted = 0
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        outcome = service.limiter.try_admit(ACCOUNT, 10, trio.current_time())
        admission = outcome.value_or(None)
        if admission is not None:
            admitted += 1
            service.limiter.release(admission, trio.current_time())
        await trio.sleep(0.005)
    return admitted


class AccountLimitServiceTest(testtools.TestCase):
    def test_vm_with_all_the_demand_gets_nearly_all_of_the_limit(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                services = await start_services(nursery)
                await count_admitted(services[1], 15.0)
                admitted = await count_admitted(services[1], 10.0)
                self.assertTrue(900 <= admitted <= 1100, admitted)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)
