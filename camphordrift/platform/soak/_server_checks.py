"""Checks that VMs heed servers that leave, turn requests away or limit them."""

from collections.abc import Iterator

from camphordrift.platform.soak._document_publisher import COLD_RATE
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import (
    SCHEDULING_SLACK,
    STABLE_WINDOW,
    Arrival,
    CallerRequest,
    Execution,
    overlaps,
)

#: Seconds after a VM learned that a server leaves, in which callers' requests may still be sent to
#: it (DrainMs).
DRAIN_DELAY = 2.0

#: Seconds after a refusal that asks a VM to pause in which requests may still be on their way, and
#: the number of requests that may arrive from then on until the end of the pause.
PAUSE_DELAY, TOLERATED_IN_PAUSE = 0.5, 2

#: A server that named a limit gets at most the limit times the window times the factor, plus the
#: slack, in any window of seconds (LIMIT).
LIMIT_FACTOR, LIMIT_WINDOW, LIMIT_SLACK = 1.5, 4.0, 5

#: A cold server gets at most its service's rate times the factor, plus the slack, in any second
#: (ColdOverage, ColdSlack; FAILBACK).
COLD_FACTOR, COLD_SLACK = 1.5, 5


def leaving_violations(observations: Observations) -> Iterator[str]:
    """Yields requests that a VM sent to a server after forwarding a response that says it leaves.

    The VM learns this from its own traffic, so no disruption excuses it but one of the VM itself.
    """
    told_at = _times_of_leaving_responses(observations)
    for execution in observations.executions:
        request = observations.requests.get(execution.request_id)
        if request is None:
            continue
        since = told_at.get((request.vm, execution.server), float("inf"))
        if request.sent_at > since + DRAIN_DELAY and not overlaps(
            observations.vm_disruptions[request.vm], since, request.sent_at
        ):
            yield (
                f"{execution.server} ran {request.id}, sent {request.sent_at - since:.2f} s after"
                f" {request.vm} forwarded a response in which the server says that it leaves"
            )


def _times_of_leaving_responses(observations: Observations) -> dict[tuple[str, str], float]:
    """Returns when a VM first forwarded a response of a leaving server, by VM and server."""
    told_at: dict[tuple[str, str], float] = {}
    for execution in observations.executions:
        request = observations.requests.get(execution.request_id)
        if request is None or request.head_at is None:
            continue
        if execution.leaving and request.signature == execution.server:
            key = request.vm, execution.server
            told_at[key] = min(request.head_at, told_at.get(key, float("inf")))
    return told_at


def draining_violations(observations: Observations) -> Iterator[str]:
    """Yields requests that a VM sent to a server later than it must know that the server drains."""
    for execution in observations.executions:
        request = observations.requests.get(execution.request_id)
        listed_at = observations.draining_at.get(execution.server)
        if (
            request is not None
            and listed_at is not None
            and _must_know_draining(request, execution, listed_at, observations)
        ):
            yield (
                f"{execution.server} ran {request.id}, sent by {request.vm}"
                f" {request.sent_at - listed_at:.2f} s after the server was listed as draining"
            )


def _must_know_draining(
    request: CallerRequest, execution: Execution, listed_at: float, observations: Observations
) -> bool:
    known_at = listed_at + DRAIN_DELAY + SCHEDULING_SLACK
    return (
        request.sent_at > known_at
        and observations.is_in_touch_throughout(request.vm, listed_at, known_at)
        # A VM that was restarted since may have read an older copy of the store.
        and not overlaps(observations.vm_disruptions[request.vm], known_at, request.sent_at)
        and not overlaps(
            observations.disruptions_of(execution.server),
            request.sent_at - STABLE_WINDOW,
            execution.started_at,
        )
    )


def pause_violations(observations: Observations) -> Iterator[str]:
    """Yields servers that got requests of a VM in a pause for which they had asked it."""
    arrivals: dict[tuple[str, str], list[Arrival]] = {}
    for arrival in observations.arrivals:
        request = observations.requests.get(arrival.request_id)
        if request is not None:
            arrivals.setdefault((request.vm, arrival.server), []).append(arrival)
    for (vm, server), arrivals_of_vm in arrivals.items():
        count = max(
            _arrivals_in_pause(arrival, arrivals_of_vm, vm, observations)
            for arrival in arrivals_of_vm
        )
        if count > TOLERATED_IN_PAUSE:
            yield f"{server} got {count} requests of {vm} in a pause for which it had asked"


def limit_violations(observations: Observations) -> Iterator[str]:
    """Yields servers that got more requests than the limits that they named allow."""
    arrivals: dict[tuple[str, float], list[Arrival]] = {}
    for arrival in observations.arrivals:
        if arrival.limit is not None and _must_keep_limit(arrival, observations):
            arrivals.setdefault((arrival.server, arrival.limited_since), []).append(arrival)
    for (server, _), limited in arrivals.items():
        limit = limited[0].limit or 0.0
        allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW + LIMIT_SLACK
        count = max(
            sum(first.at <= arrival.at < first.at + LIMIT_WINDOW for arrival in limited)
            for first in limited
        )
        if count > allowed:
            yield (
                f"{server} got {count} requests in {LIMIT_WINDOW:g} s at a limit of {limit:g} per"
                f" second; allowed {allowed:g}"
            )


def cold_violations(observations: Observations) -> Iterator[str]:
    """Yields cold servers that got more requests in a second than all VMs together may send."""
    arrivals: dict[tuple[str, float], list[Arrival]] = {}
    for arrival in observations.arrivals:
        since = arrival.cold_since
        if since is not None and _must_know_cold(arrival, since, observations):
            arrivals.setdefault((arrival.server, since), []).append(arrival)
    allowed = COLD_FACTOR * COLD_RATE + COLD_SLACK
    for (server, _), cold in arrivals.items():
        count = max(sum(first.at <= item.at < first.at + 1.0 for item in cold) for first in cold)
        if count > allowed:
            yield f"{server} got {count} requests in 1 s while it was cold; allowed {allowed:g}"


def _must_know_cold(arrival: Arrival, since: float, observations: Observations) -> bool:
    request = observations.requests.get(arrival.request_id)
    known_at = since + DRAIN_DELAY + SCHEDULING_SLACK
    return (
        request is not None
        and arrival.at >= known_at
        and observations.is_in_touch_throughout(request.vm, since, known_at)
        and not overlaps(observations.vm_disruptions[request.vm], since, arrival.at)
        and not overlaps(observations.disruptions_of(arrival.server), since, arrival.at)
    )


def _must_keep_limit(arrival: Arrival, observations: Observations) -> bool:
    request = observations.requests.get(arrival.request_id)
    return (
        request is not None
        and arrival.at >= arrival.limited_since + STABLE_WINDOW
        and not overlaps(observations.vm_disruptions[request.vm], arrival.limited_since, arrival.at)
        and not overlaps(
            observations.disruptions_of(arrival.server), arrival.limited_since, arrival.at
        )
    )


def _arrivals_in_pause(
    refusal: Arrival, arrivals: list[Arrival], vm: str, observations: Observations
) -> int:
    if refusal.refused_at is None:
        return 0
    start = refusal.refused_at + PAUSE_DELAY + SCHEDULING_SLACK
    connection_disruptions = observations.disruptions_of(refusal.server)
    return sum(
        start < arrival.at < refusal.pause_ends_at
        and not overlaps(observations.vm_disruptions[vm], refusal.at, arrival.at)
        and not overlaps(connection_disruptions, arrival.at - STABLE_WINDOW, arrival.at)
        for arrival in arrivals
    )
