"""Checks of responses that HTTP libraries leave to their users. No I/O, no decisions."""

from camphordrift.response_checks._connection_ends import follows_regular_end

__all__ = ["follows_regular_end"]
