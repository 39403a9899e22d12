"""Tests of the bound on open connections."""

from functools import partial

import pytest
import testtools
import trio
from hypothesis import given
from hypothesis import strategies as st

from camphordrift.relay.connections._connection_limit import ConnectionLimit, OpenConnection
from camphordrift.relay.tests.relay_harness import RelayHarness, plain_success, run_scenario
from camphordrift.relay.tests.samples import ScriptedServer
from camphordrift.testing import HttpRequest


class GivingWayTest(testtools.TestCase):
    """Guards against more connections than descriptors, and against those that block others."""

    def setUp(self) -> None:
        super().setUp()
        self.limit = ConnectionLimit(3, busy_weight=2)
        self.closed: list[str] = []

    def add(self, name: str) -> OpenConnection:
        return self.limit.add(lambda: self.closed.append(name))

    def test_the_connection_that_waits_longest_gives_way(self) -> None:
        first, second, _ = self.add("first"), self.add("second"), self.add("third")
        first.set_receiving()
        second.set_receiving()
        self.add("fourth")
        self.assertEqual(["third"], self.closed)
        self.add("fifth")
        self.assertEqual(["third", "first"], self.closed)

    def test_a_connection_with_a_request_in_progress_does_not_give_way(self) -> None:
        self.add("busy").set_busy()
        self.add("idle")
        self.add("new")
        self.assertEqual(["idle"], self.closed)

    def test_a_request_in_progress_takes_the_place_of_a_waiting_connection(self) -> None:
        busy = self.add("busy")
        self.add("first")
        self.add("second")
        busy.set_busy()
        self.assertEqual(["first"], self.closed)

    def test_a_new_connection_is_closed_if_all_others_are_busy(self) -> None:
        self.add("busy").set_busy()
        self.add("busy too").set_busy()
        self.add("new")
        self.assertEqual(["new"], self.closed)

    def test_a_connection_that_gave_way_counts_no_more(self) -> None:
        names = [self.add(name) for name in ("first", "second", "third", "fourth")]
        names[0].set_receiving()
        names[0].set_busy()
        names[0].remove()
        self.assertEqual((3, 0), (self.limit.idle_count, self.limit.receiving_count))
        self.assertEqual(["first"], self.closed)


class BoundTest(testtools.TestCase):
    @given(
        st.integers(1, 6),
        st.lists(
            st.tuples(
                st.integers(0, 9), st.sampled_from(("add", "idle", "receiving", "busy", "remove"))
            ),
            max_size=60,
        ),
    )
    def test_any_order_of_events_stays_within_the_limit(
        self, maximum: int, steps: list[tuple[int, str]]
    ) -> None:
        limit = ConnectionLimit(maximum, busy_weight=2)
        connections: dict[int, OpenConnection] = {}
        busy: set[int] = set()

        def forget(number: int) -> None:
            connections.pop(number, None)

        for number, action in steps:
            if number not in connections:
                connections[number] = limit.add(partial(forget, number))
                # The connection may have been closed before it was stored.
                if limit.closed_count and connections[number] not in limit._waiting:
                    del connections[number]
                continue
            connection = connections[number]
            if action != "add":
                busy.discard(number)
            match action:
                case "idle":
                    connection.set_idle()
                case "receiving":
                    connection.set_receiving()
                case "busy":
                    busy.add(number)
                    connection.set_busy()
                case "remove":
                    connection.remove()
                    del connections[number]
            self.assertTrue(busy <= connections.keys())
            waiting = limit.idle_count + limit.receiving_count
            self.assertEqual(len(connections), waiting + len(busy))
            self.assertTrue(waiting == 0 or waiting + 2 * len(busy) <= maximum)


@pytest.mark.sockets
class CallersTest(testtools.TestCase):
    """Guards against idle connections of callers that take all descriptors."""

    def test_an_idle_connection_is_closed_and_a_request_in_progress_is_not(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.process._caller_limit = ConnectionLimit(4, busy_weight=2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.check_request, relay)
                while not servers[0].requests:
                    await trio.sleep(0.01)
                idle = [await relay.connect() for _ in range(3)]
                self.assertEqual(b"", await idle[0].receive_some())
                self.answer.set()
            for stream in idle:
                await stream.aclose()

        self.answer = trio.Event()

        async def answers_late(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await self.answer.wait()
            return await plain_success(request, stream)

        run_scenario(scenario, answers_late, service="office")

    async def check_request(self, relay: RelayHarness) -> None:
        response = await relay.send_request("/book/1")
        self.assertEqual((200, True), (response.status, response.complete))
