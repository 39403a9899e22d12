"""KV memory reserved on helper engines, for prompts that do not fit on one engine.

A helper is an engine that prefills a part of a prompt for the primary engine. A reservation has a
short lifetime and is renewed by the VM that made it. Neither a crash of that VM nor an order that
an engine executes late can therefore keep memory reserved for long.
"""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import BACKEND_CONNECT_TIMEOUT, BrokenAnswerError, SmallRequest
from camphordrift.relay.model import BackendServer, OrderFormat, Reservation
from camphordrift.relay.requests._server_calls import ServerCalls, ServerUnreachableError

#: Seconds for which an engine keeps a reservation that is not renewed. Unused memory may stay
#: reserved for at most 4 s (FreeMs of today's deployments). Detecting a crash of the primary engine
#: takes up to :data:`CRASH_DETECTION_SECONDS`. The release may then get no response, so that the
#: reservation has to expire. The sum of both values must therefore stay below the limit.
RESERVATION_LIFETIME = 2.4

#: Seconds between renewals. A reservation outlives one failed renewal.
RENEWAL_INTERVAL = 0.8

#: Maximum number of seconds until a crash of the primary engine ends the renewals.
CRASH_DETECTION_SECONDS = RENEWAL_INTERVAL + BACKEND_CONNECT_TIMEOUT

#: Timeout in seconds of an order to an engine.
ORDER_TIMEOUT = 0.6

#: Seconds for which a connection is kept open for reuse after an order.
ORDER_CONNECTION_IDLE = 4.0

#: Maximum number of attempts to release a reservation.
RELEASE_ATTEMPTS = 2


@dataclass(frozen=True)
class ReservedPart:
    """A reservation together with the helper engine on which it is made."""

    server: BackendServer
    reservation: Reservation


class ReservationRefusedError(Exception):
    """At least one engine refused its reservation or did not respond.

    Args:
        server_ids: Ids of the engines without a reservation.

    """

    def __init__(self, server_ids: Sequence[str]) -> None:
        super().__init__(f"no memory reserved on {', '.join(server_ids)}")
        self.server_ids = server_ids


