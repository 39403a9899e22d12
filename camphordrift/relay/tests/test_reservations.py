"""Tests of the reservations of KV memory on engines."""

import contextlib
from typing import Optional

import pytest
import testtools
import trio

from camphordrift.relay import BackendServer, Reservation
from camphordrift.relay.connections._connection_pool import BACKEND_CONNECT_TIMEOUT
from camphordrift.relay.requests._reservations import (
    CRASH_DETECTION_SECONDS,
    ORDER_TIMEOUT,
    RENEWAL_INTERVAL,
    RESERVATION_LIFETIME,
    ReservationManager,
    ReservationRefusedError,
    ReservedPart,
)
from camphordrift.relay.requests._server_calls import ServerCalls
from camphordrift.relay.servers._server_notices import ServerNotices, start_of
from camphordrift.relay.tests.relay_harness import first_then
from camphordrift.relay.tests.samples import (
    SampleOrders,
    ScriptedServer,
    server,
    server_calls,
)
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Maximum number of seconds that unused memory may stay reserved (FreeMs of both deployments).
UNUSED_MEMORY_LIMIT = 4.0


#: Seconds within which releases reach the engines of these tests.
RELEASE_SECONDS = 0.5


async def accept_orders(request: HttpRequest, stream: trio.SocketStream) -> bool:
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    return True


async def refuse_orders(request: HttpRequest, stream: trio.SocketStream) -> bool:
    await stream.send_all(b"HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n")
    return True


async def refuse_orders_for_a_minute(request: HttpRequest, stream: trio.SocketStream) -> bool:
    await stream.send_all(b"HTTP/1.1 503 No\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n")
    return True


async def never_respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
    await stream.receive_some(1)
    return False


