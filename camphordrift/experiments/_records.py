"""Outcome of each request of a simulated run."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.experiments._workload import Arrival
from camphordrift.results import ResultCode, RunState


@dataclass
class Record:
    """Progress and outcome of one request; times are in seconds of the run's virtual clock."""

    #: The simulated request.
    arrival: Arrival

    #: Time when the caller received the first token; ``None`` if it received none.
    first_token_at: Optional[float] = None

    #: Time when the request completed, failed or was refused; ``None`` while it runs.
    ended_at: Optional[float] = None

    #: Result code; ``OK`` for a complete response, ``None`` while it runs.
    code: Optional[ResultCode] = None

    #: Whether the engine ran the request, as the failure reports it; ``None`` without one.
    run_state: Optional[RunState] = None

    #: True if its entry VM crashed, which closed the caller's connection.
    lost_with_vm: bool = False

    #: Output tokens that the caller has received.
    tokens: int = 0

    @property
    def completed(self) -> bool:
        """True if the caller received a complete response before its deadline."""
        return self.code is ResultCode.OK

    @property
    def refused(self) -> bool:
        """True if the request was refused and no engine ran it."""
        return self.run_state is RunState.NOT_RUN

    @property
    def first_token_seconds(self) -> Optional[float]:
        """Time from arrival to the first token, in seconds; ``None`` without one."""
        return None if self.first_token_at is None else self.first_token_at - self.arrival.at

    @property
    def total_seconds(self) -> Optional[float]:
        """Time from arrival to the end, in seconds; ``None`` while the request runs."""
        return None if self.ended_at is None else self.ended_at - self.arrival.at
