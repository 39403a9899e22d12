"""Bounds what bodies of requests, or of responses, hold in memory. Decisions only, no I/O."""

import math
from collections.abc import Callable

#: Bodies up to this size in bytes may use all of the budget.
SMALL_BODY_BYTES = 65536

#: Share of the budget that only small bodies use, so that ordinary requests are still served while
#: large bodies use up the rest.
SMALL_BODY_SHARE = 1 / 8


class BodyBudgetError(Exception):
    """A body gave way to others, as the budget is spent."""


class HeldBody:
    """The body of a request or response, from its first byte until the request has ended.

    Args:
        budget: The budget that it counts against.
        give_way: Called when the body must give way; it has been dropped already.

    """

    def __init__(self, budget: "BodyBudget", give_way: Callable[[], None]) -> None:
        self._budget = budget
        self._give_way = give_way
        self._content = bytearray()
        self._size = 0
        self._unparsed_size = 0
        self._gave_way = False

    @property
    def size(self) -> int:
        """Number of bytes that are held, including those that are not parsed yet."""
        return self._size

    @property
    def content_size(self) -> int:
        """Number of bytes of the body that have been parsed."""
        return len(self._content)

    @property
    def gave_way(self) -> bool:
        """Whether the body was dropped because the budget is spent."""
        return self._gave_way

    def append(self, data: bytes) -> None:
        """Adds a part of the body.

        Raises:
            BodyBudgetError: The body gave way.

        """
        self._hold(len(data))
        self._content += data

    def hold_head(self, size: int) -> None:
        """Counts the parsed head of the request.

        Raises:
            BodyBudgetError: The body gave way.

        """
        self._hold(size)

    def set_unparsed_size(self, size: int) -> None:
        """Counts what the parser holds back of an incomplete head, chunk's size line or trailer.

        Raises:
            BodyBudgetError: The body gave way.

        """
        added, self._unparsed_size = size - self._unparsed_size, size
        self._hold(added)

    def resize(self, size: int) -> None:
        """Counts bytes that are kept elsewhere, in place of those counted before.

        Raises:
            BodyBudgetError: The body gave way.

        """
        if size > self._size and not self._gave_way:
            self._budget.make_room(self, size - self._size)
        self._check()
        if size != self._size:
            self._grow(size - self._size)

    def complete(self) -> bytes:
        """Returns the complete body, which counts until :meth:`release` and gives way no more.

        Raises:
            BodyBudgetError: The body gave way.

        """
        self._check()
        content, self._content = bytes(self._content), bytearray()
        self._budget.complete(self)
        return content

    def read_ahead(self, size: int) -> bool:
        """Counts bytes that were read beyond the complete body; returns whether they fit."""
        if not self._budget.has_room(self, size):
            return False
        self._grow(size)
        return True

    def drop(self) -> None:
        """Drops the body in favour of others."""
        self._gave_way = True
        self.release()
        self._give_way()

    def release(self) -> None:
        """Drops the body, as its request has ended."""
        self._budget.remove(self)
        self._content, self._size, self._unparsed_size = bytearray(), 0, 0

    def _hold(self, size: int) -> None:
        if size > 0 and not self._gave_way:
            self._budget.make_room(self, size)
        self._check()
        self._grow(size)

    def _check(self) -> None:
        if self._gave_way:
            raise BodyBudgetError("the memory for bodies is used up")

    def _grow(self, size: int) -> None:
        self._size += size
        self._budget.add(self, size)


class BodyBudget:
    """The bodies that a VM holds, and the bytes that they may have together.

    When the budget is spent, the largest body whose end has not arrived gives way. A body that
    stays unfinished therefore blocks no other one, and small ones give way only to small ones.

    Args:
        limit: Maximum number of bytes. A single large body is held even if it exceeds them.

    """

    def __init__(self, limit: float = math.inf) -> None:
        self._limit = limit
        self._held = 0
        self._unfinished: set[HeldBody] = set()
        self._complete: set[HeldBody] = set()

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of bodies whose end has not arrived."""
        return sum(body.size for body in self._unfinished)

    @property
    def complete_bytes(self) -> int:
        """Bytes of the bodies of requests in progress."""
        return sum(body.size for body in self._complete)

    def open(self, give_way: Callable[[], None]) -> HeldBody:
        """Returns a new body, which counts until it is released."""
        return HeldBody(self, give_way)

    def has_room(self, body: HeldBody, size: int) -> bool:
        """Returns whether a body may grow by some bytes while all others stay."""
        others, grown = self._held - body.size, body.size + size
        if grown <= SMALL_BODY_BYTES:
            return others + grown <= self._limit
        reserve = self._limit * SMALL_BODY_SHARE
        return others <= reserve or others + grown <= self._limit - reserve

    def make_room(self, body: HeldBody, size: int) -> None:
        """Drops unfinished bodies until a body may grow by some bytes, or is dropped itself."""
        while not body.gave_way and not self.has_room(body, size):
            largest = max(self._unfinished, key=lambda item: item.size, default=body)
            (body if largest.size <= body.size + size else largest).drop()

    def add(self, body: HeldBody, size: int) -> None:
        """Counts bytes by which a body has grown."""
        self._held += size
        if body not in self._complete:
            self._unfinished.add(body)

    def complete(self, body: HeldBody) -> None:
        """Moves a body to those of requests in progress."""
        self._unfinished.discard(body)
        self._complete.add(body)

    def remove(self, body: HeldBody) -> None:
        """Forgets a body."""
        self._held -= body.size
        self._unfinished.discard(body)
        self._complete.discard(body)
