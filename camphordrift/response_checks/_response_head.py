"""Checks the heads of HTTP/1.1 responses as their bytes arrive."""

import re

#: The first bytes of a status line, and their number.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] ([0-9]{3})")
_STATUS_LINE_SIZE = 12

#: Statuses that RFC 9110, section 15, defines, and those of informational responses among them.
_STATUSES = range(100, 600)
_INFORMATIONAL_STATUSES = range(100, 200)

#: The end of a head or a line that begins with a blank, whichever comes first; and the maximum
#: number of bytes of it that may have arrived without the rest.
_END_OR_BLANK = re.compile(rb"\n(?:\r?\n|(?P<blank>[ \t]))")
_PARTIAL_SIZE = 2


class MalformedHeadError(Exception):
    """The head of a response is not valid HTTP."""


class ResponseHeadCheck:
    """Checks what h11 accepts in the head of a response although it is not valid.

    h11 accepts statuses up to 999. It also appends a line that begins with a blank to the value of
    the field before it, so that a field whose name was damaged, such as the length of the body,
    becomes part of another one. RFC 9112, section 5.2, lets a gateway discard such a response.
    Everything else is left to h11. Bytes are not kept, as clients limit the size of a head
    themselves.
    """

    def __init__(self) -> None:
        self.expect_response()

    def expect_response(self) -> None:
        """Expects the head of the response to another request next."""
        self._is_in_head = True
        #: The beginning of the status line.
        self._start = b""
        #: The last bytes, which may be the beginning of what is searched for.
        self._tail = b""

    def receive(self, data: bytes) -> None:
        """Checks the next bytes of a response; ignores those that follow its head.

        Raises:
            MalformedHeadError: The head is not valid.

        """
        while self._is_in_head and data:
            if len(self._start) < _STATUS_LINE_SIZE:
                self._start = (self._start + data)[:_STATUS_LINE_SIZE]
            status = _checked_status(self._start)
            searched = self._tail + data
            found = _END_OR_BLANK.search(searched)
            if found is None:
                self._tail = searched[-_PARTIAL_SIZE:]
                return
            if found["blank"]:
                raise MalformedHeadError("a line begins with a blank")
            # The response to the request follows an informational one.
            data = searched[found.end() :]
            self.expect_response()
            self._is_in_head = status in _INFORMATIONAL_STATUSES


def _checked_status(start: bytes) -> int:
    """Returns the status; 0 if it has not arrived, or if the line is none, which h11 finds.

    Raises:
        MalformedHeadError: The status is not valid.

    """
    line = _STATUS_LINE.match(start)
    if line is None:
        return 0
    status = int(line[1])
    if status not in _STATUSES:
        raise MalformedHeadError(f"{status} is not a status")
    return status
