"""The HTTP API for operators: health, metrics, state dump, configuration, graceful shutdown."""

from camphordrift.operations._app import operators_app
from camphordrift.operations._configuration import ConfigurationOperations
from camphordrift.operations._providers import (
    ConfigurationProvider,
    DrainOperations,
    OperatorServices,
    Refusal,
)

__all__ = [
    "ConfigurationOperations",
    "ConfigurationProvider",
    "DrainOperations",
    "OperatorServices",
    "Refusal",
    "operators_app",
]
