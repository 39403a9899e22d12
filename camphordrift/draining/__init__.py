"""Graceful shutdown of an entry VM: finishes admitted requests and exits within a time limit."""

from camphordrift.draining._controller import DrainController
from camphordrift.draining._phases import (
    AnnounceLeaving,
    CutRemaining,
    DrainEvent,
    DrainPhase,
    DrainStep,
    Exit,
    Flush,
    FlushDone,
    HandOver,
    HandoverDone,
    RefuseNewRequests,
    RunningChanged,
    StopRequested,
    TimePassed,
)
from camphordrift.draining._settings import DrainSettings

__all__ = [
    "AnnounceLeaving",
    "CutRemaining",
    "DrainController",
    "DrainEvent",
    "DrainPhase",
    "DrainSettings",
    "DrainStep",
    "Exit",
    "Flush",
    "FlushDone",
    "HandOver",
    "HandoverDone",
    "RefuseNewRequests",
    "RunningChanged",
    "StopRequested",
    "TimePassed",
]
