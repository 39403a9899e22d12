"""Tests of the checks of response heads."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from camphordrift.response_checks import MalformedHeadError, ResponseHeadCheck
from camphordrift.testing import heads_with_invalid_names, heads_with_invalid_status

HEAD = b"HTTP/1.1 200 OK\r\nx-first: 1\r\ncontent-length: 5\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"

#: Bytes of a body that are not allowed in a head.
BODY = b"HTTP/1.1 000 X\r\n x: y\r\n\r\n folded\n\tmore\n\nHTTP/1.1 999 X\r\n\r\n"

SOUND = (
    HEAD + BODY,
    HEAD.replace(b"\r\n", b"\n") + BODY,
    INFORMATIONAL + INFORMATIONAL.replace(b"\r\n", b"\n") + HEAD + BODY,
    b"HTTP/1.1 599\r\n\r\n" + BODY,
)


def is_rejected(pieces: list[bytes]) -> bool:
    """Returns whether a response that arrives in pieces is malformed."""
    check = ResponseHeadCheck()
    try:
        for piece in pieces:
            check.receive(piece)
    except MalformedHeadError:
        return True
    return False


def cut(data: bytes, positions: list[int]) -> list[bytes]:
    """Cuts data at positions, each modulo its length."""
    ends = sorted({position % len(data) for position in positions} | {0, len(data)})
    return [data[start:end] for start, end in zip(ends, ends[1:], strict=False)]


#: Malformed heads that h11 accepts.
ACCEPTED_BY_H11 = (
    *(head for head in heads_with_invalid_status(HEAD) if head[9:12] in (b"600", b"700", b"999")),
    *(head for head in heads_with_invalid_names(HEAD) if b"\n " in head or b"\n\t" in head),
    HEAD.replace(b"\r\ncontent", b"\n\tcontent"),
)


class ResponseHeadCheckTest(testtools.TestCase):
    @given(st.sampled_from(SOUND), st.lists(st.integers(min_value=0)))
    def test_sound_heads_are_accepted_whatever_their_bodies_are(
        self, response: bytes, positions: list[int]
    ) -> None:
        self.assertFalse(is_rejected(cut(response, positions)), f"{response!r}")

    @given(
        st.sampled_from(ACCEPTED_BY_H11),
        st.sampled_from((b"", INFORMATIONAL, INFORMATIONAL * 2)),
        st.lists(st.integers(min_value=0)),
    )
    def test_malformed_heads_are_rejected_however_they_arrive(
        self, head: bytes, earlier: bytes, positions: list[int]
    ) -> None:
        self.assertTrue(is_rejected(cut(earlier + head, positions)), f"{head!r}")

    def test_the_response_to_another_request_is_checked_as_well(self) -> None:
        check = ResponseHeadCheck()
        check.receive(HEAD + BODY)
        check.expect_response()
        self.assertRaises(MalformedHeadError, check.receive, ACCEPTED_BY_H11[0])
