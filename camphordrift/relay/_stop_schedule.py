"""Decides when a VM that was told to stop refuses requests and exits."""

from dataclasses import dataclass

#: Seconds for which a stopping VM accepts connections, until the load balancer has removed it, and
#: maximum share of the grace period.
DEREGISTRATION_DELAY = 3.0
DEREGISTRATION_SHARE = 3 / 8

#: Seconds before that time from which requests that may outlast the VM are refused, and maximum
#: share of that time. It covers a signal that is noticed late and requests that are under way.
LATE_REFUSAL_LEAD = 0.5
LATE_REFUSAL_SHARE = 1 / 2

#: Maximum number of seconds before the end of the grace period at which a stopping VM exits by
#: itself, and maximum share of that period. Requests that a server still processes in its last
#: sixth need not be finished.
EXIT_MARGIN = 0.7
EXIT_MARGIN_SHARE = 1 / 8

#: Seconds before that time at which requests whose response has not started are refused, and
#: maximum share of the grace period.
LAST_REFUSAL_LEAD = 0.25
LAST_REFUSAL_SHARE = 1 / 8


@dataclass(frozen=True)
class StopSchedule:
    """The times of a planned stop, in seconds after the signal."""

    #: From then on, new requests that may run for longer than the VM does are refused.
    late_refusal: float
    #: From then on, new connections are refused.
    deregistration: float
    #: From then on, all requests whose response has not started are refused.
    last_refusal: float
    #: When the VM exits at the latest.
    exit: float


def stop_schedule(grace_period: float) -> StopSchedule:
    """Returns the schedule of a VM that is killed ``grace_period`` seconds after the signal."""
    exit_at = grace_period - min(EXIT_MARGIN, grace_period * EXIT_MARGIN_SHARE)
    deregistration = min(DEREGISTRATION_DELAY, grace_period * DEREGISTRATION_SHARE)
    return StopSchedule(
        late_refusal=deregistration - min(LATE_REFUSAL_LEAD, deregistration * LATE_REFUSAL_SHARE),
        deregistration=deregistration,
        last_refusal=exit_at - min(LAST_REFUSAL_LEAD, grace_period * LAST_REFUSAL_SHARE),
        exit=exit_at,
    )
