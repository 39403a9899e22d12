"""Tests of the notices of backend servers, without sockets."""

from dataclasses import replace
from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay import BackendServer, ResponseMetadata, ServerState, UnreadableHeader
from camphordrift.relay.peers._notice_distribution import NoticeDistributor
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.scheduling._request_limits import RequestLimits
from camphordrift.relay.servers._server_notices import (
    UNLISTED_RETENTION,
    ServerNotices,
    ServerPause,
    ServerStart,
    start_of,
)
from camphordrift.relay.tests.samples import server


def started(number: int, started_ms: int) -> BackendServer:
    return replace(server(number), started_ms=started_ms)


class LeavingNoticeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.notices = ServerNotices()
        self.notices.record_leaving(start_of(started(1, 50)))

    def test_the_server_and_its_earlier_starts_accept_no_requests(self) -> None:
        self.assertFalse(self.notices.accepts_requests(started(1, 50), 0.0))
        self.assertFalse(self.notices.accepts_requests(started(1, 40), 0.0))

    def test_a_later_start_and_other_servers_accept_requests(self) -> None:
        self.assertTrue(self.notices.accepts_requests(started(1, 51), 0.0))
        self.assertTrue(self.notices.accepts_requests(started(2, 50), 0.0))

    def test_a_notice_is_new_once(self) -> None:
        self.assertFalse(self.notices.record_leaving(start_of(started(1, 50))))
        self.assertFalse(self.notices.record_leaving(start_of(started(1, 40))))
        self.assertTrue(self.notices.record_leaving(start_of(started(1, 60))))
        self.assertEqual((ServerStart("engines-1", 60),), self.notices.leaving)

    def test_directory_entries_of_leaving_servers_are_draining(self) -> None:
        first, second = self.notices.apply_to([started(1, 50), started(2, 50)])
        self.assertEqual(
            (ServerState.LEAVING, ServerState.READY),
            (first.state, second.state),
        )

    def test_a_listed_server_is_never_forgotten(self) -> None:
        for now in (0.0, UNLISTED_RETENTION * 5):
            self.notices.forget_unlisted({"engines-1": started(1, 50)}, now)
        self.assertFalse(self.notices.accepts_requests(started(1, 50), 0.0))

    def test_a_removed_server_is_forgotten_later(self) -> None:
        self.notices.forget_unlisted({}, 10.0)
        self.notices.forget_unlisted({}, 9.0 + UNLISTED_RETENTION)
        self.assertFalse(self.notices.accepts_requests(started(1, 50), 0.0))
        self.notices.forget_unlisted({}, 10.0 + UNLISTED_RETENTION)
        self.assertEqual((), self.notices.leaving)

    def test_a_server_that_is_listed_again_is_kept(self) -> None:
        """Guards against a store that lists servers again after it was restored from a copy."""
        self.notices.forget_unlisted({}, 10.0)
        self.notices.forget_unlisted({"engines-1": started(1, 50)}, 20.0)
        self.notices.forget_unlisted({}, 30.0)
        self.notices.forget_unlisted({}, 29.0 + UNLISTED_RETENTION)
        self.assertFalse(self.notices.accepts_requests(started(1, 50), 0.0))

    def test_a_server_of_which_a_later_start_is_listed_is_forgotten(self) -> None:
        later = {"engines-1": started(1, 51)}
        self.notices.forget_unlisted(later, 10.0)
        self.notices.forget_unlisted(later, 10.0 + UNLISTED_RETENTION)
        self.assertEqual((), self.notices.leaving)

    @settings(derandomize=True)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("announce"), st.integers(0, 4), st.integers(0, 3)),
                st.tuples(st.just("list"), st.integers(0, 4), st.integers(0, 3)),
                st.tuples(st.just("remove"), st.integers(0, 4), st.just(0)),
                st.tuples(st.just("wait"), st.just(0), st.integers(1, 40)),
            ),
            max_size=60,
        )
    )
    def test_only_servers_that_were_not_listed_for_long_are_forgotten(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        notices, listed, now = ServerNotices(), dict[str, BackendServer](), 0.0
        announced: dict[str, int] = {}
        last_needed: dict[str, float] = {}
        for step, number, value in steps:
            name = server(number).id
            match step:
                case "announce":
                    notices.record_leaving(ServerStart(name, value))
                    announced[name] = max(value, announced.get(name, value))
                    last_needed[name] = now
                case "list":
                    listed[name] = started(number, value)
                case "remove":
                    listed.pop(name, None)
                case _:
                    now += value
            notices.forget_unlisted(listed, now)
            for key, entry in listed.items():
                if entry.started_ms <= announced.get(key, -1):
                    last_needed[key] = now
            known = dict.fromkeys(start.server_id for start in notices.leaving)
            for key, since in last_needed.items():
                if now - since < UNLISTED_RETENTION:
                    self.assertIn(key, known)
            for key in known:
                self.assertTrue(now - last_needed[key] <= UNLISTED_RETENTION + 2 * 40)


class PauseNoticeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.notices = ServerNotices()
        self.notices.record_pause(started(1, 50), 12.0)

    def test_a_server_accepts_no_requests_until_the_end_of_its_pause(self) -> None:
        self.assertFalse(self.notices.accepts_requests(started(1, 50), 11.9))
        self.assertTrue(self.notices.accepts_requests(started(1, 50), 12.0))
        self.assertTrue(self.notices.accepts_requests(started(2, 50), 11.9))

    def test_a_later_start_accepts_requests(self) -> None:
        self.assertTrue(self.notices.accepts_requests(started(1, 51), 11.0))

    def test_a_shorter_pause_does_not_replace_a_longer_one(self) -> None:
        self.assertFalse(self.notices.record_pause(started(1, 50), 11.0))
        self.assertEqual(2.0, self.notices.pause_left(started(1, 50), 10.0))

    def test_a_pausing_server_is_not_draining(self) -> None:
        self.assertFalse(self.notices.is_leaving(started(1, 50)))
        (entry,) = self.notices.apply_to([started(1, 50)])
        self.assertIs(ServerState.READY, entry.state)

    def test_a_notice_of_an_earlier_start_changes_nothing(self) -> None:
        self.assertFalse(self.notices.record_pause(started(1, 40), 20.0))
        self.assertFalse(self.notices.record_leaving(start_of(started(1, 40))))
        self.assertEqual(2.0, self.notices.pause_left(started(1, 50), 10.0))

    def test_the_pauses_of_a_service_are_those_that_have_not_ended(self) -> None:
        other = replace(started(3, 50), service="office")
        self.notices.record_pause(other, 99.0)
        pause = ServerPause(ServerStart("engines-1", 50), 2.0)
        self.assertEqual((pause,), self.notices.pauses_of("engines", 10.0))
        self.assertEqual((), self.notices.pauses_of("engines", 12.0))

    def test_a_pause_that_has_ended_is_forgotten(self) -> None:
        listed = {"engines-1": started(1, 50)}
        self.notices.forget_unlisted(listed, 11.0)
        self.assertEqual(1.0, self.notices.pause_left(started(1, 50), 11.0))
        self.notices.forget_unlisted(listed, 12.0)
        self.assertEqual({}, self.notices._notices)

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.integers(0, 2), st.floats(0.0, 5.0), st.floats(0.0, 2.0)
            ),
            max_size=40,
        )
    )
    def test_a_server_accepts_requests_when_all_its_pauses_have_ended(
        self, steps: list[tuple[int, int, float, float]]
    ) -> None:
        notices, now = ServerNotices(), 0.0
        ends: dict[tuple[int, int], float] = {}
        for number, start, seconds, wait in steps:
            entry = started(number, start)
            is_outdated = any(key[0] == number and key[1] > start for key in ends)
            notices.record_pause(entry, now + seconds)
            if not is_outdated:
                ends[number, start] = max(now + seconds, ends.get((number, start), 0.0))
            now += wait
            notices.forget_unlisted({entry.id: entry for entry in map(server, range(3))}, now)
            for (number, start), end in ends.items():
                latest = max(key[1] for key in ends if key[0] == number)
                if start == latest:
                    accepts = notices.accepts_requests(started(number, start), now)
                    self.assertEqual(end <= now, accepts)


class NoticeDistributorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.notices = ServerNotices()
        self.changes = 0
        self.pauses: list[tuple[str, ServerPause]] = []
        self.distributor = NoticeDistributor(
            self.notices,
            RequestLimits(lambda: 1.0),
            lambda: 100.0,
            self._count_change,
            self._record_pause,
            PeerLinks(),
        )

    def test_a_new_notice_is_reported_once(self) -> None:
        for _ in range(2):
            self._observe(200)
        self.assertEqual(1, self.changes)
        self.assertFalse(self.notices.accepts_requests(server(1), 0.0))

    def test_a_response_of_another_server_at_the_address_says_nothing(self) -> None:
        self._observe(421)
        self.assertTrue(self.notices.accepts_requests(server(1), 0.0))

    def test_a_pause_is_reported_with_its_seconds(self) -> None:
        self._observe_retry_after(503, 2.5)
        self.assertEqual(2.5, self.notices.pause_left(server(1), 100.0))
        pause = ServerPause(start_of(server(1)), 2.5)
        self.assertEqual([("engines", pause)], self.pauses)

    def test_retry_after_with_another_status_says_nothing(self) -> None:
        for status, seconds in ((429, 2.5), (500, 2.5), (200, 2.5), (503, 0.0), (503, None)):
            self._observe_retry_after(status, seconds)
        self.assertEqual([], self.pauses)
        self.assertTrue(self.notices.accepts_requests(server(1), 100.0))

    def test_an_unreadable_header_is_logged_with_its_server(self) -> None:
        header = UnreadableHeader("retry-after", "soon")
        metadata = ResponseMetadata("a1", signed=False, not_run=False, unreadable=(header,))
        with self.assertLogs("absl", "WARNING") as logs:
            self.distributor.observe(server(1), 503, metadata, "report", 99.0)
        (line,) = (record.getMessage() for record in logs.records)
        expected = "event=header_unreadable server=engines-1 address="
        self.assertTrue(line.startswith(expected), line)
        self.assertTrue(line.endswith("header=retry-after value=soon source=report"), line)

    def _observe_retry_after(self, status: int, seconds: Optional[float]) -> None:
        metadata = ResponseMetadata("a1", signed=False, not_run=False, retry_after=seconds)
        self.distributor.observe(server(1), status, metadata, "request", 99.0)

    def _observe(self, status: int) -> None:
        metadata = ResponseMetadata("a1", signed=False, not_run=True, leaving=True)
        self.distributor.observe(server(1), status, metadata, "request", 99.0)

    def _record_pause(self, service: str, pause: ServerPause) -> None:
        self.pauses.append((service, pause))

    def _count_change(self) -> None:
        self.changes += 1
