"""In-memory plain service that counts its runs, for experiments and tests of calls."""

import random
import uuid
from collections import Counter
from dataclasses import dataclass, field

import trio
from returns import result

from camphordrift.calls import (
    CallKey,
    DispatchAnswered,
    DispatchNotSent,
    DispatchReply,
    DispatchUnanswered,
    Repeatability,
    SendGate,
    ServiceCall,
)
from camphordrift.identifiers import AccountId, ServiceName
from camphordrift.results import Failure, ResultCode

#: Wall-clock time at the start of an experiment, in seconds since 1970.
WALL_START = 1_800_000_000.0


def wall_clock() -> float:
    """Returns the wall-clock time for the current virtual time, in seconds since 1970."""
    return WALL_START + trio.current_time()


def timed_uuid(made_at: float, tail: int = 1) -> uuid.UUID:
    """Returns a UUID of version 7 with the timestamp ``made_at``, in seconds since 1970."""
    milliseconds = int(made_at * 1000)
    return uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) | tail)


def call_key(made_at: float = WALL_START, tail: int = 1, account: str = "seller") -> CallKey:
    """Returns a key with the timestamp ``made_at``, in seconds since 1970."""
    return CallKey(account_id=AccountId(account), value=timed_uuid(made_at, tail))


def booking(
    made_at: float = 0.0,
    tail: int = 1,
    body: bytes = b"stall 7",
    repeatability: Repeatability = Repeatability.KEY_REQUIRED,
) -> ServiceCall:
    """Returns a booking call whose key has a timestamp ``made_at`` seconds after the start."""
    return ServiceCall(
        account_id=AccountId("seller"),
        service=ServiceName("booking"),
        method="POST",
        path="/bookings",
        body=body,
        content_type="text/plain",
        key=str(timed_uuid(WALL_START + made_at, tail)),
        repeatability=repeatability,
        remaining_seconds=20.0,
    )


@dataclass
class CountingService:
    """Service that counts the runs of each body; its responses can be slow, lost or large."""

    #: Number of runs by request body.
    runs: Counter[bytes] = field(default_factory=Counter)

    #: Number of undone runs by request body.
    undone_runs: Counter[bytes] = field(default_factory=Counter)

    #: Largest number of runs not undone at the same time, by request body.
    peak_runs: Counter[bytes] = field(default_factory=Counter)

    #: Time from the run to the response, in seconds.
    latency_seconds: float = 0.01

    #: True if it runs calls but sends no response.
    loses_responses: bool = False

    #: False if connections to it fail.
    reachable: bool = True

    #: Time until the connection is made and the gate is asked, in seconds.
    connect_seconds: float = 0.0

    #: Body of its responses.
    response_body: bytes = b"booked"

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Runs a call if its gate still permits the dispatch; returns the service's reply."""
        await trio.sleep(self.connect_seconds)
        if not self.reachable:
            return DispatchNotSent(Failure(ResultCode.BACKEND_UNREACHABLE, "connection refused"))
        match gate.authorize():
            case result.Failure(failure):
                return DispatchNotSent(failure)
        self.record_run(call.body)
        await trio.sleep(self.latency_seconds)
        if self.loses_responses:
            return DispatchUnanswered(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, "response lost"))
        return DispatchAnswered(201, "text/plain", self.response_body)

    def record_run(self, body: bytes) -> None:
        """Counts one run."""
        self.runs[body] += 1
        self.peak_runs[body] = max(self.peak_runs[body], self.runs[body] - self.undone_runs[body])

    def record_undo(self, body: bytes) -> None:
        """Counts one undone run."""
        self.undone_runs[body] += 1


@dataclass
class FaultyService(CountingService):
    """Service with a random fault for each call."""

    #: Random generator of the faults.
    generator: random.Random = field(default_factory=random.Random)

    #: Probability that the connection fails.
    unreachable_probability: float = 0.05

    #: Probability that the call runs and its response is lost.
    lost_response_probability: float = 0.1

    #: Probability of a pause of the VM of 1 to 30 seconds between its claim and the first byte.
    pause_probability: float = 0.05

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Runs a call with random faults; the response body contains the number of the run."""
        draw = self.generator.random
        if draw() < self.unreachable_probability:
            return DispatchNotSent(Failure(ResultCode.BACKEND_UNREACHABLE, "connection refused"))
        if draw() < self.pause_probability:
            await trio.sleep(self.generator.uniform(1.0, 30.0))
        match gate.authorize():
            case result.Failure(failure):
                return DispatchNotSent(failure)
        self.record_run(call.body)
        response_body = b"%s run %d" % (call.body, self.runs[call.body])
        await trio.sleep(self.generator.expovariate(1 / 0.3))
        if draw() < self.lost_response_probability:
            return DispatchUnanswered(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, "response lost"))
        return DispatchAnswered(201, "text/plain", response_body)
