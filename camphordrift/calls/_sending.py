"""Sends calls through their gates and tells what came of it."""

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
    outcome_of_answer,
)
from camphordrift.clocks import TwoClocks
from camphordrift.results import Failure, ResultCode

#: What a call ends with.
CallResult = result.Result[CallOutcome, Failure]


async def send_claimed(
    attempt: ClaimAttempt,
    call: ServiceCall,
    dispatch: Dispatch,
    deadline: float,
    read_clocks: Callable[[], TwoClocks],
) -> Optional[DispatchReply]:
    """Sends a call whose claim stands; returns ``None`` if its time ran out.

    ``deadline`` is a time of the loop's clock.
    Goes on if the caller leaves: the call may be running, and its outcome belongs in the log.
    """
    gate = ClaimGate(attempt, read_clocks)
    with trio.CancelScope(shield=True) as scope:
        longest = trio.current_time() + attempt.claim.run_timeout_seconds
        scope.deadline = min(deadline, longest)
        return await dispatch(call, gate)
    return None


async def send_unclaimed(
    call: ServiceCall, dispatch: Dispatch, read_clocks: Callable[[], TwoClocks]
) -> CallResult:
    """Sends a call without a claim: one that may be repeated, or one without a key, once."""
    gate: RepeatableSendGate | SendOnceGate = RepeatableSendGate()
    if call.repeatability is not Repeatability.REPEATABLE:
        gate = SendOnceGate(read_clocks().plus(call.remaining_seconds), read_clocks)
    reply: Optional[DispatchReply] = None
    with trio.move_on_after(call.remaining_seconds):
        reply = await dispatch(call, gate)
    return result_of_reply(reply, gate.opened)


def was_sent(attempt: ClaimAttempt) -> bool:
    """Whether the attempt passed its gate, so that the call may have run."""
    return attempt.stage is AttemptStage.DISPATCHED


def result_of_reply(reply: Optional[DispatchReply], sent: bool) -> CallResult:
    """Returns what the caller is told; ``sent`` is whether the gate was passed.

    A dispatcher that says "not sent" after it passed the gate is not believed.
    """
    match reply:
        case DispatchAnswered():
            return _result_of_answer(reply, sent)
        case DispatchUnanswered(failure=failure) if sent:
            return result.Failure(failure)
        case DispatchNotSent(failure=failure) if not sent:
            return result.Failure(failure)
        case _ if sent:
            detail = "no answer came in time; the call may have run"
            return result.Failure(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, detail))
        case _:
            detail = "no backend server could be reached in time; nothing was sent"
            return result.Failure(Failure(ResultCode.BACKEND_UNREACHABLE, detail))


def _result_of_answer(answer: DispatchAnswered, sent: bool) -> CallResult:
    if not sent:
        raise ValueError("the dispatch sent the call without asking its gate")
    return result.Success(outcome_of_answer(answer))
