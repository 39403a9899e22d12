"""Tests of what a VM knows of cold servers, in virtual time."""

from dataclasses import replace
from typing import Optional

import testtools
import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from camphordrift.relay.model import BackendServer, ResponseMetadata, Service
from camphordrift.relay.peers._notice_distribution import NoticeDistributor
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import ServersCold
from camphordrift.relay.scheduling import ColdServer, ColdServers, RequestLimits
from camphordrift.relay.servers import ServerDirectory, ServerNotices, start_of
from camphordrift.relay.store import EraCheckedLog, ServersWatcher, StoreEraTracker
from camphordrift.relay.tests.samples import COSTS, TOPICS, InMemoryLog, SampleDocuments, server

#: Seconds for which a server is cold after a start, and requests per second that it takes then.
PERIOD = 6.0
RATE = 4.0

SERVICE = Service("engines", 264, COSTS, PERIOD, RATE)


def cold_servers(service: Service = SERVICE) -> ColdServers:
    cold = ColdServers()
    cold.set_services([service])
    return cold


def entry(left: Optional[float], started_ms: int = 1, number: int = 1) -> BackendServer:
    return replace(server(number), started_ms=started_ms, cold_left=left)


def cold_until(cold: ColdServers, now: float) -> Optional[float]:
    """Returns the end of the cold period of the first server."""
    ends = [now + item.left for item in cold.known(now)]
    return ends[0] if ends else None


class EntryTest(testtools.TestCase):
    def test_a_stated_time_passes_by_itself(self) -> None:
        cold = cold_servers()
        self.assertIsNotNone(cold.observe_entry(entry(3.0), (0, 1), 10.0))
        self.assertEqual({"engines-1"}, set(cold.ids(12.9)))
        self.assertEqual(set(), set(cold.ids(13.0)))

    def test_heartbeats_that_state_the_same_end_are_no_news(self) -> None:
        cold, directory = cold_servers(), ServerDirectory()
        self.assertIsNotNone(directory.put(entry(3.0), 1))
        self.assertIsNotNone(cold.observe_entry(entry(3.0), (0, 1), 10.0))
        for offset, left in ((2, 2.0), (3, 1.0), (4, 0.0)):
            now = 13.0 - left + 0.1 * offset
            self.assertIsNone(directory.put(entry(left), offset))
            self.assertIsNone(cold.observe_entry(entry(left), (0, offset), now))

    def test_an_entry_that_is_read_again_is_no_news(self) -> None:
        cold = cold_servers()
        cold.observe_entry(entry(3.0), (0, 1), 10.0)
        self.assertIsNone(cold.observe_entry(entry(3.0), (0, 1), 20.0))
        self.assertEqual(set(), set(cold.ids(20.0)))

    def test_a_server_may_become_cold_again(self) -> None:
        cold = cold_servers()
        cold.observe_entry(entry(3.0), (0, 1), 10.0)
        cold.observe_entry(entry(0.0), (0, 2), 14.0)
        self.assertIsNotNone(cold.observe_entry(entry(5.0), (0, 3), 20.0))
        self.assertEqual(25.0, cold_until(cold, 21.0))

    def test_an_entry_makes_no_server_warm(self) -> None:
        """An entry may have been written long before what is known otherwise."""
        cold = cold_servers()
        cold.observe_response(entry(None), 5.0, 10.0, 10.0)
        cold.observe_entry(entry(0.0), (0, 2), 11.0)
        self.assertEqual(15.0, cold_until(cold, 12.0))


