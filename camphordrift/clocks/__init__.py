"""Readings of both clocks of a process, for deadlines that must hold even if the VM was paused."""

from camphordrift.clocks._clock_reading import ClockReading

__all__ = ["ClockReading"]
