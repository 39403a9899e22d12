"""Classifies the error of an attempt.

The classification says whether the attempt may have run, whether it is retryable, and whether the
backend server is at fault.
"""

from dataclasses import dataclass
from typing import Optional, Union

from camphordrift import results
from camphordrift.backend_servers import (
    BackendError,
    BackendRefusedError,
    BackendSilentError,
    BackendUnreachableError,
    StreamBrokenError,
)
from camphordrift.results import ResultCode, RunState
from camphordrift.retries._breaker import AttemptResult

#: Response statuses after which another attempt, or another server, may succeed.
RETRYABLE_STATUSES = frozenset({408, 409, 425, 429, 500, 502, 503, 504})

AttemptError = Union[BackendError, results.Failure]


@dataclass(frozen=True)
class Classification:
    """What the error of an attempt means for a retry and for the circuit breaker."""

    #: False only if no byte of the request can have reached the server, or if the server reports
    #: that it did not run the request.
    may_have_run: bool

    #: Whether another attempt may succeed.
    retryable: bool

    #: Result code for the caller if the request is not retried.
    code: ResultCode

    #: Error detail for the caller.
    detail: str

    #: The result to report to the circuit breaker of the server.
    attempt_result: AttemptResult

    #: Seconds that the failure asks to wait before a retry; ``None`` if it asks for no delay.
    retry_after_seconds: Optional[float] = None


def classify(error: AttemptError) -> Classification:
    """Classifies the error of an attempt; an unknown error is not retryable and may have run."""
    detail = error.detail if isinstance(error, results.Failure) else str(error)
    failed = AttemptResult.FAILED
    match error:
        case results.Failure():
            return _classify_failure(error)
        case BackendUnreachableError():
            return Classification(False, True, ResultCode.BACKEND_UNREACHABLE, detail, failed)
        case BackendRefusedError():
            return _classify_refusal(error)
        case BackendSilentError():
            return Classification(True, True, ResultCode.BACKEND_SILENT, detail, failed)
        case StreamBrokenError():
            return Classification(True, True, ResultCode.BACKEND_STREAM_BROKEN, detail, failed)
        case _:
            return Classification(True, False, ResultCode.INTERNAL_ERROR, detail, failed)


def _classify_refusal(error: BackendRefusedError) -> Classification:
    retryable = error.status in RETRYABLE_STATUSES
    at_fault = error.status >= 500 and not error.not_run
    return Classification(
        may_have_run=not error.not_run,
        retryable=retryable,
        code=ResultCode.BACKEND_REFUSED,
        detail=str(error),
        attempt_result=AttemptResult.FAILED if at_fault else AttemptResult.NEUTRAL,
    )


def _classify_failure(failure: results.Failure) -> Classification:
    return Classification(
        may_have_run=failure.run_state is not RunState.NOT_RUN,
        retryable=failure.retry_after_seconds is not None,
        code=failure.code,
        detail=failure.detail,
        attempt_result=AttemptResult.NEUTRAL,
        retry_after_seconds=failure.retry_after_seconds,
    )
