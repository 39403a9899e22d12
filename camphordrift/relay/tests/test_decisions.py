"""Tests of the relay's small decisions."""

import dataclasses

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay import RetryBudgetSettings, ServerState, ServiceShare
from camphordrift.relay._configuration_lease import ConfigurationLease
from camphordrift.relay._events import EventSplitter
from camphordrift.relay._plain_servers import PlainServerBalancer
from camphordrift.relay._retry_budget import RetryBudget
from camphordrift.relay._routing_table import RoutingTable, choose_service
from camphordrift.relay._server_directory import (
    EXPIRY_GRACE,
    DirectoryChange,
    ServerDirectory,
)
from camphordrift.relay.tests.samples import CONFIGURATION, ONCE, STREAM, server


class RoutingTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        longer = dataclasses.replace(ONCE, name="longer", path_prefix="/quick/deep/")
        self.table = RoutingTable(dataclasses.replace(CONFIGURATION, routes=(STREAM, ONCE, longer)))

    def test_the_longest_prefix_wins(self) -> None:
        self.assertEqual("quick", self._name("a.example", "/quick/x"))
        self.assertEqual("longer", self._name("a.example", "/quick/deep/x/y"))

    def test_a_prefix_ends_at_a_slash(self) -> None:
        self.assertIsNone(self.table.find_route("a.example", "/quickly/x"))
        self.assertIsNone(self.table.find_route("a.example", "/quick"))

    def test_query_port_and_case_of_the_host_do_not_matter(self) -> None:
        self.assertEqual("quick", self._name("A.Example:8080", "/quick/x?to=/book/"))

    def test_another_host_has_no_route(self) -> None:
        self.assertIsNone(self.table.find_route("b.example", "/quick/x"))

    def _name(self, host: str, path: str) -> str:
        route = self.table.find_route(host, path)
        assert route is not None
        return route.name


class ChooseServiceTest(testtools.TestCase):
    def test_shares_follow_their_weights(self) -> None:
        shares = (ServiceShare("a", 90.0), ServiceShare("b", 10.0))
        chosen = [choose_service(shares, point / 1000) for point in range(1000)]
        self.assertEqual(900, chosen.count("a"))

    def test_a_share_of_zero_is_never_chosen(self) -> None:
        shares = (ServiceShare("a", 0.0), ServiceShare("b", 1.0))
        self.assertEqual({"b"}, {choose_service(shares, point / 100) for point in range(100)})


class ConfigurationLeaseTest(testtools.TestCase):
    def test_it_counts_from_the_question(self) -> None:
        lease = ConfigurationLease(5.0, margin=0.5)
        self.assertFalse(lease.is_valid(0.0))
        lease.confirm(10.0)
        self.assertTrue(lease.is_valid(14.4))
        self.assertFalse(lease.is_valid(14.5))

    def test_a_late_answer_to_an_old_question_does_not_shorten_it(self) -> None:
        lease = ConfigurationLease(5.0, margin=0.5)
        lease.confirm(10.0)
        lease.confirm(7.0)
        self.assertTrue(lease.is_valid(14.0))


class RetryBudgetTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.tuples(st.floats(0.0, 0.2), st.integers(0, 4)), max_size=300))
    def test_all_vms_together_stay_within_the_budget(self, steps: list[tuple[float, int]]) -> None:
        terms = RetryBudgetSettings(0.2, 100.0, 10.0)
        budgets = [RetryBudget(terms, 5) for _ in range(5)]
        now, requests, repeats = 0.0, [], []
        for step, vm in steps:
            now += step
            budgets[vm].record_request(now)
            requests.append(now)
            if budgets[vm].try_retry(now):
                repeats.append(now)
            in_window = [moment for moment in repeats if moment > now - terms.window]
            asked = [moment for moment in requests if moment > now - terms.window]
            self.assertTrue(len(in_window) <= terms.ratio * len(asked) + terms.slack)

    def test_an_outage_is_not_multiplied(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(0.2, 100.0, 10.0), 7)
        allowed = 0
        for number in range(1000):
            budget.record_request(number * 0.01)
            allowed += budget.try_retry(number * 0.01)
        self.assertTrue(allowed <= 0.2 * 1000 + 100 / 7)


