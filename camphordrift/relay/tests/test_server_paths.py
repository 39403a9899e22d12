"""Tests of the decision which servers a VM reaches only through other VMs."""

import testtools

from camphordrift.relay.model._settings import Address
from camphordrift.relay.peers._path_sharing import FAILURE_PERIOD, MAX_KNOWN_VMS, PathSharing
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import Member
from camphordrift.relay.servers._cut_off_vms import STATEMENT_LIFETIME, CutOffVms, PathStatement
from camphordrift.relay.servers._server_paths import (
    LOSSES_TO_CUT_OFF,
    UNREACHABLE_PERIOD,
    ServerPaths,
)


def address(number: int) -> Address:
    return Address(f"10.0.0.{number}", 80)


def member(number: int, zone: str = "z1") -> Member:
    return Member(f"vm-{number}", 1, f"10.1.0.{number}", 90, 0, zone)


class ServerPathsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.paths = ServerPaths()

    def lose(self, count: int) -> None:
        for number in range(count):
            self.paths.record_lost(address(number))

    def test_a_server_that_only_another_vm_reached_is_lost(self) -> None:
        self.lose(1)
        self.assertTrue(self.paths.is_lost(address(0)))
        self.assertFalse(self.paths.is_lost(address(1)))

    def test_a_server_that_no_vm_reached_is_not_lost(self) -> None:
        self.paths.record_unreachable(address(0), 10.0)
        self.assertFalse(self.paths.is_lost(address(0)))

    def test_other_vms_are_not_asked_at_once_for_a_server_that_none_reached(self) -> None:
        self.paths.record_unreachable(address(0), 10.0)
        self.assertFalse(self.paths.may_use_other_vm(address(0), 10.0 + UNREACHABLE_PERIOD / 2))
        self.assertTrue(self.paths.may_use_other_vm(address(0), 10.0 + UNREACHABLE_PERIOD))

    def test_after_several_losses_all_paths_count_as_lost(self) -> None:
        self.lose(LOSSES_TO_CUT_OFF - 1)
        self.assertFalse(self.paths.is_cut_off)
        self.lose(LOSSES_TO_CUT_OFF)
        self.assertTrue(self.paths.is_lost(address(99)))

    def test_one_server_lost_again_and_again_does_not_cut_a_vm_off(self) -> None:
        for _ in range(LOSSES_TO_CUT_OFF + 1):
            self.lose(1)
        self.assertFalse(self.paths.is_cut_off)

    def test_a_server_that_is_reached_ends_the_cut_but_not_the_losses(self) -> None:
        self.lose(LOSSES_TO_CUT_OFF)
        self.paths.record_reached(address(0))
        self.assertFalse(self.paths.is_cut_off)
        self.assertFalse(self.paths.is_lost(address(0)))
        self.assertTrue(self.paths.is_lost(address(1)))

    def test_servers_that_are_no_longer_listed_are_forgotten(self) -> None:
        self.lose(LOSSES_TO_CUT_OFF)
        self.paths.record_unreachable(address(50), 10.0)
        self.paths.forget_unlisted([address(1)], 10.0 + UNREACHABLE_PERIOD)
        self.assertEqual({address(1)}, set(self.paths.lost))
        self.assertFalse(self.paths.is_cut_off)


class CutOffVmsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.vms = CutOffVms()

    def test_the_latest_statement_counts_in_any_order(self) -> None:
        self.assertTrue(self.vms.merge(PathStatement("vm-1", 5, 2, False), 1.0))
        self.assertFalse(self.vms.merge(PathStatement("vm-1", 5, 1, True), 1.0))
        self.assertFalse(self.vms.is_cut_off("vm-1", 1.0))

    def test_a_vm_that_restarted_is_heard_again(self) -> None:
        self.vms.merge(PathStatement("vm-1", 5, 9, True), 1.0)
        self.assertTrue(self.vms.merge(PathStatement("vm-1", 6, 0, False), 1.0))
        self.assertFalse(self.vms.is_cut_off("vm-1", 1.0))

    def test_a_statement_that_is_not_repeated_expires(self) -> None:
        self.vms.merge(PathStatement("vm-1", 5, 0, True), 1.0)
        self.assertTrue(self.vms.is_cut_off("vm-1", 1.0))
        self.assertFalse(self.vms.is_cut_off("vm-1", 1.0 + STATEMENT_LIFETIME))
        self.assertEqual([], self.vms.current(1.0 + STATEMENT_LIFETIME))


class PathSharingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.sharing = PathSharing(member(0), lambda: self.now, PeerLinks())

    def test_a_vm_of_the_own_zone_is_asked_first_and_one_of_another_zone_next(self) -> None:
        for number in range(1, 5):
            self.sharing.add_known(member(number))
            self.sharing.add_known(member(10 + number, "z2"))
        hosts = [vm.host for vm in self.sharing.addresses()]
        self.assertIn(hosts[0], [member(number).host for number in range(1, 5)])
        self.assertIn(hosts[1], [member(10 + number).host for number in range(1, 5)])
        self.assertEqual(8, len(set(hosts)))

    def test_vms_that_are_cut_off_are_not_asked(self) -> None:
        self.sharing.add_known(member(1))
        self.sharing.handle(PathStatement("vm-1", 1, 0, True))
        self.assertEqual([], self.sharing.addresses())
        self.sharing.handle(PathStatement("vm-1", 1, 1, False))
        self.assertEqual([member(1).address], self.sharing.addresses())

    def test_a_vm_that_failed_is_asked_last_for_a_while(self) -> None:
        self.sharing.add_known(member(1))
        self.sharing.add_known(member(2, "z2"))
        self.sharing.record_failed(member(1).address)
        self.assertEqual(member(2).address, self.sharing.addresses()[0])
        self.now += FAILURE_PERIOD
        self.assertEqual(member(1).address, self.sharing.addresses()[0])

    def test_a_vm_does_not_ask_itself(self) -> None:
        self.sharing.add_known(member(0))
        self.sharing.members = lambda: [member(0)]
        self.assertEqual([], self.sharing.addresses())

    def test_the_number_of_remembered_vms_is_bounded(self) -> None:
        for number in range(1, 2 * MAX_KNOWN_VMS):
            self.sharing.add_known(member(number))
        self.assertEqual(MAX_KNOWN_VMS, len(self.sharing.addresses()))