class ReservationTest(testtools.TestCase):
    def test_reservations_expire_in_time_if_a_release_gets_no_response(self) -> None:
        """Guards against unused memory that stays reserved for longer than engines allow.

        An engine became unreachable and came back with the memory still reserved (the platform
        reported LEAK after 4,003 ms).
        """
        self.assertTrue(CRASH_DETECTION_SECONDS + RESERVATION_LIFETIME < UNUSED_MEMORY_LIMIT)
        self.assertTrue(RENEWAL_INTERVAL + ORDER_TIMEOUT < RESERVATION_LIFETIME)

    def test_reservations_are_released_when_the_primary_engine_crashes(self) -> None:
        (orders,) = self._received_orders(
            accept_orders, hold_seconds=60.0, primary=server(9, port=9)
        )
        self.assertEqual("release t0", orders[-1])

    def test_a_silent_helper_does_not_delay_the_end_of_a_response(self) -> None:
        """Guards against a complete stream whose end reaches the caller more than a second late."""

        async def responds_late(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.body.startswith(b"release"):
                await trio.sleep(2 * ORDER_TIMEOUT)
            return await accept_orders(request, stream)

        self._received_orders(responds_late, hold_seconds=0.0)
        self.assertTrue(self._block_ended_at - self._body_ended_at < ORDER_TIMEOUT / 2)

    def test_a_silent_primary_engine_does_not_end_the_request(self) -> None:
        """A silent engine may be sound, although it accepts no connections for a second or so."""
        self._let_connections_time_out(times=2)
        (orders,) = self._received_orders(accept_orders, hold_seconds=RENEWAL_INTERVAL * 3.5)
        self.assertTrue(self._body_ended)
        self.assertEqual(2, self._silences)
        self.assertIn(orders.count("reserve t0 100"), (2, 3))

    def test_reservations_are_not_renewed_while_the_primary_engine_is_silent(self) -> None:
        """Guards against memory that stays reserved after its engine lost power."""
        self._let_connections_time_out(times=1000)
        (orders,) = self._received_orders(accept_orders, hold_seconds=RESERVATION_LIFETIME + 1.5)
        self.assertTrue(self._body_ended)
        self.assertEqual(["reserve t0 100", "release t0"], orders)

    def _let_connections_time_out(self, times: int) -> None:
        """Makes the next checks of the primary engine time out."""
        remaining = times

        check_connection = ServerCalls.check_connection

        async def times_out(calls: ServerCalls, server: BackendServer) -> None:
            nonlocal remaining
            remaining -= 1
            if remaining < 0:
                await check_connection(calls, server)
                return
            await trio.sleep(BACKEND_CONNECT_TIMEOUT)
            raise TimeoutError("timed out")

        self.patch(ServerCalls, "check_connection", times_out)

    def test_reservations_are_released_at_the_end(self) -> None:
        first, second = self._received_orders(accept_orders, accept_orders, hold_seconds=0.0)
        self.assertEqual(["reserve t0 100", "release t0"], first)
        self.assertEqual(["reserve t1 100", "release t1"], second)

    def test_reservations_are_renewed_until_released(self) -> None:
        (orders,) = self._received_orders(accept_orders, hold_seconds=RENEWAL_INTERVAL * 1.5)
        self.assertEqual(["reserve t0 100", "reserve t0 100", "release t0"], orders)

    def test_reservations_are_released_when_the_engine_has_finished(self) -> None:
        """Guards against memory that stays reserved while a caller reads the last events."""
        self._releases_early = True
        (orders,) = self._received_orders(accept_orders, hold_seconds=RENEWAL_INTERVAL * 2.5)
        self.assertTrue(self._body_ended)
        self.assertEqual(["reserve t0 100", "release t0"], orders)

    def test_a_crash_of_the_primary_engine_after_it_has_finished_ends_nothing(self) -> None:
        self._releases_early = True
        self._received_orders(
            accept_orders, hold_seconds=RENEWAL_INTERVAL * 2.5, primary=server(9, port=9)
        )
        self.assertTrue(self._body_ended)

    def test_all_reservations_are_released_when_one_engine_refuses(self) -> None:
        first, second = self._received_orders(accept_orders, refuse_orders, hold_seconds=0.0)
        self.assertEqual(["reserve t0 100", "release t0"], first)
        self.assertIn("release t1", second)

    def test_an_engine_that_does_not_respond_counts_as_refusing(self) -> None:
        first, _ = self._received_orders(accept_orders, never_respond, hold_seconds=0.0)
        self.assertEqual("release t0", first[-1])

    def test_a_pausing_engine_gets_renewals_but_no_release(self) -> None:
        notices = ServerNotices()

        async def start_pause(request: HttpRequest, stream: trio.SocketStream) -> bool:
            notices.record_pause(server(0), trio.current_time() + 60.0)
            return await accept_orders(request, stream)

        (orders,) = self._received_orders(
            start_pause, hold_seconds=RENEWAL_INTERVAL * 1.5, notices=notices
        )
        self.assertEqual(["reserve t0 100", "reserve t0 100"], orders)

    def test_an_engine_that_turned_a_renewal_away_gets_no_orders_in_its_pause(self) -> None:
        script = first_then(accept_orders, refuse_orders_for_a_minute)
        (orders,) = self._received_orders(script, hold_seconds=RENEWAL_INTERVAL * 3.5)
        self.assertEqual(["reserve t0 100", "reserve t0 100"], orders)

    def test_a_pausing_engine_gets_no_new_reservation(self) -> None:
        notices = ServerNotices()
        notices.record_pause(server(0), float("inf"))
        (orders,) = self._received_orders(accept_orders, hold_seconds=0.0, notices=notices)
        self.assertEqual([], orders)

    def test_an_engine_that_leaves_keeps_its_reservations_until_their_release(self) -> None:
        notices = ServerNotices()

        async def leave(request: HttpRequest, stream: trio.SocketStream) -> bool:
            notices.record_leaving(start_of(server(0)))
            return await accept_orders(request, stream)

        (orders,) = self._received_orders(
            leave, hold_seconds=RENEWAL_INTERVAL * 1.5, notices=notices
        )
        self.assertEqual(["reserve t0 100", "reserve t0 100", "release t0"], orders)

    #: When the block that held the reservations, and the statement around it, ended.
    _body_ended_at = _block_ended_at = 0.0

    #: How often the primary engine was reported as silent.
    _silences = 0

    def _record_silence(self) -> None:
        self._silences += 1

    #: Whether the block releases its reservations as soon as it begins.
    _releases_early = False

    #: Whether the block that held the reservations ran to its end.
    _body_ended = False

    def _received_orders(
        self,
        *scripts: object,
        hold_seconds: float,
        primary: Optional[BackendServer] = None,
        notices: Optional[ServerNotices] = None,
    ) -> list[list[str]]:
        async def main() -> list[list[str]]:
            servers = [
                ScriptedServer(server(number, port=0), script)  # type: ignore[arg-type]
                for number, script in enumerate(scripts)
            ]
            manager = ReservationManager(server_calls(notices), SampleOrders())
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(manager.run)
                    for item in servers:
                        await nursery.start(item.run)
                    parts = [
                        ReservedPart(
                            item.entry, Reservation(f"t{number}", 100, RESERVATION_LIFETIME)
                        )
                        for number, item in enumerate(servers)
                    ]
                    with contextlib.suppress(ReservationRefusedError):
                        async with manager.hold_reservations(
                            parts, primary or servers[0].entry, self._record_silence
                        ) as release:
                            if self._releases_early:
                                release()
                            await trio.sleep(hold_seconds)
                            self._body_ended = True
                            self._body_ended_at = trio.current_time()
                    self._block_ended_at = trio.current_time()
                    await trio.sleep(RELEASE_SECONDS)
                    nursery.cancel_scope.cancel()
            return [[request.body.decode() for request in item.requests] for item in servers]

        return trio.run(main)
