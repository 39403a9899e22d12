"""A small fleet on loopback addresses, for the ``demo`` command and for end-to-end tests."""

from camphordrift.demo._configuration import DEMO_ACCOUNT_KEYS, DEMO_MODEL, DEMO_SERVICE
from camphordrift.demo._fleet import DemoConfigurationError, DemoFleet, open_demo_fleet
from camphordrift.demo._plan import DEMO_OPERATOR_KEY, DemoPlan, demo_plan, with_engine_memory

__all__ = [
    "DEMO_ACCOUNT_KEYS",
    "DEMO_MODEL",
    "DEMO_OPERATOR_KEY",
    "DEMO_SERVICE",
    "DemoConfigurationError",
    "DemoFleet",
    "DemoPlan",
    "demo_plan",
    "open_demo_fleet",
    "with_engine_memory",
]
