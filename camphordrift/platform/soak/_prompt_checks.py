"""Checks that prompts which crash engines are stopped, and that others are still served."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._prompts import find_crashing_part
from camphordrift.platform.soak._records import (
    SCHEDULING_SLACK,
    STABLE_WINDOW,
    STREAM_KINDS,
    CallerRequest,
    overlaps,
)

#: Number of crashes after which a prompt part must be known, and the number of later requests with
#: it that may reach engines.
CRASHES_TO_DETECT, TOLERATED_ARRIVALS = 5, 3

#: Minimum ratio of the shares of sound requests that begin during and outside of the crashes, and
#: the number of requests from which the shares are compared.
REQUIRED_SHARE_RATIO, COMPARED_REQUESTS = 0.5, 20

#: Seconds after the last crashing prompt until all engines are back, and before a fault of a server
#: within which requests may already be running.
_RESTART_TIME, _REQUEST_TIME = 4.0, 4.0


def crashing_prompt_violations(observations: Observations) -> Iterator[str]:
    """Yields prompt parts that reach engines after enough crashes, or that stop sound requests."""
    crash_times: dict[str, list[float]] = {}
    for crash in observations.crashes:
        crash_times.setdefault(crash.part, []).append(crash.at)
    for part, times in crash_times.items():
        yield from _late_arrivals(part, sorted(times), observations)
        yield from _unserved_requests(part, sorted(times), observations)


def _late_arrivals(part: str, times: list[float], observations: Observations) -> Iterator[str]:
    if len(times) < CRASHES_TO_DETECT:
        return
    limit = times[CRASHES_TO_DETECT - 1] + STABLE_WINDOW + SCHEDULING_SLACK
    late = [
        arrival
        for arrival in observations.arrivals
        if arrival.at > limit
        and (request := observations.requests.get(arrival.request_id)) is not None
        and part in request.parts
        and observations.is_in_touch(request.vm, arrival.at)
        and not overlaps(
            observations.disruptions_of(arrival.server), arrival.at - STABLE_WINDOW, arrival.at
        )
    ]
    if len(late) > TOLERATED_ARRIVALS:
        yield (
            f"{len(late)} requests with prompt part {part} reached engines later than"
            f" {limit - times[CRASHES_TO_DETECT - 1]:.1f} s after its crash number"
            f" {CRASHES_TO_DETECT}, the first of them {late[0].request_id}"
            f" ({len(times)} crashes in all)"
        )


def _unserved_requests(part: str, times: list[float], observations: Observations) -> Iterator[str]:
    crashing = [request for request in observations.requests.values() if part in request.parts]
    start = times[:CRASHES_TO_DETECT][-1] + 2 * STABLE_WINDOW + SCHEDULING_SLACK
    end = max(request.sent_at for request in crashing)
    first_sent_at = min(request.sent_at for request in crashing)
    keys = {request.key for request in crashing}
    first_parts = {request.parts[0] for request in crashing}
    sound = [
        request
        for request in observations.requests.values()
        if _is_comparable(request, observations)
        and (request.key in keys or request.parts[0] in first_parts)
    ]
    during = [request for request in sound if start < request.sent_at < end]
    outside = [
        request
        for request in sound
        if request.sent_at < first_sent_at - _REQUEST_TIME / 2
        or request.sent_at > end + _RESTART_TIME
    ]
    if min(len(during), len(outside)) < COMPARED_REQUESTS:
        return
    share, usual_share = _served_share(during), _served_share(outside)
    if share < REQUIRED_SHARE_RATIO * usual_share:
        yield (
            f"{share:.0%} of {len(during)} sound requests beside prompt part {part} were served,"
            f" outside of it {usual_share:.0%} of {len(outside)}"
        )


def _is_comparable(request: CallerRequest, observations: Observations) -> bool:
    """Returns whether only crashing prompts can have stopped a request for an engine."""
    return (
        request.kind in STREAM_KINDS
        and find_crashing_part(request.parts) is None
        and request.disconnected_at is None
        and request.ended_at is not None
        and request.key not in observations.key_revoked_at
        and observations.is_in_touch(request.vm, request.sent_at)
        and not overlaps(
            observations.server_faults, request.sent_at - _REQUEST_TIME, request.ended_at
        )
    )


def _served_share(requests: list[CallerRequest]) -> float:
    return sum(request.status == 200 for request in requests) / len(requests)
