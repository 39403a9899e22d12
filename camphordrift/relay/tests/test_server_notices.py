"""Tests of the notices of backend servers, without sockets."""

from dataclasses import replace

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay import BackendServer, ResponseMetadata, ServerState
from camphordrift.relay._notice_distribution import NoticeDistributor
from camphordrift.relay._server_notices import (
    UNLISTED_RETENTION,
    ServerNotices,
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
        self.assertFalse(self.notices.accepts_requests(started(1, 50)))
        self.assertFalse(self.notices.accepts_requests(started(1, 40)))

    def test_a_later_start_and_other_servers_accept_requests(self) -> None:
        self.assertTrue(self.notices.accepts_requests(started(1, 51)))
        self.assertTrue(self.notices.accepts_requests(started(2, 50)))

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
        self.assertFalse(self.notices.accepts_requests(started(1, 50)))

    def test_a_removed_server_is_forgotten_later(self) -> None:
        self.notices.forget_unlisted({}, 10.0)
        self.notices.forget_unlisted({}, 9.0 + UNLISTED_RETENTION)
        self.assertFalse(self.notices.accepts_requests(started(1, 50)))
        self.notices.forget_unlisted({}, 10.0 + UNLISTED_RETENTION)
        self.assertEqual((), self.notices.leaving)

    def test_a_server_that_is_listed_again_is_kept(self) -> None:
        """Guards against a store that lists servers again after it was restored from a copy."""
        self.notices.forget_unlisted({}, 10.0)
        self.notices.forget_unlisted({"engines-1": started(1, 50)}, 20.0)
        self.notices.forget_unlisted({}, 30.0)
        self.notices.forget_unlisted({}, 29.0 + UNLISTED_RETENTION)
        self.assertFalse(self.notices.accepts_requests(started(1, 50)))

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


class NoticeDistributorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.notices = ServerNotices()
        self.changes = 0
        self.distributor = NoticeDistributor(self.notices, self._count_change)

    def test_a_new_notice_is_reported_once(self) -> None:
        for _ in range(2):
            self._observe(200)
        self.assertEqual(1, self.changes)
        self.assertFalse(self.notices.accepts_requests(server(1)))

    def test_a_response_of_another_server_at_the_address_says_nothing(self) -> None:
        self._observe(421)
        self.assertTrue(self.notices.accepts_requests(server(1)))

    def _observe(self, status: int) -> None:
        metadata = ResponseMetadata("a1", signed=False, not_run=True, leaving=True)
        self.distributor.observe(server(1), status, metadata, "request")

    def _count_change(self) -> None:
        self.changes += 1
