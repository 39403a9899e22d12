"""Sends calls and converts the replies of backend servers to results.

A send gate is checked right before the first byte of a call, and permits or refuses sending.
"""

from collections.abc import Callable
from typing import Optional

import trio
from returns import result

from camphordrift.calls._attempt import AttemptStage, ClaimAttempt
from camphordrift.calls._gates import ClaimGate, RepeatableSendGate, SendOnceGate
from camphordrift.calls._messages import (
    CallOutcome,
    Dispatch,
    DispatchAnswered,
    DispatchNotSent,
    DispatchReply,
    DispatchUnanswered,
    Repeatability,
    ServiceCall,
    outcome_from_response,
)
from camphordrift.clocks import ClockReading
from camphordrift.results import Failure, ResultCode

#: The result of a call.
CallResult = result.Result[CallOutcome, Failure]


async def send_claimed(
    attempt: ClaimAttempt,
    call: ServiceCall,
    dispatch: Dispatch,
    deadline: float,
    read_clocks: Callable[[], ClockReading],
) -> Optional[DispatchReply]:
    """Sends a call whose claim was granted; returns ``None`` if its deadline passed.

    ``deadline`` is a time of the event loop's clock. The call is shielded from cancellation, e.g.
    if the caller disconnects: it may be running, and its outcome must be recorded in the log.
    """
    gate = ClaimGate(attempt, read_clocks)
    with trio.CancelScope(shield=True) as scope:
        run_deadline = trio.current_time() + attempt.claim.run_timeout_seconds
        scope.deadline = min(deadline, run_deadline)
        return await dispatch(call, gate)
    return None


async def send_unclaimed(
    call: ServiceCall, dispatch: Dispatch, read_clocks: Callable[[], ClockReading]
) -> CallResult:
    """Sends a call without a claim. A non-repeatable call without a key is sent at most once."""
    gate: RepeatableSendGate | SendOnceGate = RepeatableSendGate()
    if call.repeatability is not Repeatability.REPEATABLE:
        gate = SendOnceGate(read_clocks().plus(call.remaining_seconds), read_clocks)
    reply: Optional[DispatchReply] = None
    with trio.move_on_after(call.remaining_seconds):
        reply = await dispatch(call, gate)
    return result_of_reply(reply, gate.may_have_sent)


def was_sent(attempt: ClaimAttempt) -> bool:
    """Returns whether the gate permitted the attempt to send, so that the call may have run."""
    return attempt.stage is AttemptStage.DISPATCHED


def result_of_reply(reply: Optional[DispatchReply], sent: bool) -> CallResult:
    """Returns the result for the caller; ``sent`` is whether the gate permitted sending.

    A reply ``DispatchNotSent`` after the gate permitted sending is treated as an unknown outcome.
    """
    match reply:
        case DispatchAnswered():
            return _result_from_response(reply, sent)
        case DispatchUnanswered(failure=failure) if sent:
            return result.Failure(failure)
        case DispatchNotSent(failure=failure) if not sent:
            return result.Failure(failure)
        case _ if sent:
            detail = "no response before the deadline; the call may have run"
            return result.Failure(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, detail))
        case _:
            detail = "no backend server could be reached before the deadline; the call was not sent"
            return result.Failure(Failure(ResultCode.BACKEND_UNREACHABLE, detail))


def _result_from_response(response: DispatchAnswered, sent: bool) -> CallResult:
    if not sent:
        raise ValueError("the dispatch sent the call without calling the gate")
    return result.Success(outcome_from_response(response))
