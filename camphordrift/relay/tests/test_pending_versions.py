"""Tests of requests on a VM that knows of a version of the configuration that it does not have."""

from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import Account
from camphordrift.relay.store._pending_versions import WAITING_MARGIN, PendingVersions
from camphordrift.relay.tests.relay_harness import RelayHarness, open_relay
from camphordrift.relay.tests.samples import CONFIGURATION, ScriptedServer, server, settings
from camphordrift.testing import HttpRequest

#: Code of refusals while the configuration may be out of date.
OUT_OF_DATE = b'"code": 5005'


async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
    attempt = request.headers.get("x-attempt", "")
    head = f"HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\n"
    await stream.send_all(head.encode() + b"ok")
    return True


@pytest.mark.sockets
class RefusalTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.office = ScriptedServer(server(1, "office"), answer)
        accounts = {"key-1": Account("school", None), "key-2": Account("school", None)}
        self.configuration = replace(CONFIGURATION, accounts=accounts)

    async def statuses(self, relay: RelayHarness) -> list[int]:
        """Returns the statuses of requests with each key; a refused one must not have run."""
        statuses = []
        for key in ("key-1", "key-2"):
            response = await relay.send_request("/book/1", x_key=key)
            if response.status != 200:
                self.assertIn(OUT_OF_DATE, response.body)
                self.assertIn("retry-after", response.headers)
            statuses.append(response.status)
        return statuses

    def test_a_withdrawn_key_is_refused_before_the_document_arrives(self) -> None:
        async def main() -> None:
            async with open_relay([self.office], self.configuration) as relay:
                watcher = relay.process._configuration
                watcher.expect_version(99, None, frozenset({"key-1"}))
                self.assertEqual([503, 200], await self.statuses(relay))
                self.assertEqual(1, len(self.office.requests))
                relay.publish(replace(self.configuration, version=99))
                await relay.wait_for_version(99)
                self.assertEqual([200, 200], await self.statuses(relay))

        trio.run(main)

    def test_requests_are_refused_once_a_version_has_waited_too_long(self) -> None:
        async def main() -> None:
            async with open_relay([self.office], self.configuration) as relay:
                relay.process._configuration.expect_version(99)
                self.assertEqual([200, 200], await self.statuses(relay))
                await trio.sleep(settings(1, 0).configuration_apply_delay - WAITING_MARGIN)
                self.assertEqual([503, 503], await self.statuses(relay))
                self.assertFalse(relay.process.ready)
                relay.publish(replace(self.configuration, version=99))
                await relay.wait_for_version(99)
                self.assertEqual([200, 200], await self.statuses(relay))

        trio.run(main)


class PendingVersionsTest(testtools.TestCase):
    def test_versions_wait_until_they_or_newer_ones_are_in_force(self) -> None:
        pending = PendingVersions(2.0)
        self.assertEqual(0.0, pending.waiting_time(5.0))
        pending.announce(10, 5.0, frozenset({"a"}))
        pending.announce(12, 6.0, frozenset({"b"}))
        pending.announce(11, 7.0, frozenset({"c"}))
        self.assertEqual((12, 3.0), (pending.newest, pending.waiting_time(8.0)))
        self.assertEqual([True, True, False], [pending.withdraws(key) for key in "abc"])
        pending.record_in_force(11)
        self.assertEqual((12, 2.0), (pending.newest, pending.waiting_time(8.0)))
        self.assertEqual([False, True], [pending.withdraws(key) for key in "ab"])
        pending.record_in_force(12)
        self.assertEqual((0, 0.0), (pending.newest, pending.waiting_time(8.0)))

    def test_overdue_before_the_time_has_passed(self) -> None:
        pending = PendingVersions(2.0)
        pending.announce(10, 5.0)
        self.assertFalse(pending.is_overdue(6.4))
        self.assertTrue(pending.is_overdue(6.5))
        self.assertFalse(PendingVersions(0.4).is_overdue(5.0))
