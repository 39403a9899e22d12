"""Tests of single components of the relay, without sockets."""

import dataclasses
from typing import Any, cast

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay import RetryBudgetSettings, Route, ServerState, ServiceShare
from camphordrift.relay.connections._events import MAX_EVENT_ID, EventSplitter, StreamEvent
from camphordrift.relay.connections._http_server import ResponseWriter
from camphordrift.relay.requests._caller_sink import CallerStream
from camphordrift.relay.scheduling._plain_servers import PlainServerBalancer
from camphordrift.relay.scheduling._retry_budget import RetryBudget
from camphordrift.relay.servers._server_directory import (
    EXPIRY_GRACE,
    DirectoryChange,
    ServerDirectory,
)
from camphordrift.relay.store._configuration_lease import (
    RESTORE_SETTLING_PERIOD,
    ConfigurationLease,
)
from camphordrift.relay.store._routing_table import RoutingTable, choose_service
from camphordrift.relay.tests.samples import CONFIGURATION, ONCE, STREAM, server


class RoutingTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        longer = dataclasses.replace(ONCE, name="longer", path_prefix="/quick/deep/")
        self.table = RoutingTable(dataclasses.replace(CONFIGURATION, routes=(STREAM, ONCE, longer)))

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual("quick", self._name("a.example", "/quick/x"))
        self.assertEqual("longer", self._name("a.example", "/quick/deep/x/y"))

    def test_prefix_ends_at_slash(self) -> None:
        self.assertIsNone(self.table.find_route("a.example", "/quickly/x"))
        self.assertIsNone(self.table.find_route("a.example", "/quick"))

    def test_query_port_and_host_case_are_ignored(self) -> None:
        self.assertEqual("quick", self._name("A.Example:8080", "/quick/x?to=/book/"))

    def test_unknown_host_has_no_route(self) -> None:
        self.assertIsNone(self.table.find_route("b.example", "/quick/x"))

    def test_a_path_of_slashes_is_not_looked_up_for_each_of_them(self) -> None:
        # Guards against a request that occupies the event loop, as each lookup copies the path.
        lookups: list[str] = []

        class CountedRoutes(dict[str, Route]):
            def get(self, key: str, default: Any = None) -> Any:
                lookups.append(key)
                return super().get(key, default)

        routes = self.table._routes
        self.table._routes["a.example"] = CountedRoutes(routes["a.example"])
        self.assertIsNone(self.table.find_route("a.example", "/" * 60_000))
        self.assertTrue(len(lookups) <= len("/quick/deep/"), len(lookups))

    @settings(derandomize=True)
    @given(
        st.lists(st.text("/ab", max_size=6).map(lambda text: f"/{text}/"), max_size=6),
        st.text("/ab?", max_size=20),
    )
    def test_the_route_is_that_of_the_longest_prefix(self, prefixes: list[str], path: str) -> None:
        routes = tuple(
            dataclasses.replace(STREAM, name=prefix, path_prefix=prefix) for prefix in prefixes
        )
        table = RoutingTable(dataclasses.replace(CONFIGURATION, routes=routes))
        found = table.find_route("a.example", path)
        matching = [prefix for prefix in prefixes if path.partition("?")[0].startswith(prefix)]
        longest = max(matching, key=len, default=None)
        self.assertEqual(longest, None if found is None else found.name)

    def _name(self, host: str, path: str) -> str:
        route = self.table.find_route(host, path)
        assert route is not None
        return route.name


class ChooseServiceTest(testtools.TestCase):
    def test_services_are_chosen_by_weight(self) -> None:
        shares = (ServiceShare("a", 90.0), ServiceShare("b", 10.0))
        chosen = [choose_service(shares, point / 1000) for point in range(1000)]
        self.assertEqual(900, chosen.count("a"))

    def test_service_with_zero_weight_is_never_chosen(self) -> None:
        shares = (ServiceShare("a", 0.0), ServiceShare("b", 1.0))
        self.assertEqual({"b"}, {choose_service(shares, point / 100) for point in range(100)})


