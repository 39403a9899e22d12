"""The typed failure that every decision returns in place of a bare string."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.results._codes import ResultCode, RunState, meaning_of


@dataclass(frozen=True)
class Failure:
    """Tells what went wrong, and whether the request was run.

    Decisions return it inside ``returns.result.Failure``; the gateway turns it into a JSON error.

    Example::

        Failure(ResultCode.QUEUE_FULL, "engine-3 has 40 requests waiting", retry_after_seconds=2.0)

    See also :class:`ResultCode` for the numbers.
    """

    #: The number that documents and alarms refer to.
    code: ResultCode

    #: What happened, for a person, in one sentence without secrets.
    detail: str

    #: When the caller may ask again, in seconds from now; ``None`` if asking again is no use.
    retry_after_seconds: Optional[float] = None

    #: Overrides the run state of the code, where the same failure can strike before or after a run.
    run_state_override: Optional[RunState] = None

    @property
    def run_state(self) -> RunState:
        """Whether the request was not run, failed, or has an unknown outcome."""
        if self.run_state_override is not None:
            return self.run_state_override
        return meaning_of(self.code).run_state

    @property
    def http_status(self) -> int:
        """The HTTP status that goes with the code."""
        return meaning_of(self.code).http_status


def describe_failure(failure: Failure) -> dict[str, object]:
    """Returns the failure as the JSON object that callers and operators receive."""
    return {
        "message": failure.detail,
        "type": failure.code.name.lower(),
        "code": int(failure.code),
        "run_state": failure.run_state.value,
        "retry_after_seconds": failure.retry_after_seconds,
    }
