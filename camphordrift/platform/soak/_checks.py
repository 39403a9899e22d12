"""Checks the observations of a run against the documented guarantees."""

from camphordrift.platform.soak._answer_checks import unanswered_violations
from camphordrift.platform.soak._configuration_checks import (
    late_configuration_violations,
    rollback_violations,
)
from camphordrift.platform.soak._crash_checks import crash_violations
from camphordrift.platform.soak._evacuation_checks import evacuation_violations
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._path_checks import lost_path_violations
from camphordrift.platform.soak._request_checks import (
    execution_violations,
    response_violations,
    timing_violations,
)
from camphordrift.platform.soak._server_checks import (
    cold_violations,
    draining_violations,
    leaving_violations,
    limit_violations,
    pause_violations,
)


def find_violations(observations: Observations, now: float, check_timing: bool = True) -> list[str]:
    """Returns a line for each violated guarantee.

    Args:
        observations: What was observed during the run.
        now: Current time, used as the end of what is still running.
        check_timing: Whether to check times too, which a slow machine may exceed.

    """
    violations = list(observations.process_failures)
    violations += execution_violations(observations)
    violations += response_violations(observations)
    violations += crash_violations(observations)
    violations += lost_path_violations(observations)
    violations += leaving_violations(observations)
    violations += draining_violations(observations)
    violations += pause_violations(observations)
    violations += limit_violations(observations)
    violations += cold_violations(observations)
    violations += evacuation_violations(observations)
    violations += late_configuration_violations(observations)
    violations += rollback_violations(observations)
    violations += unanswered_violations(observations)
    if check_timing:
        violations += timing_violations(observations, now)
    return violations
