"""Why frames and connections are refused, and the counters of this package's events."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum


class RefusalReason(Enum):
    """Why a frame or connection was refused. Each value is part of a counter's name."""

    OVERSIZED = "oversized_frame"
    MALFORMED = "malformed_frame"
    FORGED = "forged_frame"
    REPLAYED = "replayed_frame"
    OUT_OF_ORDER = "out_of_order_frame"
    UNKNOWN_KEY = "unknown_key"
    WRONG_PROOF = "wrong_proof"
    WRONG_VM = "wrong_vm"
    UNSUPPORTED_VERSION = "unsupported_version"
    HANDSHAKE_TIMEOUT = "handshake_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"


@dataclass(frozen=True)
class Refusal:
    """A refused frame or connection."""

    #: Why it was refused; also the name under which it is counted.
    reason: RefusalReason

    #: Details for diagnosis; contains no secrets.
    detail: str


class PeerCounters:
    """Named counters of events on connections between VMs, for the state dump and metrics."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to the counter ``name``."""
        self._counts[name] += amount

    def add_refusal(self, refusal: Refusal) -> None:
        """Counts a refused frame or connection under its reason."""
        self._counts["refused_" + refusal.reason.value] += 1

    def value(self, name: str) -> int:
        """Returns the value of the counter ``name``; zero if it was never increased."""
        return self._counts[name]

    def as_dict(self) -> dict[str, int]:
        """Returns all counters that were increased, ordered by name."""
        return dict(sorted(self._counts.items()))
