"""A bounded record of recent decisions, which tells why each fell as it did."""

from collections import deque
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import RequestId

#: How many decisions are remembered unless told otherwise.
DEFAULT_CAPACITY = 200


@dataclass(frozen=True)
class Decision:
    """One decision and its grounds."""

    #: When it fell, in seconds of the process's monotonic clock.
    at_seconds: float

    #: What decided, such as ``routing`` or ``admission``.
    component: str

    #: What was decided.
    outcome: str

    #: The figures and facts that led to it.
    reason: str

    #: The request concerned, if one was.
    request_id: Optional[RequestId] = None


class DecisionRecord:
    """Remembers the last decisions; the oldest give way.

    Register it with a :class:`StateDump` by ``dump.register("decisions", record.snapshot)``.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._decisions: deque[Decision] = deque(maxlen=capacity)
        self._total = 0

    @property
    def total(self) -> int:
        """How many decisions were added, forgotten ones included."""
        return self._total

    def add(self, decision: Decision) -> None:
        """Remembers one more decision."""
        self._decisions.append(decision)
        self._total += 1

    def for_request(self, request_id: RequestId) -> tuple[Decision, ...]:
        """Returns the remembered decisions on one request, oldest first."""
        return tuple(item for item in self._decisions if item.request_id == request_id)

    def snapshot(self) -> tuple[Decision, ...]:
        """Returns the remembered decisions, newest first."""
        return tuple(reversed(self._decisions))
