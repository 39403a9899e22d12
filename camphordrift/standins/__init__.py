"""Stand-ins for the platform's services and backend servers, for tests and measurements."""

from camphordrift.standins._engine_model import EngineModel
from camphordrift.standins._engine_state import EngineState
from camphordrift.standins._engines import InMemoryEngines, open_in_memory_engines

__all__ = ["EngineModel", "EngineState", "InMemoryEngines", "open_in_memory_engines"]
