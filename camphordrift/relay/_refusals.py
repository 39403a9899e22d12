"""Failures that a VM answers with itself."""

from typing import Optional

from camphordrift.relay._attempt import AttemptResult
from camphordrift.relay._placement_values import PlacementRefusal, RefusalReason
from camphordrift.relay._request_progress import RequestProgress
from camphordrift.results import Failure, ResultCode, RunState

#: Seconds after which a caller may ask a VM again that does not know the configuration.
NOT_READY_RETRY_AFTER = 1.0

#: Seconds after which a caller may ask again when a server had no room.
REJECTED_RETRY_AFTER = 0.1


class RequestRefusedError(Exception):
    """Ends a request with a failure of the relay's own."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def refusal_error(
    code: ResultCode, detail: str, retry_after: Optional[float] = None
) -> RequestRefusedError:
    """Returns an error that ends a request; ``retry_after`` is in seconds."""
    return RequestRefusedError(Failure(code, detail, retry_after))


def failure_of_revoked_key(progress: RequestProgress) -> Failure:
    """Returns the failure of a request whose key may not be used any more."""
    if progress.may_have_run:
        return Failure(ResultCode.BACKEND_STREAM_BROKEN, "the request may not be sent again")
    return Failure(
        ResultCode.CONFIGURATION_UNKNOWN,
        "the key was withdrawn, or was not confirmed recently",
        NOT_READY_RETRY_AFTER,
    )


def failure_of_deadline(progress: RequestProgress) -> Failure:
    """Returns the failure of a request whose time is over."""
    if progress.attempted_servers:
        return Failure(ResultCode.BACKEND_DEADLINE_PASSED, "the time ran out on a server")
    return Failure(
        ResultCode.DEADLINE_UNREACHABLE, "the time ran out before a server was free", None
    )


def failure_of_attempt(progress: RequestProgress, result: AttemptResult) -> Failure:
    """Returns the failure of a request after its last attempt."""
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN,
            f"no whole answer: {getattr(result, 'reason', result)}",
            run_state_override=RunState.OUTCOME_UNKNOWN,
        )
    return Failure(
        ResultCode.NO_ENGINE_AVAILABLE,
        f"no server took the request: {getattr(result, 'reason', result)}",
        REJECTED_RETRY_AFTER,
    )


def failure_of_placement(refusal: PlacementRefusal, progress: RequestProgress) -> Failure:
    """Returns the failure of a request that got no engine."""
    if progress.may_have_run:
        return Failure(ResultCode.BACKEND_STREAM_BROKEN, "no other engine could go on")
    code = {
        RefusalReason.NO_ENGINE: ResultCode.NO_ENGINE_AVAILABLE,
        RefusalReason.TOO_LATE: ResultCode.DEADLINE_UNREACHABLE,
        RefusalReason.NEVER_FITS: ResultCode.PROMPT_NEVER_FITS,
    }[refusal.reason]
    return Failure(code, refusal.reason.value, refusal.retry_after)
