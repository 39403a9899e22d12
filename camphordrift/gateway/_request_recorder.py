"""Records how each request ended, in logs, metrics and the decision record."""

from dataclasses import dataclass
from typing import Optional

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.gateway._active_requests import ActiveRequest
from camphordrift.identifiers import BackendServerId, RequestId
from camphordrift.results import Failure, ResultCode
from camphordrift.retries import AttemptError
from camphordrift.telemetry import Decision, DecisionRecord, LogLevel, Metrics, log_event

#: Ranges of prompt length (bands) in metrics: the inclusive upper bound in tokens, and the label.
_LENGTH_BANDS = ((4_000, "to_4k"), (32_000, "to_32k"), (100_000, "to_100k"))

#: Metric label of prompts longer than all upper bounds.
_LONGEST_BAND = "over_100k"


@dataclass(frozen=True)
class RequestEnd:
    """How an admitted request ended."""

    #: The API that was called: ``completions``, ``chat`` or ``service``.
    interface: str

    #: Why the request failed; ``None`` if it succeeded.
    failure: Optional[Failure]

    #: Number of attempts on engines; zero for plain services.
    attempts: int = 0

    #: The engine that completed the output; ``None`` for failed requests and plain services.
    server_id: Optional[BackendServerId] = None

    #: The prompt's estimated length in tokens; zero for plain services.
    prompt_tokens: int = 0

    #: Number of output tokens delivered to the caller.
    output_tokens: int = 0

    #: Seconds to the first token; ``None`` for failed requests and plain services.
    first_token_seconds: Optional[float] = None


class RequestRecorder:
    """Records the ends of requests and failed attempts in logs, metrics and the decision record.

    Each request is recorded by exactly one call of :meth:`record_refused`, :meth:`record_ended` or
    :meth:`record_abandoned` when it ends.
    """

    def __init__(self, metrics: Metrics, decisions: DecisionRecord) -> None:
        self._metrics = metrics
        self._decisions = decisions

    @property
    def metrics(self) -> Metrics:
        """The metrics to which requests are added."""
        return self._metrics

    def record_refused(self, request_id: RequestId, interface: str, failure: Failure) -> None:
        """Records a request that was refused before it was admitted."""
        code = failure.code.name.lower()
        self._metrics.refusals.add(interface=interface, code=code)
        self._record_decision(request_id, "admission", f"refused {code}", failure.detail)
        log_event(
            "request_refused",
            interface=interface,
            code=int(failure.code),
            reason=code,
            run_state=failure.run_state.value,
            detail=failure.detail,
        )

    def record_ended(self, request: ActiveRequest, end: RequestEnd) -> None:
        """Records an admitted request that succeeded or failed."""
        seconds = trio.current_time() - request.admitted_at
        code = ResultCode.OK if end.failure is None else end.failure.code
        self._metrics.requests.add(interface=end.interface, code=code.name.lower())
        self._metrics.request_seconds.record(seconds, interface=end.interface)
        if end.output_tokens:
            self._metrics.output_tokens.add(end.output_tokens)
        if end.first_token_seconds is not None:
            band = length_band(end.prompt_tokens)
            self._metrics.first_token_seconds.record(end.first_token_seconds, band=band)
        if end.failure is not None:
            outcome = f"failed {code.name.lower()}"
            self._record_decision(request.request_id, "request", outcome, end.failure.detail)
        log_event(
            "request_ended",
            level=LogLevel.INFO if end.failure is None else LogLevel.WARNING,
            interface=end.interface,
            account=request.account_id,
            subject=request.subject,
            code=int(code),
            run_state="completed" if end.failure is None else end.failure.run_state.value,
            seconds=seconds,
            first_token_seconds=end.first_token_seconds,
            attempts=end.attempts,
            server=end.server_id,
            prompt_tokens=end.prompt_tokens,
            output_tokens=end.output_tokens,
            detail="" if end.failure is None else end.failure.detail,
        )

    def record_abandoned(self, request: ActiveRequest, interface: str, output_tokens: int) -> None:
        """Records an admitted request whose caller disconnected."""
        code = ResultCode.CLIENT_DISCONNECTED
        self._metrics.requests.add(interface=interface, code=code.name.lower())
        log_event(
            "request_abandoned",
            interface=interface,
            account=request.account_id,
            subject=request.subject,
            code=int(code),
            seconds=trio.current_time() - request.admitted_at,
            output_tokens=output_tokens,
        )

    def record_failed_attempt(
        self, request_id: RequestId, server_id: BackendServerId, attempt: int, error: AttemptError
    ) -> None:
        """Records a failed attempt on a backend server."""
        kind = type(error).__name__
        detail = error.detail if isinstance(error, Failure) else str(error)
        self._metrics.backend_failures.add(server=server_id, kind=kind)
        self._record_decision(
            request_id, "attempt", f"attempt {attempt} failed on {server_id}", detail
        )
        log_event(
            "attempt_failed",
            level=LogLevel.WARNING,
            server=server_id,
            attempt=attempt,
            error=kind,
            detail=detail,
        )

    def _record_decision(
        self, request_id: RequestId, component: str, outcome: str, reason: str
    ) -> None:
        now = trio.current_time()
        self._decisions.add(Decision(now, component, outcome, reason, request_id))


def length_band(prompt_tokens: int) -> str:
    """Returns the metric label of the range of prompt lengths that contains ``prompt_tokens``."""
    for upper_bound, name in _LENGTH_BANDS:
        if prompt_tokens <= upper_bound:
            return name
    return _LONGEST_BAND


def failure_of(outcome: result.Result[object, Failure]) -> Optional[Failure]:
    """Returns the failure in ``outcome``, or ``None`` if it is a success."""
    return None if is_successful(outcome) else outcome.failure()
