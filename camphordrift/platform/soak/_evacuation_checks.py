"""Checks that VMs send no requests to the servers of evacuated zones."""

from collections.abc import Iterator

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import (
    SCHEDULING_SLACK,
    STABLE_WINDOW,
    Arrival,
    Evacuation,
    overlaps,
)

#: Seconds after the acknowledgement of an evacuation in which requests may still be sent to the
#: zone (EvacuateMs).
EVACUATION_DELAY = 5.0


def evacuation_violations(observations: Observations) -> Iterator[str]:
    """Yields requests that reached a server of a zone later than their VM must know better."""
    for evacuation in observations.evacuations:
        for arrival in observations.arrivals:
            if observations.zones.get(arrival.server) == evacuation.zone and _is_late(
                arrival, evacuation, observations
            ):
                yield (
                    f"{arrival.server} got {arrival.request_id}"
                    f" {arrival.at - evacuation.start:.2f} s after {evacuation.zone} was evacuated"
                )


def _is_late(arrival: Arrival, evacuation: Evacuation, observations: Observations) -> bool:
    request = observations.requests.get(arrival.request_id)
    known_at = evacuation.start + EVACUATION_DELAY + SCHEDULING_SLACK
    return (
        request is not None
        and known_at < arrival.at < evacuation.end
        and observations.is_in_touch_throughout(request.vm, evacuation.start, known_at)
        # A VM that was restarted since may have read an older copy of the store.
        and not overlaps(observations.vm_disruptions[request.vm], known_at, arrival.at)
        and not overlaps(
            observations.disruptions_of(arrival.server), arrival.at - STABLE_WINDOW, arrival.at
        )
    )