class EventSplitterTest(testtools.TestCase):
    @settings(derandomize=True)
    @given(st.lists(st.integers(1, 40), max_size=20), st.integers(0, 12))
    def test_any_cut_gives_the_same_events(self, cuts: list[int], count: int) -> None:
        whole = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(count))
        splitter = EventSplitter()
        events, position = [], 0
        for size in [*cuts, len(whole)]:
            events += splitter.feed(whole[position : position + size])
            position += size
        self.assertEqual(list(range(count)), [event.id for event in events])
        self.assertEqual(whole, b"".join(event.data for event in events))
        self.assertFalse(splitter.has_partial_event)

    def test_an_unfinished_event_is_kept_back(self) -> None:
        splitter = EventSplitter()
        self.assertEqual([], splitter.feed(b"id: 1\ndata: x\n"))
        self.assertTrue(splitter.has_partial_event)

    def test_a_line_before_the_id_belongs_to_the_event(self) -> None:
        (event,) = EventSplitter().feed(b"weights: 2\nid: 7\ndata: x\n\n")
        self.assertEqual(7, event.id)


class ServerDirectoryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = ServerDirectory()
        self.directory.put(server(1), 1)

    def test_an_entry_that_disappears_takes_the_server_out(self) -> None:
        self.assertIsNotNone(self.directory.remove("engines-1", 2, 10.0))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))

    def test_an_entry_that_lapses_after_trouble_is_kept_until_it_is_back(self) -> None:
        self.directory.record_store_failure(10.0)
        self.assertIsNone(self.directory.remove("engines-1", 2, 10.5))
        self.directory.put(server(1), 3)
        self.assertEqual([], self.directory.expire(10.0 + EXPIRY_GRACE))
        self.assertTrue(self.directory.may_receive_requests("engines-1"))

    def test_an_entry_that_stays_away_after_trouble_is_gone(self) -> None:
        self.directory.record_store_failure(10.0)
        self.directory.remove("engines-1", 2, 10.5)
        self.assertEqual([], self.directory.expire(10.0 + EXPIRY_GRACE - 0.1))
        self.assertEqual(1, len(self.directory.expire(10.0 + EXPIRY_GRACE)))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))

    def test_a_leaving_server_takes_no_work(self) -> None:
        self.directory.put(dataclasses.replace(server(1), state=ServerState.LEAVING), 2)
        self.assertFalse(self.directory.may_receive_requests("engines-1"))
        self.assertEqual([], self.directory.ready("engines"))

    def test_a_server_that_only_others_know_may_get_work(self) -> None:
        self.assertTrue(self.directory.may_receive_requests("engines-9"))

    def test_a_list_that_was_read_anew_replaces_the_old_one(self) -> None:
        self.directory.put(server(2), 2)
        self.assertEqual(1, len(self.directory.remove_all_except(["engines-2"], 9, 10.0)))
        self.assertEqual(["engines-2"], list(self.directory.servers))

    def test_older_news_change_nothing(self) -> None:
        """A VM that reads for itself after its home failed may read what it knows already."""
        leaving = dataclasses.replace(server(1), state=ServerState.LEAVING)
        self.directory.put(leaving, 5)
        self.assertIsNone(self.directory.put(server(1), 4))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))
        self.assertEqual([], self.directory.apply([DirectoryChange("engines-1", None, 4)], 0.0))

    def test_a_heartbeat_that_says_nothing_new_is_no_change(self) -> None:
        self.assertIsNone(self.directory.put(server(1), 2))

    def test_changes_that_another_vm_read_are_taken_over(self) -> None:
        listed = DirectoryChange("engines-2", server(2), 7)
        self.assertEqual([listed], self.directory.apply([listed], 0.0))
        removed = DirectoryChange("engines-2", None, 9)
        self.assertEqual([removed], self.directory.apply([removed], 0.0))
        self.assertFalse(self.directory.may_receive_requests("engines-2"))


class PlainServerChooserTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.servers = [server(number, "office") for number in (1, 2, 3)]
        self.chooser = PlainServerBalancer()

    def test_requests_spread_over_servers(self) -> None:
        chosen = [self._choose() for _ in range(6)]
        self.assertEqual({"office-1": 2, "office-2": 2, "office-3": 2}, _counts(chosen))

    def test_a_failing_server_is_left_alone(self) -> None:
        first = self._choose()
        self.chooser.record_finished(first, True, 0.0)
        self.assertNotIn(first, [self._choose() for _ in range(6)])

    def test_failing_servers_are_used_when_there_are_no_others(self) -> None:
        for _ in range(3):
            self.chooser.record_finished(self._choose(), True, 0.0)
        self.assertIsNotNone(self._choose())

    def test_an_excluded_server_is_not_chosen(self) -> None:
        chosen = self.chooser.choose(self.servers, "z1", ["office-1", "office-2"], 0.0)
        assert chosen is not None
        self.assertEqual("office-3", chosen.id)

    def _choose(self) -> str:
        chosen = self.chooser.choose(self.servers, "z1", [], 0.0)
        assert chosen is not None
        return chosen.id


def _counts(names: list[str]) -> dict[str, int]:
    return {name: names.count(name) for name in sorted(set(names))}
