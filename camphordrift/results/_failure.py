"""The failure type of operations that return a ``Result``."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.results._codes import ResultCode, RunState, meaning_of


@dataclass(frozen=True)
class Failure:
    """Why an operation failed, and whether the request may have run.

    Operations return it in a ``returns.result.Failure``; the HTTP APIs convert it to a JSON error
    object. Since every failure has a code, callers and operators always get one.

    Example::

        Failure(ResultCode.QUEUE_FULL, "engine-3 has 40 requests waiting", retry_after_seconds=2.0)

    See also :class:`ResultCode` for the numbers.
    """

    #: The result code, which documents and alerts refer to.
    code: ResultCode

    #: What happened, as a text for people; it must not contain secrets.
    detail: str

    #: Seconds after which the caller may retry; ``None`` if a retry would not help.
    retry_after_seconds: Optional[float] = None

    #: Replaces the run state of the code, for failures that can occur both before and after a run.
    run_state_override: Optional[RunState] = None

    @property
    def run_state(self) -> RunState:
        """Whether the request was not run, failed, or has an unknown outcome."""
        if self.run_state_override is not None:
            return self.run_state_override
        return meaning_of(self.code).run_state

    @property
    def http_status(self) -> int:
        """The HTTP status of responses with this failure."""
        return meaning_of(self.code).http_status


def describe_failure(failure: Failure) -> dict[str, object]:
    """Returns the failure as the JSON error object for callers and operators."""
    return {
        "message": failure.detail,
        "type": failure.code.name.lower(),
        "code": int(failure.code),
        "run_state": failure.run_state.value,
        "retry_after_seconds": failure.retry_after_seconds,
    }
