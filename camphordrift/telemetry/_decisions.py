"""Keeps the most recent decisions of the process, with the reason for each."""

from collections import deque
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import RequestId

#: Default of the maximum number of decisions that a record keeps.
DEFAULT_CAPACITY = 200


@dataclass(frozen=True)
class Decision:
    """A decision of a component, such as the refusal of a request, and its reason."""

    #: When the decision was made, in seconds of the event loop's clock.
    at_seconds: float

    #: The component that decided, such as ``routing`` or ``admission``.
    component: str

    #: What was decided, such as ``refused queue_full``.
    outcome: str

    #: Why it was decided so, with the values that led to the decision.
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
        """Number of decisions added since the start, including those that were removed."""
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
