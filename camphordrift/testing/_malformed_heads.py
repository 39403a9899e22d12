"""Responses whose head is not valid HTTP, for tests of clients."""

from collections.abc import Callable, Iterable, Iterator, Sequence

#: Returns malformed variants of a head.
Malform = Callable[[bytes], Sequence[bytes]]

#: An informational response.
_INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\nx-more: 1\r\n\r\n"

#: Statuses outside the range that RFC 9110, section 15, defines, and texts that are no status.
_INVALID_STATUSES = (
    *(b"000", b"001", b"099", b"600", b"700", b"999"),
    *(b"", b"20", b"2000", b"-20", b"+20", b"2x0", b"0x200", b"2 0", b" 200", b"2\x000"),
)


def heads_with_invalid_status(head: bytes) -> list[bytes]:
    """Returns a head with each status that is none in place of its own."""
    version, _, rest = head.partition(b" ")
    fields = rest.partition(b"\r\n")[2]
    return [b"%s %s X\r\n%s" % (version, status, fields) for status in _INVALID_STATUSES]


#: Bytes that are not allowed in the name of a field.
_BYTES_OUTSIDE_NAMES = (b" ", b"\t", b"\0", b"\x01", b"\v", b"\r", b"\x7f", b"\xa0", b"/")


def heads_with_invalid_names(head: bytes) -> list[bytes]:
    """Returns a head with a byte that is not allowed in a name before, in and after each name.

    An empty name is not allowed, either. Line feeds are left out, as the head ends or goes on with
    a valid line after some of them.
    """
    start, *fields = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    heads = []
    for number, field in enumerate(fields):
        name, _, value = field.partition(b":")
        names = [
            name[:at] + byte + name[at:] for byte in _BYTES_OUTSIDE_NAMES for at in _places(name)
        ]
        for malformed in (*names, b""):
            lines = [start, *fields[:number], malformed + b":" + value, *fields[number + 1 :]]
            heads.append(b"\r\n".join(lines) + b"\r\n\r\n")
    return heads


def malformed_responses(
    malform: Malform, responses: Iterable[tuple[bytes, bytes]]
) -> Iterator[bytes]:
    """Yields responses with malformed heads, also beside informational responses.

    Args:
        malform: Returns malformed variants of a head.
        responses: Heads and bodies of sound responses.

    """
    for head, body in responses:
        for malformed in malform(head):
            yield malformed + body
            yield _INFORMATIONAL + malformed + body
        for malformed in malform(_INFORMATIONAL):
            yield malformed + head + body


def _places(name: bytes) -> tuple[int, int, int]:
    return 0, len(name) // 2, len(name)