class ReservationManager:
    """Makes, renews and releases reservations on engines; :meth:`run` must be running.

    Args:
        calls: Sends the orders. A server that leaves or pauses, or whose zone is evacuated, gets no
            orders to make a reservation. Those that it has are renewed, so that running streams
            can end. They are released at their end, but expire on servers that pause.
        orders: Format of the orders.

    """

    def __init__(self, calls: ServerCalls, orders: OrderFormat) -> None:
        self._calls = calls
        #: Ids of reservations whose last renewal was refused or got no response.
        self._turned_away: set[str] = set()
        #: Ids of reservations whose last renewal was left out.
        self._left_out: set[str] = set()
        self._orders = orders
        self._release_queue, self._releases = trio.open_memory_channel[Sequence[ReservedPart]](
            float("inf")
        )

    async def run(self) -> None:
        """Releases reservations until cancelled.

        A helper that is slow to respond does not delay the response of the request that used it.
        """
        async with trio.open_nursery() as nursery:
            async for parts in self._releases:
                nursery.start_soon(self._release_all, parts)

    @asynccontextmanager
    async def hold_reservations(
        self,
        parts: Sequence[ReservedPart],
        primary: BackendServer,
        on_silence: Callable[[], None],
    ) -> AsyncIterator[Callable[[], None]]:
        """Keeps reservations on all given engines while the body of the ``async with`` block runs.

        Yields a function that releases them earlier, when the primary engine has finished. Until
        then, the body is cancelled and the reservations are released when that engine refuses
        connections, as nothing uses the memory any more. The block then ends without an exception.
        While the engine only does not respond, the reservations are not renewed; they expire unless
        it responds again in time.

        Args:
            parts: The reservations.
            primary: The engine that uses the memory.
            on_silence: Called each time the primary engine did not accept a connection in time.

        Raises:
            ReservationRefusedError: An engine refused its reservation or did not respond.

        """
        renewals = trio.CancelScope()

        def release() -> None:
            if not renewals.cancel_called:
                renewals.cancel()
                self._release_queue.send_nowait(parts)

        async def keep_renewed() -> None:
            with renewals:
                await self._keep_renewed(parts, primary, on_silence, nursery.cancel_scope)

        try:
            await self._reserve_all(parts)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(keep_renewed)
                yield release
                nursery.cancel_scope.cancel()
        finally:
            release()

    async def _reserve_all(self, parts: Sequence[ReservedPart]) -> None:
        refused: list[str] = []

        async def reserve(part: ReservedPart) -> None:
            may_reserve = self._calls.accepts_requests(part.server)
            if not (may_reserve and await self._send_reserve_order(part)):
                refused.append(part.server.id)

        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(reserve, part)
        if refused:
            raise ReservationRefusedError(refused)

    async def _keep_renewed(
        self,
        parts: Sequence[ReservedPart],
        primary: BackendServer,
        on_silence: Callable[[], None],
        scope: trio.CancelScope,
    ) -> None:
        renewed_at = trio.current_time()
        while trio.current_time() < renewed_at + RESERVATION_LIFETIME:
            await trio.sleep_until(renewed_at + RENEWAL_INTERVAL)
            try:
                await self._calls.check_connection(primary)
            except TimeoutError as error:
                log_event("writer_silent", server=primary.id, reason=str(error))
                on_silence()
                continue
            except OSError as error:
                log_event("writer_gone", server=primary.id, reason=str(error))
                scope.cancel()
                return
            renewed_at = trio.current_time()
            await self._renew_all(parts)
        log_event("reservations_expired", level=LogLevel.WARNING, server=primary.id)

    async def _renew_all(self, parts: Sequence[ReservedPart]) -> None:
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(self._renew, part)

    async def _renew(self, part: ReservedPart) -> None:
        """Renews a reservation, unless its engine pauses and has turned a renewal away.

        On an engine that limits requests, every second renewal is left out; the reservation lasts
        long enough for that.
        """
        reservation_id = part.reservation.id
        if self._calls.is_limited(part.server) and reservation_id not in self._left_out:
            self._left_out.add(reservation_id)
            return
        self._left_out.discard(reservation_id)
        if reservation_id in self._turned_away and self._calls.is_pausing(part.server):
            return
        self._turned_away.discard(reservation_id)
        if not await self._send_reserve_order(part):
            self._turned_away.add(reservation_id)

    async def _release_all(self, parts: Sequence[ReservedPart]) -> None:
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(self._send_release_order, part)

    async def _send_reserve_order(self, part: ReservedPart) -> bool:
        status = await self._send_order(part, self._orders.reserve(part.reservation))
        if status != 200:
            log_event(
                "reservation_refused",
                level=LogLevel.WARNING,
                reservation=part.reservation.id,
                server=part.server.id,
                tokens=part.reservation.tokens,
                status=status,
            )
        return status == 200

    async def _send_release_order(self, part: ReservedPart) -> None:
        self._turned_away.discard(part.reservation.id)
        self._left_out.discard(part.reservation.id)
        if self._calls.is_pausing(part.server):
            return
        for _ in range(RELEASE_ATTEMPTS):
            if await self._send_order(part, self._orders.release(part.reservation.id)) is not None:
                return
        log_event(
            "release_unanswered",
            level=LogLevel.WARNING,
            reservation=part.reservation.id,
            server=part.server.id,
        )

    async def _send_order(self, part: ReservedPart, body: bytes) -> "int | None":
        """Sends an order; returns the status of the response, or ``None`` if there was none."""
        server = part.server
        headers = [
            (b"host", server.address.encode()),
            (b"content-type", self._orders.content_type),
            (b"content-length", b"%d" % len(body)),
        ]
        request = SmallRequest(b"POST", self._orders.path, headers, body)
        with trio.move_on_after(ORDER_TIMEOUT):
            try:
                response = await self._calls.call(server, request, "order", ORDER_CONNECTION_IDLE)
                return response.status
            except ServerUnreachableError as error:
                log_event("order_not_sent", server=server.id, reason=str(error))
                return None
            except (BrokenAnswerError, OSError) as error:
                log_event("order_unanswered", server=server.id, reason=str(error))
                return None
        log_event("order_unanswered", server=server.id, reason="no response within the timeout")
        return None
