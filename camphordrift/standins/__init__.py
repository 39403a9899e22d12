"""Small fakes of what the platform and the backend servers offer, with faults to switch on."""

from camphordrift.standins._log_service import (
    AnswerLoss,
    InMemoryLogService,
    LogFaults,
    LogLimits,
)

__all__ = [
    "AnswerLoss",
    "InMemoryLogService",
    "LogFaults",
    "LogLimits",
]
