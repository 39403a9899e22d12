"""Small fakes of what the platform and the backend servers offer, with faults to switch on."""

from camphordrift.standins._engine_model import EngineModel
from camphordrift.standins._engine_state import EngineState
from camphordrift.standins._engines import InMemoryEngines, open_in_memory_engines
from camphordrift.standins._fleet import StandinFleet
from camphordrift.standins._log_service import (
    AnswerLoss,
    InMemoryLogService,
    LogFaults,
    LogLimits,
)

__all__ = [
    "AnswerLoss",
    "EngineModel",
    "EngineState",
    "InMemoryEngines",
    "InMemoryLogService",
    "LogFaults",
    "LogLimits",
    "StandinFleet",
    "open_in_memory_engines",
]
