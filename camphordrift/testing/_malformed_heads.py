"""Heads of responses that are not valid HTTP, for tests of clients."""

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
