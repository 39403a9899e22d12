"""Times by both clocks of a process, for deadlines that must hold across a pause of the VM."""

from camphordrift.clocks._clock_reading import ClockReading

__all__ = ["ClockReading"]