class ConfigurationLeaseTest(testtools.TestCase):
    def test_lease_starts_when_request_was_sent(self) -> None:
        lease = ConfigurationLease(5.0, margin=0.5)
        self.assertFalse(lease.is_valid(0.0))
        lease.confirm(10.0)
        self.assertTrue(lease.is_valid(14.4))
        self.assertFalse(lease.is_valid(14.5))

    def test_late_response_to_older_request_does_not_shorten_lease(self) -> None:
        lease = ConfigurationLease(5.0, margin=0.5)
        lease.confirm(10.0)
        lease.confirm(7.0)
        self.assertTrue(lease.is_valid(14.0))

    def test_reads_shortly_after_a_restore_confirm_nothing(self) -> None:
        lease = ConfigurationLease(5.0, margin=0.5)
        lease.confirm(10.0)
        lease.record_restore(11.0)
        lease.confirm(11.0 + RESTORE_SETTLING_PERIOD - 0.1)
        self.assertEqual(5.0, lease.age(15.0))
        lease.confirm(11.0 + RESTORE_SETTLING_PERIOD)
        self.assertEqual(15.0 - 11.0 - RESTORE_SETTLING_PERIOD, lease.age(15.0))

    def test_reads_that_confirm_nothing_count_for_the_age_of_the_last_read(self) -> None:
        lease = ConfigurationLease(5.0)
        lease.record_restore(11.0)
        lease.confirm(12.0)
        self.assertEqual((float("inf"), 0.5), (lease.age(12.5), lease.read_age(12.5)))

    def test_another_vm_that_noticed_the_restore_earlier_shortens_the_wait(self) -> None:
        lease = ConfigurationLease(5.0)
        lease.record_restore(11.0)
        lease.record_peer_restore(10.5)
        lease.record_peer_restore(10.8)
        self.assertEqual(2.0, lease.restore_age(12.5))

    def test_a_vm_that_started_after_a_restore_learns_that_its_reads_confirmed_nothing(
        self,
    ) -> None:
        """Guards against a key that a lost configuration removed before this VM started."""
        lease = ConfigurationLease(5.0)
        lease.confirm(11.0)
        lease.record_peer_restore(10.0)
        self.assertFalse(lease.is_valid(11.5))
        lease.confirm(10.0 + RESTORE_SETTLING_PERIOD)
        self.assertTrue(lease.is_valid(12.5))

    def test_a_restore_long_ago_does_not_end_the_lease_of_a_vm_that_started_since(self) -> None:
        lease = ConfigurationLease(5.0)
        lease.confirm(100.0)
        lease.record_peer_restore(10.0)
        self.assertTrue(lease.is_valid(101.0))


class RetryBudgetTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.tuples(st.floats(0.0, 0.2), st.integers(0, 4)), max_size=300))
    def test_all_vms_together_stay_within_budget(self, steps: list[tuple[float, int]]) -> None:
        budget_settings = RetryBudgetSettings(0.2, 100.0, 10.0)
        budgets = [RetryBudget(budget_settings, 5) for _ in range(5)]
        now, requests, retries = 0.0, [], []
        for step, vm in steps:
            now += step
            budgets[vm].record_request(now)
            requests.append(now)
            if budgets[vm].try_retry(now):
                retries.append(now)
            retries_in_window = [time for time in retries if time > now - budget_settings.window]
            requests_in_window = [time for time in requests if time > now - budget_settings.window]
            self.assertTrue(
                len(retries_in_window)
                <= budget_settings.ratio * len(requests_in_window) + budget_settings.slack
            )

    def test_retries_are_limited_during_outage(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(0.2, 100.0, 10.0), 7)
        allowed = 0
        for number in range(1000):
            budget.record_request(number * 0.01)
            allowed += budget.try_retry(number * 0.01)
        self.assertTrue(allowed <= 0.2 * 1000 + 100 / 7)


class EventSplitterTest(testtools.TestCase):
    @settings(derandomize=True)
    @given(st.lists(st.integers(1, 40), max_size=20), st.integers(0, 12))
    def test_events_do_not_depend_on_chunk_boundaries(
        self, chunk_sizes: list[int], count: int
    ) -> None:
        data = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(count))
        splitter = EventSplitter()
        events, position = [], 0
        for size in [*chunk_sizes, len(data)]:
            events += splitter.feed(data[position : position + size])
            position += size
        self.assertEqual(list(range(count)), [event.id for event in events])
        self.assertEqual(data, b"".join(event.data for event in events))
        self.assertFalse(splitter.has_partial_event)

    def test_partial_event_is_buffered(self) -> None:
        splitter = EventSplitter()
        self.assertEqual([], splitter.feed(b"id: 1\ndata: x\n"))
        self.assertTrue(splitter.has_partial_event)

    def test_event_may_have_lines_before_id(self) -> None:
        (event,) = EventSplitter().feed(b"weights: 2\nid: 7\ndata: x\n\n")
        self.assertEqual(7, event.id)

    def test_an_id_that_is_no_usable_number_is_no_id(self) -> None:
        # Guards against a ValueError for ids of thousands of digits, which ends the response.
        for text in (b"9" * 5000, b"9" * 19, b"-1", b"1e3", b"1_0", b"\xb2", b"", b"x"):
            (event,) = EventSplitter().feed(b"id: " + text + b"\ndata: x\n\n")
            self.assertIsNone(event.id, repr(text))
        (event,) = EventSplitter().feed(b"id: %d\ndata: x\n\n" % MAX_EVENT_ID)
        self.assertEqual(MAX_EVENT_ID, event.id)

    def test_a_stream_is_not_resumed_after_an_id_that_is_no_usable_number(self) -> None:
        # Guards against a ValueError for ids of callers, such as a digit in superscript.
        for text in ("\xb2", "9" * 5000, "9" * 19, "-1", "x", ""):
            stream = CallerStream(cast(ResponseWriter, None), text)
            event = StreamEvent(b"id: 1\ndata: x\n\n", 1)
            self.assertEqual([event], stream.select_new([event]), repr(text))


class ServerDirectoryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = ServerDirectory()
        self.directory.put(server(1), 1)

    def test_removed_entry_removes_server(self) -> None:
        self.assertIsNotNone(self.directory.remove("engines-1", 2, 10.0))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))

    def test_entry_that_expires_after_store_failure_is_kept_until_renewed(self) -> None:
        self.directory.record_store_failure(10.0)
        self.assertIsNone(self.directory.remove("engines-1", 2, 10.5))
        self.directory.put(server(1), 3)
        self.assertEqual([], self.directory.expire(10.0 + EXPIRY_GRACE))
        self.assertTrue(self.directory.may_receive_requests("engines-1"))

    def test_entry_not_renewed_after_store_failure_is_removed(self) -> None:
        self.directory.record_store_failure(10.0)
        self.directory.remove("engines-1", 2, 10.5)
        self.assertEqual([], self.directory.expire(10.0 + EXPIRY_GRACE - 0.1))
        self.assertEqual(1, len(self.directory.expire(10.0 + EXPIRY_GRACE)))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))

    def test_draining_server_accepts_no_requests(self) -> None:
        self.directory.put(dataclasses.replace(server(1), state=ServerState.LEAVING), 2)
        self.assertFalse(self.directory.may_receive_requests("engines-1"))
        self.assertEqual([], self.directory.ready_servers("engines"))

    def test_server_unknown_to_this_vm_may_get_requests(self) -> None:
        self.assertTrue(self.directory.may_receive_requests("engines-9"))

    def test_new_snapshot_replaces_entries(self) -> None:
        self.directory.put(server(2), 2)
        self.assertEqual(1, len(self.directory.remove_all_except(["engines-2"], 9, 10.0)))
        self.assertEqual(["engines-2"], list(self.directory.servers))

    def test_older_change_is_ignored(self) -> None:
        """A VM that reads the log itself after its leader failed may read old records again."""
        leaving = dataclasses.replace(server(1), state=ServerState.LEAVING)
        self.directory.put(leaving, 5)
        self.assertIsNone(self.directory.put(server(1), 4))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))
        self.assertEqual(
            [], self.directory.apply_changes([DirectoryChange("engines-1", None, 4)], 0.0)
        )

    def test_heartbeat_with_same_entry_is_no_change(self) -> None:
        self.assertIsNone(self.directory.put(server(1), 2))

    def test_changes_from_another_vm_are_applied(self) -> None:
        listed = DirectoryChange("engines-2", server(2), 7)
        self.assertEqual([listed], self.directory.apply_changes([listed], 0.0))
        removed = DirectoryChange("engines-2", None, 9)
        self.assertEqual([removed], self.directory.apply_changes([removed], 0.0))
        self.assertFalse(self.directory.may_receive_requests("engines-2"))


class RestoredServerDirectoryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ready = dataclasses.replace(server(1), started_ms=1000)
        self.draining = dataclasses.replace(self.ready, state=ServerState.LEAVING)
        self.directory = ServerDirectory()
        self.directory.put(self.ready, 50, 1)

    def test_offsets_are_compared_within_an_era(self) -> None:
        self.assertIsNotNone(self.directory.put(self.draining, 3, 2))
        self.assertIsNone(self.directory.put(self.ready, 60, 1))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))

    def test_an_entry_that_is_written_again_unchanged_is_forwarded(self) -> None:
        """Guards against a follower that read the store while the entry was missing."""
        renewal = DirectoryChange("engines-1", self.ready, 3, 2, is_renewal=True)
        self.assertEqual(renewal, self.directory.put(self.ready, 3, 2))
        self.assertIsNone(self.directory.put(self.ready, 4, 2))
        self.directory.record_restore(2, 10.0)
        self.directory.remove("engines-1", 5, 10.1, 2)
        renewal = DirectoryChange("engines-1", self.ready, 6, 2, is_renewal=True)
        self.assertEqual(renewal, self.directory.put(self.ready, 6, 2))

    def test_a_later_start_replaces_a_draining_one(self) -> None:
        self.directory.put(self.draining, 51, 1)
        self.directory.put(self.ready, 3, 2)
        self.assertFalse(self.directory.may_receive_requests("engines-1"))
        self.directory.put(dataclasses.replace(self.ready, started_ms=2000), 4, 2)
        self.assertTrue(self.directory.may_receive_requests("engines-1"))

    def test_draining_that_is_learned_late_counts(self) -> None:
        """Guards against requests to a server that another VM read as draining."""
        self.directory.put(self.ready, 3, 2)
        late = DirectoryChange("engines-1", self.draining, 55, 1)
        self.assertEqual(1, len(self.directory.apply_changes([late], 0.0)))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))

    def test_a_listing_of_an_earlier_era_is_ignored(self) -> None:
        """Guards against a server that no later record removes."""
        self.directory.record_restore(2, 0.0)
        late = DirectoryChange("engines-2", server(2), 55, 1)
        self.assertEqual([], self.directory.apply_changes([late], 0.0))

    def test_a_second_restore_extends_the_grace_period(self) -> None:
        self.directory.record_restore(2, 10.0)
        self.assertEqual([], self.directory.remove_all_except([], 5, 10.1, 2))
        self.directory.record_restore(3, 10.5)
        self.assertEqual([], self.directory.remove_all_except([], 5, 10.6, 3))
        self.assertEqual([], self.directory.expire(10.4 + EXPIRY_GRACE))
        self.assertEqual(1, len(self.directory.expire(10.5 + EXPIRY_GRACE)))

    def test_a_deferred_entry_that_is_removed_again_is_never_listed(self) -> None:
        self.directory.remove("engines-1", 51, 9.0, 1)
        self.directory.record_restore(2, 10.0)
        self.assertIsNone(self.directory.put(self.ready, 3, 2))
        self.assertIsNone(self.directory.remove("engines-1", 4, 11.0, 2))
        self.assertEqual([], self.directory.expire(10.0 + EXPIRY_GRACE))
        self.assertFalse(self.directory.may_receive_requests("engines-1"))


class PlainServerBalancerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.servers = [server(number, "office") for number in (1, 2, 3)]
        self.balancer = PlainServerBalancer()

    def test_requests_are_spread_over_servers(self) -> None:
        chosen = [self._choose() for _ in range(6)]
        self.assertEqual({"office-1": 2, "office-2": 2, "office-3": 2}, _count_by_name(chosen))

    def test_failed_server_is_avoided(self) -> None:
        first = self._choose()
        self.balancer.record_finished(first, True, 0.0)
        self.assertNotIn(first, [self._choose() for _ in range(6)])

    def test_failed_servers_are_used_if_there_are_no_others(self) -> None:
        for _ in range(3):
            self.balancer.record_finished(self._choose(), True, 0.0)
        self.assertIsNotNone(self._choose())

    def test_excluded_server_is_not_chosen(self) -> None:
        chosen = self.balancer.choose(self.servers, "z1", ["office-1", "office-2"], 0.0)
        assert chosen is not None
        self.assertEqual("office-3", chosen.id)

    def test_no_other_request_is_sent_to_the_server_of_an_isolated_one(self) -> None:
        isolated = self._choose(isolated=True)
        self.assertNotIn(isolated, [self._choose() for _ in range(6)])
        self.assertNotEqual(isolated, self._choose(isolated=True))

    def test_the_server_of_an_isolated_request_is_used_after_its_end(self) -> None:
        isolated = self._choose(isolated=True)
        self.balancer.record_finished(isolated, False, 0.0, isolated=True)
        self.assertIn(isolated, [self._choose() for _ in range(6)])

    def test_the_server_of_an_isolated_request_is_used_if_there_is_no_other(self) -> None:
        for _ in range(3):
            self._choose(isolated=True)
        self._choose()

    def _choose(self, isolated: bool = False) -> str:
        chosen = self.balancer.choose(self.servers, "z1", [], 0.0, isolated)
        assert chosen is not None
        return chosen.id


def _count_by_name(names: list[str]) -> dict[str, int]:
    return {name: names.count(name) for name in sorted(set(names))}
