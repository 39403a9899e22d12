"""Runs relays as real processes, injects faults from outside, and checks the promises of the pages.

The store, the backend servers and the callers live in the process of the soak; connections of the
relays to the store and to servers cross loopback proxies.
"""

from camphordrift.platform.soak._observations import Attempt, Ledger, Run
from camphordrift.platform.soak._run import SoakReport, SoakSettings, run_soak

__all__ = ["Attempt", "Ledger", "Run", "SoakReport", "SoakSettings", "run_soak"]
