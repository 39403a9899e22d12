"""Checks that requests which crash servers are stopped, and that others are still served."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._prompts import is_whole_request
from camphordrift.platform.soak._records import (
    SCHEDULING_SLACK,
    STABLE_WINDOW,
    STREAM_KINDS,
    CallerRequest,
    overlaps,
)

#: Number of crashes after which a part of prompts must be known, and a request that comes again.
CRASHES_TO_DETECT, CRASHES_TO_DETECT_REQUEST = 5, 3

#: Number of later requests that may reach servers.
TOLERATED_ARRIVALS = 3

#: Minimum ratio of the shares of sound requests that begin during and outside of the crashes, and
#: the number of requests from which the shares are compared.
REQUIRED_SHARE_RATIO, COMPARED_REQUESTS = 0.5, 20

#: Seconds after the last crashing prompt until all engines are back, and before a fault of a server
#: within which requests may already be running.
_RESTART_TIME, _REQUEST_TIME = 4.0, 4.0


def crash_violations(observations: Observations) -> Iterator[str]:
    """Yields what reaches servers after enough crashes on it, or stops sound requests."""
    crash_times: dict[str, list[float]] = {}
    for crash in observations.crashes:
        crash_times.setdefault(crash.cause, []).append(crash.at)
    for cause, times in crash_times.items():
        yield from _late_arrivals(cause, sorted(times), observations)
        yield from _unserved_requests(cause, sorted(times), observations)


def _crashes_to_detect(cause: str) -> int:
    return CRASHES_TO_DETECT_REQUEST if is_whole_request(cause) else CRASHES_TO_DETECT


def _late_arrivals(cause: str, times: list[float], observations: Observations) -> Iterator[str]:
    crashes = _crashes_to_detect(cause)
    if len(times) < crashes:
        return
    limit = times[crashes - 1] + STABLE_WINDOW + SCHEDULING_SLACK
    late = [
        arrival
        for arrival in observations.arrivals
        if arrival.at > limit
        and (request := observations.requests.get(arrival.request_id)) is not None
        and request.crash_cause == cause
        and observations.is_in_touch(request.vm, arrival.at)
        and not overlaps(
            observations.disruptions_of(arrival.server), arrival.at - STABLE_WINDOW, arrival.at
        )
    ]
    if len(late) > TOLERATED_ARRIVALS:
        yield (
            f"{len(late)} requests with {cause!r} reached servers later than"
            f" {limit - times[crashes - 1]:.1f} s after its crash number"
            f" {crashes}, the first of them {late[0].request_id}"
            f" ({len(times)} crashes in all)"
        )


def _unserved_requests(cause: str, times: list[float], observations: Observations) -> Iterator[str]:
    requests = observations.requests.values()
    crashing = [request for request in requests if request.crash_cause == cause]
    start = times[: _crashes_to_detect(cause)][-1] + 2 * STABLE_WINDOW + SCHEDULING_SLACK
    end = max(request.sent_at for request in crashing)
    first_sent_at = min(request.sent_at for request in crashing)
    keys = {request.key for request in crashing}
    first_parts = {request.parts[0] for request in crashing if request.parts}
    are_streams = crashing[0].kind in STREAM_KINDS
    sound = [
        request
        for request in requests
        if (request.kind in STREAM_KINDS) == are_streams
        and _is_comparable(request, observations)
        and (request.key in keys or not first_parts.isdisjoint(request.parts[:1]))
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
            f"{share:.0%} of {len(during)} sound requests beside {cause!r} were served,"
            f" outside of it {usual_share:.0%} of {len(outside)}"
        )


def _is_comparable(request: CallerRequest, observations: Observations) -> bool:
    """Returns whether only crashing requests can have stopped a request."""
    return (
        request.crash_cause is None
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
