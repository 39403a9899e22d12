"""Tests of the decision whether a server that ended a connection has crashed."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Optional, Union

import testtools
import trio

from camphordrift.relay import BackendServer
from camphordrift.relay.connections import ByteStream, NoPathError, PathBrokenError
from camphordrift.relay.crashes import RESTART_PERIOD
from camphordrift.relay.crashes._crash_analysis import CRASHES_TO_QUARANTINE
from camphordrift.relay.peers import CrashMonitor, PeerLinks
from camphordrift.relay.requests._crash_checks import MAX_CHECK_TIME, OPEN_TIME, CrashChecks
from camphordrift.relay.servers import ServerDirectory
from camphordrift.relay.tests.samples import server
from camphordrift.testing import run_in_virtual_time

#: Seconds between two crashes, so that they do not count as one.
CRASH_INTERVAL = 1.0

#: The request whose response was not complete.
TRAITS = ("part", "request:1")


class _Connection(ByteStream):
    """A connection on which the server sends nothing, and that ends after a while or never."""

    def __init__(
        self, ends_after: float = float("inf"), error: Optional[Exception] = None, data: bytes = b""
    ) -> None:
        self._ends_after = ends_after
        self._error = error
        self._data = data
        self.is_closed = False

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        await trio.sleep(self._ends_after)
        if self._error is not None:
            raise self._error
        return self._data

    def abort(self) -> None:
        self.is_closed = True


class CrashChecksCase(testtools.TestCase):
    """Base class with a monitor, a directory, and what becomes of connections to the servers."""

    def setUp(self) -> None:
        super().setUp()
        self.monitor = CrashMonitor("vm-1", trio.current_time, PeerLinks())
        self.directory = ServerDirectory()
        #: What the next connections yield; the last one again and again.
        self.outcomes: list[Union[_Connection, OSError]] = [_Connection()]
        self.connections = 0

    async def connect(self, host: str, port: int, timeout: float) -> ByteStream:
        self.connections += 1
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        if isinstance(outcome, OSError):
            raise outcome
        return outcome

    def run_checks(self, scenario: Callable[[CrashChecks], Awaitable[None]]) -> None:
        """Runs a scenario with checks, in virtual time."""

        async def main() -> None:
            checks = CrashChecks(self.monitor, self.directory, self.connect, trio.current_time)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(checks.run)
                await scenario(checks)
                nursery.cancel_scope.cancel()

        for number in range(CRASHES_TO_QUARANTINE):
            self.directory.put(server(number), number)
        run_in_virtual_time(main)

    def quarantined(self) -> bool:
        return self.monitor.quarantine_seconds_left(TRAITS) > 0

    async def end_connections(self, checks: CrashChecks) -> None:
        """Lets so many servers end a connection that their crashes cause a quarantine."""
        for number in range(CRASHES_TO_QUARANTINE):
            checks.suspect(server(number), TRAITS)
            await trio.sleep(CRASH_INTERVAL)

    def check_quarantined(self, expected: bool, *outcomes: Union[_Connection, OSError]) -> None:
        """Checks whether servers that end connections, and yield ``outcomes`` next, count."""
        self.outcomes = list(outcomes)

        async def scenario(checks: CrashChecks) -> None:
            await self.end_connections(checks)
            self.assertEqual(expected, self.quarantined())
            self.assertEqual(expected, self.monitor.is_suspect(TRAITS))

        self.run_checks(scenario)


class ConnectionTest(CrashChecksCase):
    """Guards against sound parts of prompts that are quarantined because of faulty servers."""

    def test_a_server_that_accepts_another_connection_has_not_crashed(self) -> None:
        connection = _Connection()
        self.check_quarantined(False, connection)
        self.assertTrue(connection.is_closed)

    def test_a_server_that_sends_something_has_not_crashed(self) -> None:
        self.check_quarantined(False, _Connection(0.01, data=b"HTTP/1.1 408 Timeout\r\n\r\n"))

    def test_a_server_that_refuses_connections_has_crashed(self) -> None:
        self.check_quarantined(True, ConnectionRefusedError("refused"))

    def test_a_server_whose_connections_end_at_once_has_crashed(self) -> None:
        """A process in front of a server may accept connections that the server refuses."""
        self.check_quarantined(True, _Connection(OPEN_TIME / 2))

    def test_a_server_whose_connections_are_reset_at_once_has_crashed(self) -> None:
        self.check_quarantined(True, _Connection(OPEN_TIME / 2, trio.BrokenResourceError()))

    def test_a_server_that_no_vm_reaches_is_checked_until_it_is_reached(self) -> None:
        """A VM that is cut off from servers cannot tell which of them have crashed."""
        self.check_quarantined(False, *self._unreachable(), _Connection())

    def test_a_server_that_no_vm_reaches_is_checked_until_it_refuses_connections(self) -> None:
        self.check_quarantined(True, *self._unreachable(), ConnectionRefusedError("refused"))

    def _unreachable(self) -> list[Union[_Connection, OSError]]:
        broken = _Connection(0.01, PathBrokenError("no route"))
        return [NoPathError("no path"), TimeoutError("timed out"), broken]

    def test_a_server_that_is_never_reached_counts_as_unknown(self) -> None:
        self.outcomes = [NoPathError("no path")]

        async def scenario(checks: CrashChecks) -> None:
            await self.end_connections(checks)
            self.assertTrue(self.monitor.is_suspect(TRAITS))
            await trio.sleep(MAX_CHECK_TIME)
            self.assertFalse(self.monitor.is_suspect(TRAITS))
            self.assertFalse(self.quarantined())

        self.run_checks(scenario)

    def test_requests_are_not_retried_on_server_after_server_before_it_is_known(self) -> None:
        async def scenario(checks: CrashChecks) -> None:
            checks.suspect(server(0), TRAITS)
            self.assertTrue(self.monitor.is_suspect(TRAITS))
            self.assertTrue(self.monitor.may_retry(TRAITS))
            checks.suspect(server(1), TRAITS)
            self.assertFalse(self.monitor.may_retry(TRAITS))
            await trio.sleep(OPEN_TIME * 2)
            self.assertFalse(self.monitor.is_suspect(TRAITS))
            self.assertTrue(self.monitor.may_retry(TRAITS))

        self.run_checks(scenario)

    def test_a_connection_shows_nothing_about_those_that_end_after_it_was_opened(self) -> None:
        self.outcomes = [_Connection(), ConnectionRefusedError("refused")]

        async def scenario(checks: CrashChecks) -> None:
            checks.suspect(server(0), ("before",))
            await trio.sleep(OPEN_TIME / 2)
            checks.suspect(server(0), ("after",))
            await trio.sleep(CRASH_INTERVAL)
            self.assertFalse(self.monitor.is_suspect(("before",)))
            self.assertTrue(self.monitor.is_suspect(("after",)))

        self.run_checks(scenario)

    def test_a_server_is_checked_once_for_many_connections_that_end_together(self) -> None:
        async def scenario(checks: CrashChecks) -> None:
            for number in range(100):
                checks.suspect(server(0), (f"request:{number}",))
            await trio.sleep(CRASH_INTERVAL)
            self.assertEqual(1, self.connections)

        self.run_checks(scenario)


class EntryTest(CrashChecksCase):
    """Guards against crashes that are missed because the server was back at once."""

    def test_another_start_at_the_address_shows_that_the_server_crashed(self) -> None:
        self._check_entry(replace(server(0), id="other"), is_known=True)

    def test_another_start_under_the_same_id_shows_that_the_server_crashed(self) -> None:
        self._check_entry(replace(server(0), started_ms=5), is_known=True)

    def test_an_entry_that_is_written_again_shows_nothing(self) -> None:
        self._check_entry(server(0), is_known=False)

    def test_another_server_elsewhere_shows_nothing(self) -> None:
        self._check_entry(server(CRASHES_TO_QUARANTINE), is_known=False)

    def test_a_start_that_comes_later_shows_nothing(self) -> None:
        self._check_entry(replace(server(0), id="other"), is_known=False, after=RESTART_PERIOD)

    def test_the_removal_of_the_entry_of_a_server_that_is_not_reached(self) -> None:
        self.outcomes = [NoPathError("no path")]
        self._check_removal(is_known=True)

    def test_the_removal_of_the_entry_of_a_server_that_lives(self) -> None:
        """A server that leaves may be removed from the directory, and go on for a while."""
        self._check_removal(is_known=False)

    def _check_entry(
        self, entry: BackendServer, is_known: bool, after: float = CRASH_INTERVAL
    ) -> None:
        async def scenario(checks: CrashChecks) -> None:
            checks.suspect(server(0), TRAITS)
            await trio.sleep(after + 2 * OPEN_TIME)
            self.assertFalse(self.monitor.is_suspect(TRAITS))
            self.directory.put(entry, 100)
            checks.review_entries()
            self.assertEqual(is_known, self.monitor.is_suspect(TRAITS))

        self.run_checks(scenario)

    def _check_removal(self, is_known: bool) -> None:
        async def scenario(checks: CrashChecks) -> None:
            checks.suspect(server(0), TRAITS)
            await trio.sleep(CRASH_INTERVAL)
            self.directory.remove(server(0).id, 100, trio.current_time())
            checks.review_entries()
            await trio.sleep(MAX_CHECK_TIME)
            self.assertEqual(is_known, self.monitor.is_suspect(TRAITS))

        self.run_checks(scenario)
