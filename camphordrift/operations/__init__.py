"""The operators' port: health, metrics, state, configuration and planned stops."""

from camphordrift.operations._app import operators_app
from camphordrift.operations._providers import (
    ConfigurationOperations,
    DrainOperations,
    OperatorServices,
)

__all__ = [
    "ConfigurationOperations",
    "DrainOperations",
    "OperatorServices",
    "operators_app",
]
