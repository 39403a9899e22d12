"""Tests of how VMs find the one that decides for the pools, over sockets."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import pytest
import testtools
import trio

from camphordrift.relay import _leader_election
from camphordrift.relay._configuration_lease import ConfigurationLease
from camphordrift.relay._dispatcher import Dispatcher
from camphordrift.relay._engine_scheduler import EngineScheduler
from camphordrift.relay._leader_election import LeaderElection
from camphordrift.relay._peer_messages import Member
from camphordrift.relay._placement_values import AttemptOutcome, Grant
from camphordrift.relay._server_directory import DirectoryChange, ServerDirectory
from camphordrift.relay._store_watchers import (
    CONFIGURATION_WAIT,
    STALE_NEWS,
    ConfigurationWatcher,
    ServersWatcher,
    boot_time_clock,
    wait_of_read,
)
from camphordrift.relay._update_distribution import UpdateDistributor
from camphordrift.relay.tests.relay_harness import free_ports
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    TOPICS,
    InMemoryLog,
    SampleDocuments,
    ask,
    server,
)
from camphordrift.testing import own_loopback_network

pytestmark = pytest.mark.sockets


@dataclass
class Vm:
    """The parts of one VM that decide for pools and hand news on."""

    member: Member
    dispatcher: Dispatcher
    home: EngineScheduler
    lease: ConfigurationLease
    configuration: ConfigurationWatcher
    servers: ServersWatcher
    directory: ServerDirectory
    election: LeaderElection

    async def run(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.configuration.run)
                nursery.start_soon(self.servers.run)
                nursery.start_soon(self.election.run)

    def refresh(self) -> None:
        table = self.configuration.table
        if table is not None:
            self.home.set_services(table.configuration.services.values())
            self.home.set_servers(self.directory.servers.values())


def make_vm(number: int, started_ms: int, log: InMemoryLog, documents: SampleDocuments) -> Vm:
    host = f"{own_loopback_network()}.{number}"
    member = Member(f"vm-{number}", started_ms, host, free_ports(host)[0])
    home = EngineScheduler(trio.current_time)
    dispatcher = Dispatcher(member.vm, home, trio.current_time)
    lease = ConfigurationLease(5.0)
    directory = ServerDirectory()

    def configuration_changed() -> None:
        vm.refresh()
        updates.configuration_changed()

    def servers_changed(changes: list[DirectoryChange]) -> None:
        vm.refresh()
        updates.servers_changed(changes)

    configuration = ConfigurationWatcher(log, TOPICS, documents, lease, configuration_changed)
    servers = ServersWatcher(
        log, TOPICS, documents, directory, servers_changed, lambda: configuration.store_reachable
    )
    updates = UpdateDistributor(configuration, servers, lease)
    election = LeaderElection(member, log, TOPICS, dispatcher, home, updates)
    vm = Vm(member, dispatcher, home, lease, configuration, servers, directory, election)
    return vm


class Fleet:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.log, self.documents = InMemoryLog(), SampleDocuments()
        self._nursery = nursery
        self.publish(CONFIGURATION.version)
        for number in range(4):
            entry = server(number)
            self.log.put(TOPICS.servers, entry.id, self.documents.write(entry))
        self._scopes: dict[str, trio.CancelScope] = {}

    def start(self, number: int, started_ms: int) -> Vm:
        vm = make_vm(number, started_ms, self.log, self.documents)
        self._scopes[vm.member.vm] = trio.CancelScope()
        self._nursery.start_soon(vm.run, self._scopes[vm.member.vm])
        return vm

    def publish(self, version: int) -> None:
        document = self.documents.write(replace(CONFIGURATION, version=version))
        self.log.put(TOPICS.configuration, TOPICS.configuration_key, document)

    def kill(self, vm: Vm) -> None:
        self._scopes[vm.member.vm].cancel()


def run(body: Callable[[Fleet], Awaitable[None]]) -> None:
    async def main() -> None:
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                await body(Fleet(nursery))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.02)


def homes(*vms: Vm) -> list[str]:
    return [vm.election.leader for vm in vms]


class HomeElectionTest(testtools.TestCase):
    def test_all_follow_the_vm_that_has_run_longest(self) -> None:
        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await until(lambda: homes(*vms) == ["vm-1", "vm-1", "vm-1"])

        run(body)

    def test_a_vm_that_missed_the_senior_hears_of_it_from_its_home(self) -> None:
        """VMs that start together do not all see each other, and one may follow a follower."""

        async def body(fleet: Fleet) -> None:
            second, third = fleet.start(2, 200), fleet.start(3, 300)
            await until(lambda: homes(second, third) == ["vm-2", "vm-2"])
            first = fleet.start(1, 100)
            await until(lambda: homes(first, second, third) == ["vm-1"] * 3)

        run(body)

    def test_the_next_one_takes_over_from_a_home_that_dies(self) -> None:
        async def body(fleet: Fleet) -> None:
            first, second, third = (fleet.start(number, 100 + number) for number in (1, 2, 3))
            await until(lambda: homes(second, third) == ["vm-1", "vm-1"])
            fleet.kill(first)
            await until(lambda: homes(second, third) == ["vm-2", "vm-2"])

        run(body)

    def test_a_home_that_restarted_is_no_longer_the_senior(self) -> None:
        async def body(fleet: Fleet) -> None:
            first, second, third = (fleet.start(number, 100 + number) for number in (1, 2, 3))
            await until(lambda: homes(second, third) == ["vm-1", "vm-1"])
            fleet.kill(first)
            again = fleet.start(1, 400)
            await until(lambda: homes(again, second, third) == ["vm-2"] * 3)

        run(body)

    def test_an_unfit_vm_says_so_to_those_that_come_later(self) -> None:
        """Otherwise two VMs take each other for their home, and neither asks the store."""
        self.patch(_leader_election, "UNFIT_TIME", 1000.0)

        async def body(fleet: Fleet) -> None:
            first = fleet.start(1, 101)
            await until(lambda: first.configuration.version > 0)
            first.election._note_unfit("vm-1")
            second = fleet.start(2, 102)
            await until(lambda: homes(first, second) == ["vm-2", "vm-2"])

        run(body)

    def test_vms_that_are_all_unfit_keep_one_home(self) -> None:
        """A store that is slow for all makes each VM look unfit to some other one by turns."""
        self.patch(_leader_election, "UNFIT_TIME", 1000.0)

        async def body(fleet: Fleet) -> None:
            vms = [fleet.start(number, 100 + number) for number in (1, 2, 3)]
            await until(lambda: homes(*vms) == ["vm-1"] * 3)
            for unfit in vms:
                for vm in vms:
                    vm.election._note_unfit(unfit.member.vm)
                await trio.sleep(0.3)
            await until(lambda: homes(*vms) == ["vm-1"] * 3)

        run(body)


class SharedPoolTest(testtools.TestCase):
    def test_running_requests_move_to_a_new_home(self) -> None:
        async def body(fleet: Fleet) -> None:
            first, second, third = (fleet.start(number, 100 + number) for number in (1, 2, 3))
            await until(lambda: homes(second, third) == ["vm-1", "vm-1"])
            await until(lambda: len(second.directory.servers) == 4)
            grant = await third.dispatcher.place(ask("r1"))
            self.assertIsInstance(grant, Grant)
            fleet.kill(first)
            await until(lambda: homes(second, third) == ["vm-2", "vm-2"])
            await until(lambda: second.home.placed_count("engines") == 1)
            third.dispatcher.report_finished("r1", AttemptOutcome.SERVED)
            await until(lambda: second.home.placed_count("engines") == 0)

        run(body)

    def test_the_requests_of_a_vm_that_dies_are_forgotten(self) -> None:
        async def body(fleet: Fleet) -> None:
            first, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            await until(lambda: len(second.directory.servers) == 4)
            await second.dispatcher.place(ask("r1"))
            self.assertEqual(1, first.home.placed_count("engines"))
            fleet.kill(second)
            await until(lambda: first.home.placed_count("engines") == 0)

        run(body)


class NewsTest(testtools.TestCase):
    def test_a_vm_with_old_news_does_not_wait_for_a_change(self) -> None:
        """A VM that becomes the home would otherwise be taken for one that has lost the store."""
        self.assertEqual(0.0, wait_of_read(STALE_NEWS))
        self.assertEqual(CONFIGURATION_WAIT, wait_of_read(CONFIGURATION_WAIT + 0.1))

    def test_a_follower_learns_of_changes_from_its_home(self) -> None:
        async def body(fleet: Fleet) -> None:
            _, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            await until(lambda: len(second.directory.servers) == 4)
            fleet.log.put(TOPICS.servers, "engines-0", None)
            await until(lambda: len(second.directory.servers) == 3)
            self.assertFalse(second.directory.may_receive_requests("engines-0"))

        run(body)

    def test_the_lease_goes_on_with_the_homes_news(self) -> None:
        async def body(fleet: Fleet) -> None:
            _, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            start = boot_time_clock()
            await until(lambda: second.lease.age(boot_time_clock()) < boot_time_clock() - start)

        run(body)

    def test_a_follower_whose_home_lost_the_store_reads_for_itself(self) -> None:
        """The store may turn one machine away and serve the others."""

        async def body(fleet: Fleet) -> None:
            first, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            await until(lambda: len(second.directory.servers) == 4)
            await until(lambda: not second.servers._must_read)
            first.configuration._topic._log = first.servers._topic._log = _down_log()
            document = fleet.documents.write(server(7))
            fleet.log.put(TOPICS.servers, "engines-0", None)
            fleet.log.put(TOPICS.servers, "engines-7", document)
            await until(lambda: "engines-7" in second.directory.servers)
            # The store was never away for this VM, so an entry that is gone did not lapse.
            self.assertFalse(second.directory.may_receive_requests("engines-0"))
            self.assertTrue(second.lease.is_valid(boot_time_clock()))

        run(body)

    def test_a_follower_reads_a_new_configuration_when_its_home_sees_it(self) -> None:
        async def body(fleet: Fleet) -> None:
            _, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            fleet.publish(4)
            await until(lambda: second.configuration.version == 4)

        run(body)

    def test_a_follower_that_cannot_read_the_store_gets_the_document_from_its_home(self) -> None:
        async def body(fleet: Fleet) -> None:
            _, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            second.configuration._topic._log = second.servers._topic._log = _down_log()
            fleet.publish(4)
            await until(lambda: second.configuration.version == 4)
            self.assertTrue(second.lease.is_valid(boot_time_clock()))

        run(body)

    def test_a_lease_does_not_go_on_before_a_newer_configuration_was_read(self) -> None:
        async def body(fleet: Fleet) -> None:
            _, second = fleet.start(1, 101), fleet.start(2, 102)
            await until(lambda: homes(second) == ["vm-1"])
            # A read that began before the home was found has ended then.
            await trio.sleep(CONFIGURATION_WAIT + 0.2)
            second.configuration._topic._log = _down_log()
            second.configuration.ask_home = lambda: None
            fleet.publish(4)
            await until(lambda: second.lease.age(boot_time_clock()) > 1.5)
            self.assertEqual(3, second.configuration.version)

        run(body)

    def test_a_home_that_lost_the_store_is_left(self) -> None:
        async def body(fleet: Fleet) -> None:
            first, second, third = (fleet.start(number, 100 + number) for number in (1, 2, 3))
            await until(lambda: homes(second, third) == ["vm-1", "vm-1"])
            await until(lambda: len(third.directory.servers) == 4)
            first.configuration._topic._log = first.servers._topic._log = _down_log()
            await until(lambda: homes(first, second, third) == ["vm-2"] * 3)
            start = boot_time_clock()
            await until(lambda: first.lease.age(boot_time_clock()) < boot_time_clock() - start)

        run(body)


def _down_log() -> InMemoryLog:
    log = InMemoryLog()
    log.is_down = True
    return log
