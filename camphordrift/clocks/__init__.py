"""Times by both clocks of a process, for deadlines that must hold across a pause of the VM."""

from camphordrift.clocks._two_clocks import TwoClocks

__all__ = ["TwoClocks"]
