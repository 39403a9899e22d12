"""What a run notes of each request."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.experiments._workload import Arrival
from camphordrift.results import ResultCode, RunState


@dataclass
class Record:
    """One request's fate. Instants are in seconds of the run's clock."""

    #: The request.
    arrival: Arrival

    #: When the caller had the first token; ``None`` if it never had one.
    first_token_at: Optional[float] = None

    #: When the request ended, however it ended; ``None`` while it runs.
    ended_at: Optional[float] = None

    #: How it ended; ``OK`` for a whole answer.
    code: Optional[ResultCode] = None

    #: What a refusal or failure said about the run.
    run_state: Optional[RunState] = None

    #: True if its entry VM died, so that the caller's connection broke.
    lost_with_vm: bool = False

    #: Tokens that the caller has.
    tokens: int = 0

    @property
    def completed(self) -> bool:
        """True if the caller had its whole answer in time."""
        return self.code is ResultCode.OK

    @property
    def refused(self) -> bool:
        """True if the request was refused without being run."""
        return self.run_state is RunState.NOT_RUN

    @property
    def first_token_seconds(self) -> Optional[float]:
        """Time to first token."""
        return None if self.first_token_at is None else self.first_token_at - self.arrival.at

    @property
    def total_seconds(self) -> Optional[float]:
        """Time from arrival to end."""
        return None if self.ended_at is None else self.ended_at - self.arrival.at
