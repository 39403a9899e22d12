"""A small fleet on loopback addresses, for a first look and for end-to-end tests."""

from camphordrift.demo._fleet import DemoFleet, open_demo_fleet
from camphordrift.demo._plan import (
    DEMO_ACCOUNT_KEYS,
    DEMO_FLEET_KEY_VARIABLE,
    DEMO_MODEL,
    DEMO_OPERATOR_KEY,
    DEMO_SERVICE,
    DemoPlan,
    demo_plan,
)

__all__ = [
    "DEMO_ACCOUNT_KEYS",
    "DEMO_FLEET_KEY_VARIABLE",
    "DEMO_MODEL",
    "DEMO_OPERATOR_KEY",
    "DEMO_SERVICE",
    "DemoFleet",
    "DemoPlan",
    "demo_plan",
    "open_demo_fleet",
]
