"""Why a frame or a connection is refused."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum


class RefusalReason(Enum):
    """What was wrong; each reason has a counter of its own."""

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
    """One refused frame or connection."""

    #: The kind, which is counted.
    reason: RefusalReason

    #: What was seen, without secrets.
    detail: str


class PeerCounters:
    """Counts what happened on the streams between VMs, for the state dump and the metrics."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to the counter ``name``."""
        self._counts[name] += amount

    def add_refusal(self, refusal: Refusal) -> None:
        """Counts a refused frame or connection under its reason."""
        self._counts["refused_" + refusal.reason.value] += 1

    def value(self, name: str) -> int:
        """Returns the counter ``name``; zero if nothing was counted."""
        return self._counts[name]

    def as_dict(self) -> dict[str, int]:
        """Returns all counters that are not zero, by name."""
        return dict(sorted(self._counts.items()))
