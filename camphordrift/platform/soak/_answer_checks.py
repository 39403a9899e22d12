"""Checks that each request that was read gets a complete response."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import CallerRequest, Execution, overlaps

#: Seconds from SIGTERM to SIGKILL.
GRACE_PERIOD = 4.0

#: Share of the grace period at whose end a VM may give up requests on which a server still works.
_FULL_SERVICE_SHARE = 5 / 6

#: Seconds after SIGTERM in which such requests must have been sent.
_LATEST_SENDING = 3.0

#: Seconds before its deadline from which a request may end without a response.
_DEADLINE_MARGIN = 0.1

#: Seconds after a cut for which a VM may still reuse connections through other VMs.
_TUNNEL_REUSE_TIME = 5.0


def unanswered_violations(observations: Observations) -> Iterator[str]:
    """Yields requests whose connection ended without a complete response.

    A response may be incomplete if a server broke it off or was cut off, if the deadline came, or
    if the VM was killed or paused, or the one through which it reached the server. A VM that got
    SIGTERM may close connections on which it has read no request.
    """
    executions = observations.executions_by_request()
    for request in observations.requests.values():
        if _ended_without_response(request) and not _is_excused(
            request, executions[request.id], observations
        ):
            servers = ", ".join(execution.server for execution in executions[request.id])
            yield (
                f"{request.id} ({request.kind}) got no complete response from {request.vm}"
                f" {(request.ended_at or 0.0) - request.sent_at:.2f} s after it was sent"
                f" (status {request.status}; ran on: {servers or 'no server'})"
            )


def _ended_without_response(request: CallerRequest) -> bool:
    return (
        request.ended_at is not None
        and request.disconnected_at is None
        and request.sent_completely
        and not request.complete
        and request.ended_at < request.sent_at + request.timeout - _DEADLINE_MARGIN
    )


def _is_excused(
    request: CallerRequest, executions: list[Execution], observations: Observations
) -> bool:
    sent_at, ended_at = request.sent_at, request.ended_at or request.sent_at
    if overlaps(observations.vm_interruptions[request.vm], sent_at, ended_at):
        return True
    if _lost_its_path(request, ended_at, observations):
        return True
    for execution in executions:
        disruptions = observations.disruptions_of(execution.server)
        if execution.broken_off or overlaps(disruptions, sent_at, ended_at):
            return True
    for stopped_at, exited_at in observations.vm_stops[request.vm]:
        if not overlaps([(stopped_at, exited_at)], sent_at, ended_at):
            continue
        at_work_until = max((e.ended_at or ended_at for e in executions), default=sent_at)
        may_give_up = (
            sent_at <= stopped_at + _LATEST_SENDING
            and at_work_until >= stopped_at + GRACE_PERIOD * _FULL_SERVICE_SHARE
        )
        if may_give_up or not executions:
            return True
    return False


def _lost_its_path(request: CallerRequest, ended_at: float, observations: Observations) -> bool:
    """Returns whether the connection to the server broke between the request's VM and the server.

    That is so if the VM's paths were cut after the request was sent, or if another VM, through
    which it may have reached the server, was killed or paused.
    """
    for cut in observations.path_cuts:
        if request.vm not in cut.vms:
            continue
        if request.sent_at < cut.start < ended_at:
            return True
        uses_other_vm = cut.start < ended_at and request.sent_at < cut.end + _TUNNEL_REUSE_TIME
        if uses_other_vm and any(
            overlaps(spans, request.sent_at, ended_at)
            for vm, spans in observations.vm_interruptions.items()
            if vm != request.vm
        ):
            return True
    return False
