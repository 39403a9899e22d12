"""A bounded record of recent decisions and the reason for each."""

from collections import deque
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import RequestId

#: Default number of decisions that are kept.
DEFAULT_CAPACITY = 200


@dataclass(frozen=True)
class Decision:
    """One decision and its reason."""

    #: When it was made, in seconds of the process's monotonic clock.
    at_seconds: float

    #: The component that decided, such as ``routing`` or ``admission``.
    component: str

    #: What was decided.
    outcome: str

    #: The values that led to the outcome.
    reason: str

    #: The request that the decision is about, if any.
    request_id: Optional[RequestId] = None


class DecisionRecord:
    """Keeps the newest ``capacity`` decisions.

    Register it with a :class:`StateDump` by ``dump.register("decisions", record.snapshot)``.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._decisions: deque[Decision] = deque(maxlen=capacity)
        self._total = 0

    @property
    def total(self) -> int:
        """Number of decisions added, including those that are no longer kept."""
        return self._total

    def add(self, decision: Decision) -> None:
        """Adds a decision; removes the oldest one if the record is full."""
        self._decisions.append(decision)
        self._total += 1

    def for_request(self, request_id: RequestId) -> tuple[Decision, ...]:
        """Returns the kept decisions about one request, oldest first."""
        return tuple(item for item in self._decisions if item.request_id == request_id)

    def snapshot(self) -> tuple[Decision, ...]:
        """Returns the kept decisions, newest first."""
        return tuple(reversed(self._decisions))
