"""Decides when a VM that was told to stop refuses requests and exits."""

from dataclasses import dataclass

#: Seconds for which a stopping VM accepts connections, until the load balancer has removed it.
DEREGISTRATION_DELAY = 3.0

#: Seconds before that time from which requests that may outlast the VM are refused. It covers a
#: signal that is noticed late and requests that are under way.
LATE_REFUSAL_LEAD = 0.5

#: Maximum number of seconds before the end of the grace period at which a stopping VM exits by
#: itself, and maximum share of that period. Requests that a server still processes in its last
#: sixth need not be finished.
EXIT_MARGIN = 0.7
EXIT_MARGIN_SHARE = 1 / 8

#: Seconds before that time at which requests whose response has not started are refused.
LAST_REFUSAL_LEAD = 0.25


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
    return StopSchedule(
        late_refusal=DEREGISTRATION_DELAY - LATE_REFUSAL_LEAD,
        deregistration=DEREGISTRATION_DELAY,
        last_refusal=exit_at - LAST_REFUSAL_LEAD,
        exit=exit_at,
    )
