"""Time limits of the phases of a graceful shutdown."""

from dataclasses import dataclass

from camphordrift.draining._phases import DrainPhase


@dataclass(frozen=True)
class DrainSettings:
    """Time limits of the phases; their sum limits the shutdown."""

    #: Seconds for which the load balancer may still send requests to a VM that is not ready.
    balancer_lag_seconds: float = 10.0

    #: Maximum number of seconds that admitted requests get to finish. If it is shorter than the
    #: longest timeout that callers may set, the shutdown can abort requests.
    finish_seconds: float = 600.0

    #: Maximum number of seconds for handing over engine pools to other home VMs.
    handover_seconds: float = 5.0

    #: Maximum number of seconds for releasing leases and holds and writing pending records.
    flush_seconds: float = 10.0

    def __post_init__(self) -> None:
        if min(self.balancer_lag_seconds, self.finish_seconds) < 0:
            raise ValueError("balancer_lag_seconds and finish_seconds must not be negative")
        if min(self.handover_seconds, self.flush_seconds) <= 0:
            raise ValueError("handover_seconds and flush_seconds must be above 0")

    @property
    def exit_bound_seconds(self) -> float:
        """Maximum number of seconds from the first stop request to the exit of the process."""
        return self.latest_end_seconds(DrainPhase.FLUSHING)

    def duration(self, phase: DrainPhase) -> float:
        """Returns the maximum duration in seconds of a phase with a time limit.

        Raises ``KeyError`` for a phase without a time limit.
        """
        return dict(self._phase_durations())[phase]

    def latest_end_seconds(self, phase: DrainPhase) -> float:
        """Returns the maximum number of seconds from the first stop request to the end of a phase.

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
