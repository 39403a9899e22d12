"""Moments by both clocks of a process, for limits that must hold on a VM that was paused."""

from camphordrift.clocks._two_clocks import TwoClocks

__all__ = ["TwoClocks"]
