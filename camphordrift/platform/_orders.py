"""Encodes orders that reserve and release KV memory on engines, as JSON documents."""

import msgspec

from camphordrift.relay import Reservation


class _Reserve(msgspec.Struct, rename="pascal", frozen=True):
    id: str
    tokens: int
    #: Milliseconds from the arrival of the order until the reservation expires.
    hold_ms: int
    operation: str = "reserve"


class _Release(msgspec.Struct, rename="pascal", frozen=True):
    id: str
    operation: str = "release"


class PlatformOrders:
    """Implements :class:`camphordrift.relay.OrderFormat`."""

    @property
    def path(self) -> bytes:
        """URL path to which orders are posted."""
        return b"/v1/order"

    @property
    def content_type(self) -> bytes:
        """Content type of the order bodies."""
        return b"application/json"

    def reserve(self, reservation: Reservation) -> bytes:
        """Returns the body of an order that reserves KV memory."""
        lifetime_ms = int(reservation.lifetime * 1000)
        return msgspec.json.encode(_Reserve(reservation.id, reservation.tokens, lifetime_ms))

    def release(self, reservation_id: str) -> bytes:
        """Returns the body of an order that releases a reservation."""
        return msgspec.json.encode(_Release(reservation_id))
