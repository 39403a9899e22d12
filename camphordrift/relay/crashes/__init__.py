"""Finds out which requests crash backend servers, and keeps them from being sent.

May hold evidence and decisions, but no I/O. Imports :mod:`camphordrift.relay.model`, and the type
of a request from :mod:`camphordrift.relay.connections`.
"""

from camphordrift.relay.crashes._crash_evidence import CrashEvidence, QuarantinedTraits
from camphordrift.relay.crashes._quarantines import (
    QuarantineChange,
    QuarantineEnded,
    QuarantineStarted,
    Traits,
)
from camphordrift.relay.crashes._request_traits import is_whole_request, whole_request_trait
from camphordrift.relay.crashes._suspected_crashes import RESTART_PERIOD
from camphordrift.relay.crashes._trait_quarantine import TraitQuarantine

__all__ = [
    "RESTART_PERIOD",
    "CrashEvidence",
    "QuarantineChange",
    "QuarantineEnded",
    "QuarantineStarted",
    "QuarantinedTraits",
    "TraitQuarantine",
    "Traits",
    "is_whole_request",
    "whole_request_trait",
]
