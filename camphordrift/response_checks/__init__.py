"""Checks of responses that HTTP libraries leave to their users. No I/O, no decisions."""

from camphordrift.response_checks._bodies import DECODING_ERRORS
from camphordrift.response_checks._connection_ends import follows_regular_end
from camphordrift.response_checks._response_head import MalformedHeadError, ResponseHeadCheck

__all__ = ["DECODING_ERRORS", "MalformedHeadError", "ResponseHeadCheck", "follows_regular_end"]
