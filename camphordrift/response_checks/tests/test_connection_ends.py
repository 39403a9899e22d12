"""Tests of how failed writes tell how the peer ended the connection."""

import errno

import testtools
import trio

from camphordrift.response_checks import follows_regular_end


def caused_by(cause: BaseException) -> BaseException:
    """Returns an error with a cause, as trio and httpcore raise them."""
    error = trio.BrokenResourceError()
    error.__cause__ = cause
    return error


class FollowsRegularEndTest(testtools.TestCase):
    def test_a_reset_after_the_end(self) -> None:
        error: BaseException = OSError(errno.EPIPE, "broken pipe")
        for _ in range(3):
            self.assertTrue(follows_regular_end(error))
            error = caused_by(error)

    def test_a_connection_that_broke(self) -> None:
        for code in (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNABORTED):
            self.assertFalse(follows_regular_end(caused_by(OSError(code, "broken"))))

    def test_an_error_without_a_known_cause(self) -> None:
        for error in (trio.BrokenResourceError(), caused_by(ValueError())):
            self.assertFalse(follows_regular_end(error))
