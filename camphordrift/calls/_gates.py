"""Implementations of :class:`SendGate`, which is checked right before a call's first byte."""

from collections.abc import Callable

from returns import result

from camphordrift.calls._attempt import ClaimAttempt
from camphordrift.clocks import ClockReading
from camphordrift.results import Failure, ResultCode


class ClaimGate:
    """Permits sending once, if the attempt's claim was granted and has not expired."""

    def __init__(self, attempt: ClaimAttempt, read_clocks: Callable[[], ClockReading]) -> None:
        self._attempt = attempt
        self._read_clocks = read_clocks

    def authorize(self) -> result.Result[None, Failure]:
        """Permits sending now, at most once."""
        return self._attempt.authorize_dispatch(self._read_clocks()).map(lambda _: None)


class SendOnceGate:
    """Permits sending a call without a key once, before a deadline; for non-repeatable calls."""

    def __init__(self, send_before: ClockReading, read_clocks: Callable[[], ClockReading]) -> None:
        self._send_before = send_before
        self._read_clocks = read_clocks
        self._may_have_sent = False

    @property
    def may_have_sent(self) -> bool:
        """True once the call may have been sent."""
        return self._may_have_sent

    def authorize(self) -> result.Result[None, Failure]:
        """Permits sending now, at most once."""
        if self._may_have_sent:
            detail = "the call was already sent and may not be repeated"
            return result.Failure(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, detail))
        if self._read_clocks().is_past(self._send_before):
            detail = "the deadline passed before the call was sent"
            return result.Failure(Failure(ResultCode.DEADLINE_PASSED_IN_QUEUE, detail))
        self._may_have_sent = True
        return result.Success(None)


class RepeatableSendGate:
    """Always permits sending; for calls that may be repeated."""

    def __init__(self) -> None:
        self._may_have_sent = False

    @property
    def may_have_sent(self) -> bool:
        """True once the call may have been sent."""
        return self._may_have_sent

    def authorize(self) -> result.Result[None, Failure]:
        """Permits sending now."""
        self._may_have_sent = True
        return result.Success(None)
