"""Failures that the relay itself reports to callers, instead of a server's response."""

from collections.abc import Sequence
from typing import Optional

from camphordrift.relay.requests._attempt import AttemptResult
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.scheduling import PlacementRefusal, RefusalReason
from camphordrift.results import Failure, ResultCode, RunState

#: Retry-After in seconds while a VM has no current configuration.
NOT_READY_RETRY_AFTER = 1.0

#: Retry-After in seconds after servers rejected the request.
REJECTED_RETRY_AFTER = 0.1

#: Retry-After in seconds while no server of a plain service is left for the request.
NO_SERVER_RETRY_AFTER = 1.0


class RequestRefusedError(Exception):
    """The relay refuses a request or gives it up; carries the failure to report."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def refusal_error(
    code: ResultCode, detail: str, retry_after: Optional[float] = None
) -> RequestRefusedError:
    """Returns an exception that refuses a request; ``retry_after`` is in seconds."""
    return RequestRefusedError(Failure(code, detail, retry_after))


def failure_of_revoked_key(progress: RequestProgress) -> Failure:
    """Returns the failure for a request whose API key is not valid any more."""
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN,
            "the API key can no longer be verified, so the request is not retried",
        )
    return Failure(
        ResultCode.CONFIGURATION_UNKNOWN,
        "the API key was revoked, or the configuration is too old to verify it",
        NOT_READY_RETRY_AFTER,
    )


def failure_of_quarantine(progress: RequestProgress, seconds_left: float) -> Failure:
    """Returns the failure for a request with traits that are quarantined for ``seconds_left``."""
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN,
            "not retried, as servers crash on the request or on a part of its prompt",
            run_state_override=RunState.OUTCOME_UNKNOWN,
        )
    return Failure(
        ResultCode.REQUEST_QUARANTINED,
        "servers crash on the request or on a part of its prompt",
        seconds_left,
    )


def failure_of_deadline(progress: RequestProgress) -> Failure:
    """Returns the failure for a request that exceeded its deadline."""
    if progress.attempted_servers:
        return Failure(
            ResultCode.BACKEND_DEADLINE_PASSED,
            "the deadline passed while a server processed the request",
        )
    return Failure(
        ResultCode.DEADLINE_UNREACHABLE, "the deadline passed before a server was available", None
    )


def failure_of_stop(progress: RequestProgress) -> Failure:
    """Returns the failure for a request that this VM gives up because it is about to stop."""
    if progress.attempted_servers:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN,
            "the VM stopped while a server processed the request",
            run_state_override=RunState.OUTCOME_UNKNOWN,
        )
    return Failure(
        ResultCode.VM_DRAINING,
        "the VM stopped before a server was available",
        REJECTED_RETRY_AFTER,
    )


def failure_of_attempt(
    progress: RequestProgress, result: AttemptResult, pause: Optional[float]
) -> Failure:
    """Returns the failure for a request whose last attempt failed.

    Args:
        progress: State of the request.
        result: Result of the last attempt.
        pause: Seconds until the first server ends its pause; ``None`` unless all are pausing.

    """
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN,
            f"no complete response: {getattr(result, 'reason', result)}",
            run_state_override=RunState.OUTCOME_UNKNOWN,
        )
    return Failure(
        ResultCode.NO_ENGINE_AVAILABLE,
        f"no server accepted the request: {getattr(result, 'reason', result)}",
        REJECTED_RETRY_AFTER if pause is None else pause,
    )


def failure_without_server(
    progress: RequestProgress, pause: Optional[float], evacuated: Sequence[str] = ()
) -> Failure:
    """Returns the failure for a request to a plain service that no server is left for.

    Args:
        progress: State of the request.
        pause: Seconds until the first server ends its pause; ``None`` unless all are pausing.
        evacuated: Evacuated zones with servers of the service.

    """
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN, "no other server is available to retry the request"
        )
    return Failure(
        ResultCode.NO_ENGINE_AVAILABLE,
        _with_zones("no server of the service accepts the request", evacuated),
        NO_SERVER_RETRY_AFTER if pause is None else pause,
    )


def failure_of_limits(progress: RequestProgress, retry_after: float) -> Failure:
    """Returns the failure for a request that no server of a plain service takes in time."""
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN, "no other server takes a retry of the request"
        )
    return Failure(
        ResultCode.NO_ENGINE_AVAILABLE, "the servers take no more requests for now", retry_after
    )


def failure_of_placement(
    refusal: PlacementRefusal, progress: RequestProgress, evacuated: Sequence[str] = ()
) -> Failure:
    """Returns the failure for a request that was assigned no engine.

    Args:
        refusal: The decision.
        progress: State of the request.
        evacuated: Evacuated zones with engines of the service.

    """
    if progress.may_have_run:
        return Failure(
            ResultCode.BACKEND_STREAM_BROKEN, "no other engine was available to resume the request"
        )
    code = {
        RefusalReason.NO_ENGINE: ResultCode.NO_ENGINE_AVAILABLE,
        RefusalReason.LIMITED: ResultCode.NO_ENGINE_AVAILABLE,
        RefusalReason.TOO_LATE: ResultCode.DEADLINE_UNREACHABLE,
        RefusalReason.BACKLOG: ResultCode.ACCOUNT_BACKLOG,
        RefusalReason.NEVER_FITS: ResultCode.PROMPT_NEVER_FITS,
    }[refusal.reason]
    return Failure(code, _with_zones(refusal.reason.value, evacuated), refusal.retry_after)


def _with_zones(detail: str, evacuated: Sequence[str]) -> str:
    """Adds the evacuated zones to the reason of a refusal, as they may have caused it."""
    return f"{detail} (evacuated: {', '.join(evacuated)})" if evacuated else detail
