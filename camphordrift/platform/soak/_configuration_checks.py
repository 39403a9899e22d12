"""Checks that VMs use new configurations in time, and do not return to older ones."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import SCHEDULING_SLACK, CallerRequest, overlaps
from camphordrift.platform.soak._request_checks import KEY_REVOCATION_DELAY

#: Seconds after a VM applied a configuration in which requests may still be handled as an older
#: one requires (RollbackSlackMs).
ROLLBACK_SLACK = 0.25

#: Seconds after the acknowledgement of a configuration until it is in force (ConfigApplyMs).
APPLY_DELAY = 2.0

#: Status of a response to a request with an unknown API key.
_UNAUTHORIZED = 401


def rollback_violations(observations: Observations) -> Iterator[str]:
    """Yields API keys that a VM accepted again, or rejected again, until it was restarted."""
    ran = {execution.request_id for execution in observations.executions}
    requests: dict[tuple[str, str], list[CallerRequest]] = {}
    for request in observations.requests.values():
        requests.setdefault((request.vm, request.key), []).append(request)
    for requests_with_key in requests.values():
        rejected = [r for r in requests_with_key if r.status == _UNAUTHORIZED]
        accepted = [r for r in requests_with_key if r.id in ran]
        revoked_at = observations.key_revoked_at.get(requests_with_key[0].key, float("inf"))
        rejected_after = [r for r in rejected if (r.ended_at or 0.0) > revoked_at]
        rejected_before = [r for r in rejected if (r.ended_at or r.sent_at) < revoked_at]
        yield from _changed_back(rejected_after, accepted, "accepted", observations)
        yield from _changed_back(accepted, rejected_before, "rejected", observations)


def late_configuration_violations(observations: Observations) -> Iterator[str]:
    """Yields requests with a revoked API key that a VM in touch sent to a server too late.

    Those that no VM may send any more are reported by another check.
    """
    for execution in observations.executions:
        request = observations.requests.get(execution.request_id)
        if request is None:
            continue
        revoked_at = observations.key_revoked_at.get(request.key, float("inf"))
        late = request.sent_at - revoked_at
        is_late = APPLY_DELAY + SCHEDULING_SLACK < late <= KEY_REVOCATION_DELAY
        if is_late and observations.is_in_touch_throughout(request.vm, revoked_at, request.sent_at):
            yield (
                f"{request.vm} sent {request.id} to {execution.server}, though key {request.key}"
                f" had been revoked {late:.2f} s before"
            )


def _changed_back(
    earlier: list[CallerRequest],
    later: list[CallerRequest],
    outcome: str,
    observations: Observations,
) -> Iterator[str]:
    """Yields a line if a request of ``later`` was sent after one of ``earlier`` had ended."""
    ends = [request.ended_at for request in earlier if request.ended_at is not None]
    for request in later:
        disruptions = observations.vm_disruptions[request.vm]
        for ended_at in ends:
            if request.sent_at > ended_at + ROLLBACK_SLACK and not overlaps(
                disruptions, ended_at, request.sent_at
            ):
                yield (
                    f"{request.vm} {outcome} key {request.key} of {request.id} again,"
                    f" {request.sent_at - ended_at:.2f} s after a newer configuration was in force"
                )
                return
