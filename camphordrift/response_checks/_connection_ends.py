"""Tells how the peer ended a connection on which a write failed."""

import errno
from typing import Optional


def follows_regular_end(error: BaseException) -> bool:
    """Returns whether the peer had ended its side of the connection before a write failed.

    A response without a length that was received completely until then is complete. Linux reports
    EPIPE for a reset that follows the peer's FIN, and ECONNRESET for one without FIN.

    Args:
        error: Error of the first write that failed on the connection, caused by an ``OSError``.

    """
    cause: Optional[BaseException] = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.EPIPE
