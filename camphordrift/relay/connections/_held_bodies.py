"""Counts what the bodies of callers' requests hold in memory. No I/O."""


class HeldBody:
    """The body of one request, from its first byte until the request has ended."""

    def __init__(self, bodies: "HeldBodies") -> None:
        self._bodies = bodies
        self._content = bytearray()
        self._size = 0

    @property
    def size(self) -> int:
        """Number of bytes that are held."""
        return self._size

    def append(self, data: bytes) -> None:
        """Adds a part of the body."""
        self._content += data
        self._size += len(data)

    def complete(self) -> bytes:
        """Returns the complete body, which counts until :meth:`release`."""
        content, self._content = bytes(self._content), bytearray()
        self._bodies.complete(self)
        return content

    def release(self) -> None:
        """Drops the body."""
        self._content, self._size = bytearray(), 0
        self._bodies.remove(self)


class HeldBodies:
    """The bodies that a VM holds."""

    def __init__(self) -> None:
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

    def open(self) -> HeldBody:
        """Returns a new body, which counts until it is released."""
        body = HeldBody(self)
        self._unfinished.add(body)
        return body

    def complete(self, body: HeldBody) -> None:
        """Moves a body to those of requests in progress."""
        self._unfinished.remove(body)
        self._complete.add(body)

    def remove(self, body: HeldBody) -> None:
        """Forgets a body."""
        self._unfinished.discard(body)
        self._complete.discard(body)
