"""Tests of the view of backend servers."""

import testtools

from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.membership import BackendServerView, ListedServer, ServerRecord, platform_list

NAMES = tuple(BackendServerId(f"engine-{number}") for number in range(4))
FIRST = NAMES[0]


def view_with_listed_servers(*leaving: BackendServerId) -> BackendServerView:
    view = BackendServerView()
    apply_list(view, NAMES, leaving)
    return view


def apply_list(
    view: BackendServerView,
    names: tuple[BackendServerId, ...],
    leaving: tuple[BackendServerId, ...] = (),
    now: float = 0.0,
) -> None:
    listed = (
        ListedServer(server_id, f"http://10.0.1.1/{server_id}", leaving=server_id in leaving)
        for server_id in names
    )
    view.on_platform_list(platform_list(servers=tuple(listed)), now)


class BackendServerViewTest(testtools.TestCase):
    def test_response_marks_server_as_draining_while_the_list_lags(self) -> None:
        view = view_with_listed_servers()
        changes = view.on_response(FIRST, Incarnation(3), leaving=True, now=1.0)
        self.assertEqual(ServerRecord(FIRST, Incarnation(3), True), changes[0].record)
        apply_list(view, NAMES, now=2.0)
        self.assertEqual(NAMES[1:], view.usable_servers(2.0))

    def test_gossiped_record_applies_at_once_and_is_forwarded_once(self) -> None:
        view = view_with_listed_servers()
        record = ServerRecord(FIRST, Incarnation(3), leaving=True)
        self.assertEqual(1, len(view.on_record(record, 1.0)))
        self.assertEqual((), view.on_record(record, 1.1))
        self.assertFalse(view.takes_new_work(FIRST, 1.1))

    def test_server_stays_draining_until_it_restarts(self) -> None:
        view = view_with_listed_servers()
        view.on_response(FIRST, Incarnation(3), leaving=True, now=1.0)
        view.on_response(FIRST, Incarnation(3), leaving=False, now=2.0)
        self.assertFalse(view.takes_new_work(FIRST, 2.0))
        view.on_response(FIRST, Incarnation(4), leaving=False, now=3.0)
        self.assertTrue(view.takes_new_work(FIRST, 3.0))

    def test_list_marks_a_server_as_draining(self) -> None:
        self.assertEqual(NAMES[1:], view_with_listed_servers(FIRST).usable_servers(0.0))

    def test_unlisted_server_stays_usable_while_it_responds(self) -> None:
        view = view_with_listed_servers()
        view.on_response(FIRST, Incarnation(3), leaving=False, now=95.0)
        apply_list(view, NAMES[2:], now=100.0)
        self.assertEqual((FIRST, *NAMES[2:]), view.usable_servers(100.0))
        apply_list(view, NAMES[2:], now=106.0)
        self.assertEqual(NAMES[2:], view.usable_servers(106.0))

    def test_empty_list_removes_no_server(self) -> None:
        view = view_with_listed_servers()
        for now in (100.0, 1000.0):
            apply_list(view, (), now=now)
            self.assertEqual(NAMES, view.usable_servers(now))
