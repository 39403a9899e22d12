"""How long the steps of a planned stop may take."""

from dataclasses import dataclass

from camphordrift.draining._phases import DrainPhase


@dataclass(frozen=True)
class DrainSettings:
    """Bounds of the steps."""

    #: How long the balancer still sends requests to a VM that says it is not ready, in seconds.
    balancer_lag_seconds: float = 10.0

    #: The longest that admitted requests get to finish, in seconds; at least the longest timeout
    #: that a caller may ask for, or requests are cut.
    finish_seconds: float = 600.0

    #: The longest that handing over may take, in seconds.
    handover_seconds: float = 5.0

    #: The longest that releasing holds and flushing the streams to the log may take, in seconds.
    flush_seconds: float = 10.0

    def __post_init__(self) -> None:
        if min(self.balancer_lag_seconds, self.finish_seconds) < 0:
            raise ValueError("the times of a planned stop cannot be negative")
        if min(self.handover_seconds, self.flush_seconds) <= 0:
            raise ValueError("handing over and flushing need time")

    @property
    def exit_bound_seconds(self) -> float:
        """The process exits within this time of the first signal, in seconds."""
        return self.latest_end_after_start(DrainPhase.FLUSHING)

    def duration(self, phase: DrainPhase) -> float:
        """Returns how long a timed phase may take, in seconds."""
        return dict(self._timed_phases())[phase]

    def latest_end_after_start(self, phase: DrainPhase) -> float:
        """Returns when a timed phase ends at the latest, in seconds after the first signal."""
        total = 0.0
        for timed, seconds in self._timed_phases():
            total += seconds
            if timed is phase:
                return total
        raise ValueError(f"{phase} is not timed")

    def _timed_phases(self) -> tuple[tuple[DrainPhase, float], ...]:
        return (
            (DrainPhase.UNREADY, self.balancer_lag_seconds),
            (DrainPhase.FINISHING, self.finish_seconds),
            (DrainPhase.HANDING_OVER, self.handover_seconds),
            (DrainPhase.FLUSHING, self.flush_seconds),
        )
