"""Memory reserved on engines for a prompt that is larger than one of them.

A reservation lives for a short time and is renewed by the VM that made it, so that the death of the
VM, or an order that is carried out late, cannot keep memory for long.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._http_client import (
    BrokenAnswerError,
    ConnectionPool,
    open_connection,
)
from camphordrift.relay._interfaces import OrderFormat, Reservation
from camphordrift.relay._values import BackendServer

#: Seconds for which an engine keeps a reservation that is not renewed. Unused memory may stay
#: reserved for 4 s (FreeMs of today's deployments); the death of the engine that writes takes up to
#: :data:`NOTICE_TIME` to be noticed, and a release may get no answer.
RESERVATION_LIFETIME = 2.4

#: Seconds between renewals; one of them may be lost.
RENEWAL_INTERVAL = 0.8

#: Seconds for a connection that shows whether the engine that writes still lives.
CHECK_TIMEOUT = 0.5

#: Seconds in which the death of that engine is noticed, at most.
NOTICE_TIME = RENEWAL_INTERVAL + CHECK_TIMEOUT

#: Seconds for the answer to an order.
ORDER_TIMEOUT = 0.6

#: Seconds for which an idle connection that carried an order is kept.
ORDER_CONNECTION_IDLE = 4.0

#: Attempts to give memory back.
RELEASE_ATTEMPTS = 2


@dataclass(frozen=True)
class ReservedPart:
    """Memory on one engine."""

    server: BackendServer
    reservation: Reservation


class ReservationRefusedError(Exception):
    """Engines have no memory for the reservation, or did not answer."""

    def __init__(self, server_ids: Sequence[str]) -> None:
        super().__init__(f"no memory on {', '.join(server_ids)}")
        self.server_ids = server_ids


class ReservationManager:
    """Reserves memory on engines, renews it and gives it back."""

    def __init__(self, connections: ConnectionPool, orders: OrderFormat) -> None:
        self._connections = connections
        self._orders = orders

    @asynccontextmanager
    async def hold(
        self, parts: Sequence[ReservedPart], writer: BackendServer
    ) -> AsyncIterator[None]:
        """Holds memory on several engines, all or none, for as long as the block runs.

        The block is cancelled, and the memory given back, when the engine that writes is gone:
        nothing uses the memory then.

        Raises:
            ReservationRefusedError: An engine did not reserve its part.

        """
        try:
            await self._reserve_all(parts)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew, parts)
                nursery.start_soon(self._watch_writer, writer, nursery.cancel_scope)
                yield
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self._release_all(parts)

    async def _reserve_all(self, parts: Sequence[ReservedPart]) -> None:
        refused: list[str] = []

        async def reserve(part: ReservedPart) -> None:
            if not await self._reserve(part):
                refused.append(part.server.id)

        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(reserve, part)
        if refused:
            raise ReservationRefusedError(refused)

    async def _renew(self, parts: Sequence[ReservedPart]) -> None:
        while True:
            await trio.sleep(RENEWAL_INTERVAL)
            async with trio.open_nursery() as nursery:
                for part in parts:
                    nursery.start_soon(self._reserve, part)

    async def _watch_writer(self, writer: BackendServer, scope: trio.CancelScope) -> None:
        while True:
            await trio.sleep(RENEWAL_INTERVAL)
            try:
                connection = await open_connection(writer.host, writer.port, CHECK_TIMEOUT)
            except OSError as error:
                log_event("writer_gone", server=writer.id, reason=str(error))
                scope.cancel()
                return
            connection.close()

    async def _release_all(self, parts: Sequence[ReservedPart]) -> None:
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(self._release, part)

    async def _reserve(self, part: ReservedPart) -> bool:
        status = await self._order(part, self._orders.reserve(part.reservation))
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

    async def _release(self, part: ReservedPart) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            if await self._order(part, self._orders.release(part.reservation.id)) is not None:
                return
        log_event(
            "release_unanswered",
            level=LogLevel.WARNING,
            reservation=part.reservation.id,
            server=part.server.id,
        )

    async def _order(self, part: ReservedPart, body: bytes) -> "int | None":
        """Gives an order; returns the status of its answer, or ``None`` without one."""
        server = part.server
        with trio.move_on_after(ORDER_TIMEOUT):
            try:
                connection = await self._connections.acquire(server.host, server.port)
            except OSError as error:
                log_event("order_not_sent", server=server.id, reason=str(error))
                return None
            idle = 0.0
            try:
                headers = [
                    (b"host", f"{server.host}:{server.port}".encode()),
                    (b"content-type", self._orders.content_type),
                    (b"content-length", b"%d" % len(body)),
                ]
                status, _ = await connection.exchange(b"POST", self._orders.path, headers, body)
                idle = ORDER_CONNECTION_IDLE
                return status
            except (BrokenAnswerError, OSError) as error:
                log_event("order_unanswered", server=server.id, reason=str(error))
                return None
            finally:
                self._connections.release(server.host, server.port, connection, idle)
        log_event("order_unanswered", server=server.id, reason="no answer in time")
        return None
