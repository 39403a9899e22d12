"""Stand-ins for the platform's services and the backend servers, with fault injection.

Tests and the demonstration use them in place of the real log, VM list, weight store, engines and
plain services.
"""

from camphordrift.standins._engine_parameters import EngineParameters
from camphordrift.standins._engine_state import EngineState
from camphordrift.standins._engines import InMemoryEngines, open_in_memory_engines
from camphordrift.standins._fleet import StandinFleet
from camphordrift.standins._log_service import (
    InMemoryLogService,
    LogFaults,
    LogLimits,
    ResponseLoss,
)

__all__ = [
    "EngineParameters",
    "EngineState",
    "InMemoryEngines",
    "InMemoryLogService",
    "LogFaults",
    "LogLimits",
    "ResponseLoss",
    "StandinFleet",
    "open_in_memory_engines",
]
