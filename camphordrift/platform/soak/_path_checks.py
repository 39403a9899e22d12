"""Checks that callers of VMs that lost their paths to the servers are served like others."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import SCHEDULING_SLACK, STABLE_WINDOW, CallerRequest

#: Minimum ratio of the shares of requests that are served at VMs without paths and at others.
REQUIRED_RATIO = 2 / 3

#: Number of requests that may fail at VMs without paths in any case, and the additional share.
TOLERATED_FAILURES, TOLERATED_SHARE = 10, 1 / 50


def lost_path_violations(observations: Observations) -> Iterator[str]:
    """Yields VMs without paths to servers that serve far less than the others."""
    for cut in observations.path_cuts:
        start = cut.start + STABLE_WINDOW + SCHEDULING_SLACK
        during = [
            request
            for request in observations.requests.values()
            if start < request.sent_at < cut.end - request.timeout
            and request.disconnected_at is None
            and request.crash_cause is None
            and request.key not in observations.key_revoked_at
            and observations.is_in_touch_throughout(
                request.vm, request.sent_at, request.ended_at or cut.end
            )
        ]
        affected = [request for request in during if request.vm in cut.vms]
        others = [request for request in during if request.vm not in cut.vms]
        if not affected or not others:
            continue
        failed = len(affected) - _count_served(affected)
        share, usual_share = (_count_served(item) / len(item) for item in (affected, others))
        if (
            share < REQUIRED_RATIO * usual_share
            and failed > TOLERATED_FAILURES + TOLERATED_SHARE * len(affected)
        ):
            yield (
                f"{', '.join(sorted(cut.vms))} without paths to servers from {cut.start:.2f} s on"
                f" served {share:.0%} of {len(affected)} requests, other VMs {usual_share:.0%}"
                f" of {len(others)}"
            )


def _count_served(requests: list[CallerRequest]) -> int:
    return sum(request.status == 200 and request.complete for request in requests)