class WatcherTest(testtools.TestCase):
    def test_entries_that_were_replaced_while_the_vm_did_not_read_say_nothing(self) -> None:
        """Guards against servers that count as cold long after the end of their period.

        In the soak (seed 1 of server_cold, 2 servers, 30 callers), a follower read the store itself
        again, as its leader was slow, and got all heartbeats since its last read. It told all VMs
        that each server which had been cold then was cold now.
        """
        read: list[Optional[float]] = []

        async def scenario() -> None:
            log, documents, eras = InMemoryLog(latency=0.01), SampleDocuments(), StoreEraTracker()
            watcher = ServersWatcher(
                EraCheckedLog(log, eras),
                eras,
                TOPICS,
                documents,
                ServerDirectory(),
                lambda changes: None,
                lambda: True,
                lambda entries: read.extend(item.cold_left for item, _ in entries),
            )
            log.put(TOPICS.servers, "engines-1", documents.write(entry(0.0)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.run)
                await trio.sleep(0.35)
                for left in (6.0, 5.0, 0.0):
                    log.put(TOPICS.servers, "engines-1", documents.write(entry(left)))
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()

        trio.run(scenario, clock=MockClock(autojump_threshold=0))
        self.assertEqual([0.0, 0.0], read)


class StartTest(testtools.TestCase):
    def test_a_later_start_is_cold_before_it_says_so(self) -> None:
        cold = cold_servers()
        self.assertEqual([], cold.observe_listed([entry(None, 1)], 0.0))
        (news,) = cold.observe_listed([entry(None, 2)], 1.0)
        self.assertEqual(ColdServer(start_of(entry(None, 2)), "engines", PERIOD, 0.0), news)
        self.assertEqual([], cold.observe_listed([entry(None, 2)], 2.0))
        self.assertEqual(1.0 + PERIOD, cold_until(cold, 2.0))

    def test_the_time_that_a_later_start_states_counts(self) -> None:
        cold = cold_servers()
        cold.observe_listed([entry(0.0, 1)], 0.0)
        cold.observe_listed([entry(2.0, 2)], 1.0)
        self.assertEqual(3.0, cold_until(cold, 2.0))

    def test_servers_that_are_listed_first_are_warm(self) -> None:
        cold = cold_servers()
        cold.observe_listed([entry(None, 1, number) for number in range(4)], 0.0)
        cold.observe_listed([entry(None, 1, number) for number in range(8)], PERIOD / 2)
        self.assertEqual(set(), set(cold.ids(PERIOD / 2)))

    def test_a_server_that_is_added_later_is_cold(self) -> None:
        cold = cold_servers()
        cold.observe_listed([entry(None, 1, 1)], 0.0)
        cold.observe_listed([entry(None, 1, 1), entry(None, 1, 2)], PERIOD + 1.0)
        self.assertEqual({"engines-2"}, set(cold.ids(PERIOD + 1.0)))

    def test_an_earlier_start_is_not_cold_again(self) -> None:
        cold = cold_servers()
        cold.observe_listed([entry(None, 5)], 0.0)
        cold.observe_listed([entry(None, 2)], 1.0)
        self.assertEqual(set(), set(cold.ids(1.0)))


class ResponseTest(testtools.TestCase):
    def test_a_response_to_a_later_request_makes_a_server_warm(self) -> None:
        cold = cold_servers()
        cold.observe_response(entry(None), 5.0, 9.0, 10.0)
        self.assertIsNone(cold.observe_response(entry(None), 0.0, 9.5, 11.0))
        self.assertEqual({"engines-1"}, set(cold.ids(11.0)))
        self.assertIsNone(cold.observe_response(entry(None), 0.0, None, 11.0))
        self.assertEqual({"engines-1"}, set(cold.ids(11.0)))
        news = cold.observe_response(entry(None), 0.0, 11.0, 11.5)
        self.assertEqual(ColdServer(start_of(entry(None)), "engines", 0.0, 0.0), news)
        self.assertEqual(set(), set(cold.ids(11.5)))

    def test_the_same_end_is_told_once(self) -> None:
        cold = cold_servers()
        news = [
            cold.observe_response(entry(None), 5.0 - step * 0.1, step * 0.1, step * 0.1 + 0.01)
            for step in range(40)
        ]
        self.assertEqual(1, sum(item is not None for item in news))


#: Times of observations in seconds. VMs state the age of an observation, so times that differ by
#: less than the rounding of that cannot be told apart.
OBSERVATION_TIMES = st.integers(0, 10_000_000).map(lambda microseconds: microseconds / 1e6)


class MergeTest(testtools.TestCase):
    @given(
        observations=st.lists(
            st.tuples(OBSERVATION_TIMES, st.floats(0.0, 8.0), st.integers(1, 3)),
            min_size=1,
            max_size=8,
            unique_by=(lambda item: item[0], lambda item: item[2:] + item[:1]),
        ),
        delays=st.lists(st.floats(0.0, 3.0), min_size=8, max_size=8),
    )
    def test_the_newest_observation_counts_in_any_order(
        self, observations: list[tuple[float, float, int]], delays: list[float]
    ) -> None:
        cold, now = cold_servers(), 20.0
        arrivals = [
            (at + delay, at, left, started)
            for (at, left, started), delay in zip(observations, delays, strict=False)
        ]
        for arrived, at, left, started in sorted(arrivals):
            remaining = max(0.0, at + left - arrived)
            start = start_of(entry(None, started))
            cold.merge(ColdServer(start, "engines", remaining, arrived - at), arrived)
        # The plain model: the latest start counts, and the newest observation of it.
        _, at, left = max((started, at, left) for at, left, started in observations)
        last = max(arrived for arrived, *_ in arrivals)
        self.assertEqual(at + left > last + 1e-6, bool(cold.ids(last + 1e-6)))
        self.assertEqual(set(), set(cold.ids(now)))

    def test_what_all_vms_know_is_not_told_again(self) -> None:
        first, second = cold_servers(), cold_servers()
        first.observe_response(entry(None), 5.0, 10.0, 10.0)
        (told,) = first.known(11.0)
        self.assertTrue(second.merge(told, 11.0))
        self.assertFalse(second.merge(told, 11.0))
        # The time that messages take makes an observation look younger than it is.
        (returned,) = second.known(11.2)
        self.assertFalse(first.merge(returned, 11.25))

    def test_a_start_that_another_vm_told_is_no_news(self) -> None:
        cold = cold_servers()
        cold.observe_listed([entry(None, 1)], 0.0)
        cold.merge(ColdServer(start_of(entry(None, 2)), "engines", 1.0, 0.0), 5.0)
        self.assertEqual([], cold.observe_listed([entry(None, 2)], 5.1))
        self.assertEqual(6.0, cold_until(cold, 5.2))


class EndTest(testtools.TestCase):
    def test_each_end_is_returned_once(self) -> None:
        cold = cold_servers()
        cold.observe_entry(entry(3.0), (0, 1), 10.0)
        self.assertEqual([], cold.take_ended(12.0))
        self.assertEqual([start_of(entry(None))], [item.start for item in cold.take_ended(13.0)])
        self.assertEqual([], cold.take_ended(14.0))

    def test_ended_periods_are_forgotten(self) -> None:
        cold = cold_servers()
        cold.observe_entry(entry(3.0), (0, 1), 10.0)
        cold.take_ended(13.0)
        cold.forget_ended(100.0)
        self.assertEqual({}, cold._periods)


class ChurnTest(testtools.TestCase):
    def test_servers_that_are_gone_take_no_memory(self) -> None:
        cold = cold_servers()
        for number in range(1, 501):
            listed = entry(0.0, number=number)
            cold.observe_listed([listed], float(number))
            cold.observe_entry(listed, (0, number), float(number))
        self.assertLessEqual(len(cold._starts) + len(cold._positions), 4)


class DistributorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limits = RequestLimits(lambda: 1.0)
        self.sent: list[object] = []
        self.links = PeerLinks()
        self.links.send = self.sent.append  # type: ignore[method-assign, assignment]
        self.distributor = NoticeDistributor(
            ServerNotices(), self.limits, lambda: 50.0, lambda: None, lambda *_: None, self.links
        )

    def _observe(self, status: int, left: Optional[float]) -> None:
        metadata = ResponseMetadata("a1", signed=False, not_run=False, cold_left=left)
        self.distributor.observe(server(1), status, metadata, "report", 49.0)

    def test_news_are_sent_to_other_vms_once(self) -> None:
        self.limits.cold.set_services([SERVICE])
        for _ in range(2):
            self._observe(200, 3.0)
        told = ColdServer(start_of(server(1)), "engines", 3.0, 0.0)
        self.assertEqual([ServersCold((told,))], self.sent)

    def test_a_response_of_another_server_at_the_address_says_nothing(self) -> None:
        self.limits.cold.set_services([SERVICE])
        self._observe(421, 3.0)
        self.assertEqual([], self.sent)

    def test_nothing_happens_unless_the_service_mentions_cold_servers(self) -> None:
        """Guards earlier deployments: their entries and responses state times as well."""
        self.limits.cold.set_services([Service("engines", 264, COSTS)])
        self._observe(200, 3.0)
        self.distributor.record_listed([entry(None, 1)])
        self.distributor.record_listed([entry(3.0, 2), entry(3.0, 1, 2)])
        self.distributor.record_entries([(entry(3.0, 3), (0, 1))])
        self.assertEqual([], self.sent)
        self.assertEqual(set(), set(self.limits.cold.ids(50.0)))
        self.assertFalse(self.limits.has_limit(entry(None, 3), 50.0))
        self.assertFalse(self.limits.may_limit(50.0))
