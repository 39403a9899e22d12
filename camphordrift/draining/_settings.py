"""Time limits of the phases of a graceful shutdown."""

from dataclasses import dataclass

from camphordrift.draining._phases import DrainPhase


@dataclass(frozen=True)
class DrainSettings:
    """Time limits of the phases."""

    #: Time for which the load balancer may still send requests to a VM that is not ready, in
    #: seconds.
    balancer_lag_seconds: float = 10.0

    #: Maximum time for admitted requests to finish, in seconds. Below the longest timeout that
    #: callers may set, requests can be aborted.
    finish_seconds: float = 600.0

    #: Maximum time for handing over to other home VMs, in seconds.
    handover_seconds: float = 5.0

    #: Maximum time for releasing leases and holds and for writing pending records, in seconds.
    flush_seconds: float = 10.0

    def __post_init__(self) -> None:
        if min(self.balancer_lag_seconds, self.finish_seconds) < 0:
            raise ValueError("balancer_lag_seconds and finish_seconds must not be negative")
        if min(self.handover_seconds, self.flush_seconds) <= 0:
            raise ValueError("handover_seconds and flush_seconds must be above 0")

    @property
    def exit_bound_seconds(self) -> float:
        """Maximum time from the first stop request to the exit of the process, in seconds."""
        return self.latest_end_seconds(DrainPhase.FLUSHING)

    def duration(self, phase: DrainPhase) -> float:
        """Returns the maximum duration of a phase with a time limit, in seconds."""
        return dict(self._phase_durations())[phase]

    def latest_end_seconds(self, phase: DrainPhase) -> float:
        """Returns the latest end of a phase, in seconds after the first stop request.

        Raises ``ValueError`` for a phase without a time limit.
        """
        total = 0.0
        for limited_phase, seconds in self._phase_durations():
            total += seconds
            if limited_phase is phase:
                return total
        raise ValueError(f"{phase} has no time limit")

    def _phase_durations(self) -> tuple[tuple[DrainPhase, float], ...]:
        return (
            (DrainPhase.UNREADY, self.balancer_lag_seconds),
            (DrainPhase.FINISHING, self.finish_seconds),
            (DrainPhase.HANDING_OVER, self.handover_seconds),
            (DrainPhase.FLUSHING, self.flush_seconds),
        )
