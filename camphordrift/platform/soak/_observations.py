"""What callers and servers observed, checked against the documented guarantees."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Optional

import trio

#: Seconds for which a revoked key may still be accepted (RevokeMs of the deployments).
KEY_REVOCATION_DELAY = 5.0

#: Seconds after a request's timeout within which its final response must arrive.
RESPONSE_SLACK = 0.5

#: Seconds after a caller disconnected within which servers must stop working on its request.
DISCONNECT_SLACK = 0.5

#: Seconds added to time limits, because a busy machine may delay the soak's processes. What must
#: never happen is checked without this tolerance.
SCHEDULING_SLACK = 1.0

#: Statuses that guarantee that the request did not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


#: Start and end of an interval, as times of the soak's clock in seconds.
Span = tuple[float, float]


@dataclass
class CallerRequest:
    """One request as its caller observed it. Times are seconds of the soak's clock."""

    id: str
    #: "stream", "once" or "repeatable".
    kind: str
    key: str
    account: str
    vm: str
    sent_at: float
    #: Timeout of the caller in seconds.
    timeout: float
    status: Optional[int] = None
    #: Whether the response arrived completely.
    complete: bool = False
    #: Whether the response has the signature header of a backend server.
    signed: bool = False
    body: bytes = b""
    #: Time at which the response ended or the connection broke.
    ended_at: Optional[float] = None
    #: Time at which the caller closed the connection deliberately.
    disconnected_at: Optional[float] = None


@dataclass
class Execution:
    """One execution of a request by a backend server."""

    request_id: str
    server: str
    account: str
    #: Whether the relay forwarded the caller's API key, which it must not.
    key_forwarded: bool
    started_at: float
    ended_at: Optional[float] = None
    #: Body of the response; ``None`` unless the server sent it completely.
    response_body: Optional[bytes] = None


@dataclass
class Observations:
    """Collects what callers, servers and processes did; :meth:`violations` checks it."""

    requests: dict[str, CallerRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    #: Time by API key at which the store acknowledged the revocation.
    key_revoked_at: dict[str, float] = field(default_factory=dict)
    #: Intervals in which a VM was stopped, paused, killed or starting, by VM.
    vm_disruptions: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    #: Intervals in which connections between the VMs and a server were disrupted, by server.
    server_disruptions: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    #: Unexpected exits and errors of the relay processes.
    process_failures: list[str] = field(default_factory=list)

    @contextmanager
    def record_span(self, spans: list[Span], extra_seconds: float = 0.0) -> Iterator[None]:
        """Appends the interval in which the ``with`` block ran to ``spans``.

        Args:
            spans: The intervals to append to.
            extra_seconds: Seconds by which the end is extended.

        """
        started_at = trio.current_time()
        try:
            yield
        finally:
            spans.append((started_at, trio.current_time() + extra_seconds))

    def violations(self, now: float, check_timing: bool = True) -> list[str]:
        """Returns a line for each violated guarantee.

        Args:
            now: Current time, used as the end of what is still running.
            check_timing: Whether to check times too, which a slow machine may exceed.

        """
        executions: dict[str, list[Execution]] = defaultdict(list)
        for execution in self.executions:
            executions[execution.request_id].append(execution)
        violations = list(self.process_failures)
        for execution in self.executions:
            violations += self._execution_violations(execution)
        for request in self.requests.values():
            violations += self._response_violations(request, executions[request.id])
            if check_timing:
                violations += self._timing_violations(request, executions[request.id], now)
        return violations

    def outcome_counts(self) -> dict[str, int]:
        """Returns the number of requests by outcome, and the number of executions as "runs"."""
        outcomes = Counter(_outcome_of(request) for request in self.requests.values())
        return {**dict(sorted(outcomes.items())), "runs": len(self.executions)}

    def _execution_violations(self, execution: Execution) -> Iterator[str]:
        request = self.requests.get(execution.request_id)
        if request is None:
            yield f"{execution.server} ran {execution.request_id}, which no caller sent"
            return
        if execution.key_forwarded or execution.account != request.account:
            yield (
                f"{execution.server} ran {request.id} as {execution.account!r},"
                f" not {request.account!r}"
            )
        key_revoked_at = self.key_revoked_at.get(request.key, float("inf"))
        if request.sent_at > key_revoked_at + KEY_REVOCATION_DELAY:
            yield (
                f"{execution.server} ran {request.id}, sent"
                f" {request.sent_at - key_revoked_at:.2f} s after its key was revoked"
            )

    def _response_violations(
        self, request: CallerRequest, executions: list[Execution]
    ) -> Iterator[str]:
        if request.kind == "once" and len(executions) > 1:
            yield f"{request.id} ran {len(executions)} times but must run at most once"
        if request.status in NOT_RUN_STATUSES and executions and request.kind == "once":
            yield (
                f"{request.id} got status {request.status} although it ran on"
                f" {executions[0].server}"
            )
        if request.status is None or not 200 <= request.status < 300 or not request.complete:
            return
        if not request.signed:
            yield f"{request.id} got a successful response without a signature"
        if request.kind == "stream":
            if request.body != stream_body(request.id):
                yield f"{request.id} got a complete stream with wrong events: {request.body!r}"
        elif request.body not in [execution.response_body for execution in executions]:
            yield f"{request.id} got a body that no server sent"

    def _timing_violations(
        self, request: CallerRequest, executions: list[Execution], now: float
    ) -> Iterator[str]:
        limit = request.sent_at + request.timeout
        ended_at = now if request.ended_at is None else request.ended_at
        if request.disconnected_at is None:
            late = ended_at > limit + RESPONSE_SLACK + SCHEDULING_SLACK
            if late and not _overlaps(
                self.vm_disruptions[request.vm], request.sent_at - 1.0, ended_at
            ):
                yield f"{request.id} had no final response from {request.vm} at {limit:.2f} s"
            return
        stop_by = request.disconnected_at + DISCONNECT_SLACK + SCHEDULING_SLACK
        for execution in executions:
            ended_at = now if execution.ended_at is None else execution.ended_at
            vm_disruptions = (
                self.vm_disruptions[request.vm] + self.server_disruptions[execution.server]
            )
            if ended_at > stop_by and not _overlaps(vm_disruptions, request.sent_at - 1.0, stop_by):
                yield (
                    f"{execution.server} worked on {request.id} for"
                    f" {ended_at - request.disconnected_at:.2f} s after its caller disconnected"
                )


#: Number of events in one stream.
STREAM_EVENTS = 8


def stream_body(request_id: str, after: int = 0) -> bytes:
    """Returns the events of a request's stream that follow event ``after``."""
    return b"".join(stream_event(request_id, n) for n in range(after + 1, STREAM_EVENTS + 1))


def stream_event(request_id: str, number: int) -> bytes:
    """Returns one event of a request's stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def _overlaps(spans: list[Span], start: float, end: float) -> bool:
    return any(started_at < end and start < ended_at for started_at, ended_at in spans)


def _outcome_of(request: CallerRequest) -> str:
    if request.disconnected_at is not None:
        return "left"
    if request.status is None:
        return "no answer"
    return str(request.status) if request.complete else f"{request.status} broken off"
