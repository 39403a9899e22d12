"""Soak test: runs relays as real processes, injects faults, and checks the documented guarantees.

The store, the backend servers and the callers run in the process of the soak. Connections of the
relays to the store and to backend servers pass through loopback proxies.
"""

from camphordrift.platform.soak._checks import find_violations
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import CallerRequest, Execution
from camphordrift.platform.soak._run import SoakReport, SoakSettings, run_soak

__all__ = [
    "CallerRequest",
    "Execution",
    "Observations",
    "SoakReport",
    "SoakSettings",
    "find_violations",
    "run_soak",
]
