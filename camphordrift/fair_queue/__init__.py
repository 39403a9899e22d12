"""Divides a scarce resource between client accounts by start-time fair queueing.

Decides only; used by the schedulers of engines in :mod:`camphordrift.routing` and
:mod:`camphordrift.relay.scheduling`.
"""

from camphordrift.fair_queue._fair_queue import FairQueue

__all__ = ["FairQueue"]
