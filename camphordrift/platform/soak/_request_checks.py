"""Checks of single requests: executions, responses and their times."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import (
    RUN_ONCE_KINDS,
    SCHEDULING_SLACK,
    STREAM_KINDS,
    CallerRequest,
    Execution,
    overlaps,
    stream_body,
)

#: Seconds for which a revoked key may still be accepted (RevokeMs of the deployments).
KEY_REVOCATION_DELAY = 5.0

#: Seconds after a request's timeout within which its final response must arrive.
RESPONSE_SLACK = 0.5

#: Seconds after a caller disconnected within which servers must stop working on its request.
DISCONNECT_SLACK = 0.5

#: Statuses that guarantee that the request did not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def execution_violations(observations: Observations) -> Iterator[str]:
    """Yields executions of unknown requests, for another account or with a revoked API key."""
    for execution in observations.executions:
        request = observations.requests.get(execution.request_id)
        if request is None:
            yield f"{execution.server} ran {execution.request_id}, which no caller sent"
            continue
        if execution.key_forwarded or execution.account != request.account:
            yield (
                f"{execution.server} ran {request.id} as {execution.account!r},"
                f" not {request.account!r}"
            )
        key_revoked_at = observations.key_revoked_at.get(request.key, float("inf"))
        if request.sent_at > key_revoked_at + KEY_REVOCATION_DELAY:
            yield (
                f"{execution.server} ran {request.id}, sent"
                f" {request.sent_at - key_revoked_at:.2f} s after its key was revoked"
            )


def response_violations(observations: Observations) -> Iterator[str]:
    """Yields requests that ran too often, and responses that no server sent."""
    executions = observations.executions_by_request()
    for request in observations.requests.values():
        yield from _response_violations(request, executions[request.id])


def _response_violations(request: CallerRequest, executions: list[Execution]) -> Iterator[str]:
    must_run_once = request.kind in RUN_ONCE_KINDS
    if must_run_once and len(executions) > 1:
        yield f"{request.id} ran {len(executions)} times but must run at most once"
    if request.status in NOT_RUN_STATUSES and executions and must_run_once:
        yield (
            f"{request.id} got status {request.status} although it ran on {executions[0].server}"
        )
    if request.status is None or not 200 <= request.status < 300 or not request.complete:
        return
    if request.signature is None:
        yield f"{request.id} got a successful response without a signature"
    if request.kind in STREAM_KINDS:
        if request.body != stream_body(request.id):
            yield f"{request.id} got a complete stream with wrong events: {request.body!r}"
    elif request.body not in [execution.response_body for execution in executions]:
        yield f"{request.id} got a body that no server sent"


def timing_violations(observations: Observations, now: float) -> Iterator[str]:
    """Yields responses that are late, and executions that outlast their caller's connection."""
    executions = observations.executions_by_request()
    for request in observations.requests.values():
        if request.disconnected_at is None:
            yield from _late_response(request, observations, now)
        else:
            yield from _late_executions(request, executions[request.id], observations, now)


def _late_response(request: CallerRequest, observations: Observations, now: float) -> Iterator[str]:
    limit = request.sent_at + request.timeout
    ended_at = now if request.ended_at is None else request.ended_at
    disruptions = observations.vm_disruptions[request.vm]
    if ended_at > limit + RESPONSE_SLACK + SCHEDULING_SLACK and not overlaps(
        disruptions, request.sent_at - 1.0, ended_at
    ):
        yield f"{request.id} had no final response from {request.vm} at {limit:.2f} s"


def _late_executions(
    request: CallerRequest, executions: list[Execution], observations: Observations, now: float
) -> Iterator[str]:
    if request.disconnected_at is None:
        return
    stop_by = request.disconnected_at + DISCONNECT_SLACK + SCHEDULING_SLACK
    for execution in executions:
        ended_at = now if execution.ended_at is None else execution.ended_at
        disruptions = observations.vm_disruptions[request.vm] + observations.disruptions_of(
            execution.server
        )
        if ended_at > stop_by and not overlaps(disruptions, request.sent_at - 1.0, stop_by):
            yield (
                f"{execution.server} worked on {request.id} for"
                f" {ended_at - request.disconnected_at:.2f} s after its caller disconnected"
            )
