"""A plain service in memory that counts what it runs, for experiments with calls."""

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

#: The wall-clock time at which experiments start, in seconds since 1970.
WALL_START = 1_800_000_000.0


def wall_clock() -> float:
    """Returns the wall-clock time that goes with the loop's virtual clock."""
    return WALL_START + trio.current_time()


def timed_uuid(made_at: float, tail: int = 1) -> uuid.UUID:
    """Returns a UUID of version 7 made at ``made_at`` seconds since 1970."""
    milliseconds = int(made_at * 1000)
    return uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) | tail)


def call_key(made_at: float = WALL_START, tail: int = 1, account: str = "seller") -> CallKey:
    """Returns a key made at ``made_at`` seconds since 1970."""
    return CallKey(account_id=AccountId(account), value=timed_uuid(made_at, tail))


def booking(
    made_at: float = 0.0,
    tail: int = 1,
    body: bytes = b"stall 7",
    repeatability: Repeatability = Repeatability.KEY_REQUIRED,
) -> ServiceCall:
    """Returns a booking whose key was made ``made_at`` seconds after the start."""
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
    """Counts how often each body runs; its answers can be slow, lost or large."""

    #: Runs by body.
    runs: Counter[bytes] = field(default_factory=Counter)

    #: Runs that were undone, by body.
    undone: Counter[bytes] = field(default_factory=Counter)

    #: The most runs of each body that were in force at once.
    peak: Counter[bytes] = field(default_factory=Counter)

    #: Time until it answers, in seconds.
    latency_seconds: float = 0.01

    #: True if it runs calls and answers none of them.
    loses_responses: bool = False

    #: False if no connection to it can be made.
    reachable: bool = True

    #: Time between the connection and the first byte, in seconds.
    connect_seconds: float = 0.0

    #: The body of its answers.
    response_body: bytes = b"booked"

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Runs a call through its gate."""
        await trio.sleep(self.connect_seconds)
        if not self.reachable:
            return DispatchNotSent(Failure(ResultCode.BACKEND_UNREACHABLE, "refused"))
        match gate.authorize():
            case result.Failure(failure):
                return DispatchNotSent(failure)
        self.run(call.body)
        await trio.sleep(self.latency_seconds)
        if self.loses_responses:
            return DispatchUnanswered(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, "lost"))
        return DispatchAnswered(201, "text/plain", self.response_body)

    def run(self, body: bytes) -> None:
        """Counts one run."""
        self.runs[body] += 1
        self.peak[body] = max(self.peak[body], self.runs[body] - self.undone[body])

    def undo(self, body: bytes) -> None:
        """Counts the undoing of one run."""
        self.undone[body] += 1


@dataclass
class FaultyService(CountingService):
    """Draws a new fault for each call it is sent."""

    #: Draws the faults.
    generator: random.Random = field(default_factory=random.Random)

    #: Likelihood that no connection can be made.
    unreachable_share: float = 0.05

    #: Likelihood that the call runs and its answer is lost.
    lost_answer_share: float = 0.1

    #: Likelihood that the VM is paused for long between its claim and the first byte.
    pause_share: float = 0.05

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Runs a call through its gate, with faults of its own; the answer names the run."""
        draw = self.generator.random
        if draw() < self.unreachable_share:
            return DispatchNotSent(Failure(ResultCode.BACKEND_UNREACHABLE, "refused"))
        if draw() < self.pause_share:
            await trio.sleep(self.generator.uniform(1.0, 30.0))
        match gate.authorize():
            case result.Failure(failure):
                return DispatchNotSent(failure)
        self.run(call.body)
        run_name = b"%s run %d" % (call.body, self.runs[call.body])
        await trio.sleep(self.generator.expovariate(1 / 0.3))
        if draw() < self.lost_answer_share:
            return DispatchUnanswered(Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, "lost"))
        return DispatchAnswered(201, "text/plain", run_name)
