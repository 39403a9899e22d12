"""What callers and servers saw, and the promises that it must keep."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Optional

import trio

#: Seconds for which a withdrawn key may still be used (RevokeMs of the deployments).
KEY_TIME = 5.0

#: Seconds after a request's time limit within which it must have its final answer.
ANSWER_SLACK = 0.5

#: Seconds after a caller left within which a server's work must end.
LEAVE_SLACK = 0.5

#: Seconds that the soak's own processes may lose on a busy machine; not granted to what must never
#: happen at all.
MACHINE_SLACK = 1.0

#: Statuses that promise that the request did not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


#: Begin and end of something, in seconds of the soak's clock.
Span = tuple[float, float]


@dataclass
class Attempt:
    """One request as its caller saw it. Moments are seconds of the soak's clock."""

    id: str
    #: "stream", "once" or "repeatable".
    kind: str
    key: str
    account: str
    vm: str
    sent: float
    #: Seconds that the caller gives it.
    patience: float
    status: Optional[int] = None
    #: Whether the whole answer arrived.
    whole: bool = False
    signed: bool = False
    body: bytes = b""
    #: Moment of the last byte, or of the break.
    ended: Optional[float] = None
    #: Moment at which the caller closed the connection on purpose.
    left: Optional[float] = None


@dataclass
class Run:
    """One arrival of a request at a server that ran it."""

    attempt: str
    server: str
    account: str
    key_passed: bool
    started: float
    ended: Optional[float] = None
    #: Body of a whole answer that the server gave.
    answer: Optional[bytes] = None


@dataclass
class Ledger:
    """Collects what happened; :meth:`broken` tells which promises were not kept."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    #: Moments from which keys are withdrawn, as acknowledged by the store.
    withdrawn: dict[str, float] = field(default_factory=dict)
    #: Spans in which a VM was stopped, paused, killed or starting, by VM.
    disturbed: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    #: Spans in which the way between VMs and a server was disturbed, by server.
    cut: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    #: What went wrong with the processes themselves.
    process_faults: list[str] = field(default_factory=list)

    @contextmanager
    def noting(self, spans: list[Span], aftermath: float = 0.0) -> Iterator[None]:
        """Notes the span of the block, and ``aftermath`` seconds more, among ``spans``."""
        begun = trio.current_time()
        try:
            yield
        finally:
            spans.append((begun, trio.current_time() + aftermath))

    def broken(self, now: float, judges_times: bool = True) -> list[str]:
        """Returns a line for each promise that was not kept.

        Args:
            now: The moment, for what has not ended.
            judges_times: Whether to judge what a slow machine may cause too.

        """
        runs: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            runs[run.attempt].append(run)
        found = list(self.process_faults)
        for run in self.runs:
            found += self._broken_by_run(run)
        for attempt in self.attempts.values():
            found += self._broken_by_answer(attempt, runs[attempt.id])
            if judges_times:
                found += self._broken_in_time(attempt, runs[attempt.id], now)
        return found

    def counts(self) -> dict[str, int]:
        """Returns how many requests ended in each way, and how many runs there were."""
        ways = Counter(_way_of(attempt) for attempt in self.attempts.values())
        return {**dict(sorted(ways.items())), "runs": len(self.runs)}

    def _broken_by_run(self, run: Run) -> Iterator[str]:
        attempt = self.attempts.get(run.attempt)
        if attempt is None:
            yield f"{run.server} ran {run.attempt}, which no caller sent"
            return
        if run.key_passed or run.account != attempt.account:
            yield f"{run.server} ran {attempt.id} as {run.account!r}, not {attempt.account!r}"
        withdrawn = self.withdrawn.get(attempt.key, float("inf"))
        if attempt.sent > withdrawn + KEY_TIME:
            yield f"{run.server} ran {attempt.id} {attempt.sent - withdrawn:.2f} s after its key"

    def _broken_by_answer(self, attempt: Attempt, runs: list[Run]) -> Iterator[str]:
        if attempt.kind == "once" and len(runs) > 1:
            yield f"{attempt.id} ran {len(runs)} times and must run once"
        if attempt.status in NOT_RUN_STATUSES and runs and attempt.kind == "once":
            yield f"{attempt.id} was answered {attempt.status} and ran on {runs[0].server}"
        if attempt.status is None or not 200 <= attempt.status < 300 or not attempt.whole:
            return
        if not attempt.signed:
            yield f"{attempt.id} got a success without a signature"
        if attempt.kind == "stream":
            if attempt.body != stream_body(attempt.id):
                yield f"{attempt.id} got a complete stream with other events: {attempt.body!r}"
        elif attempt.body not in [run.answer for run in runs]:
            yield f"{attempt.id} got a body that no server gave it"

    def _broken_in_time(self, attempt: Attempt, runs: list[Run], now: float) -> Iterator[str]:
        limit = attempt.sent + attempt.patience
        ended = now if attempt.ended is None else attempt.ended
        if attempt.left is None:
            late = ended > limit + ANSWER_SLACK + MACHINE_SLACK
            if late and not _overlaps(self.disturbed[attempt.vm], attempt.sent - 1.0, ended):
                yield f"{attempt.id} had no final answer from {attempt.vm} at {limit:.2f} s"
            return
        stop_by = attempt.left + LEAVE_SLACK + MACHINE_SLACK
        for run in runs:
            ended = now if run.ended is None else run.ended
            disturbed = self.disturbed[attempt.vm] + self.cut[run.server]
            if ended > stop_by and not _overlaps(disturbed, attempt.sent - 1.0, stop_by):
                yield f"{run.server} worked on {attempt.id} for {ended - attempt.left:.2f} s"


#: Events of one stream.
STREAM_EVENTS = 8


def stream_body(attempt_id: str, after: int = 0) -> bytes:
    """Returns the events of a request's stream that follow event ``after``."""
    return b"".join(stream_event(attempt_id, n) for n in range(after + 1, STREAM_EVENTS + 1))


def stream_event(attempt_id: str, number: int) -> bytes:
    """Returns one event of a request's stream."""
    return f"id: {number}\ndata: {attempt_id}-{number}\n\n".encode()


def _overlaps(spans: list[Span], start: float, end: float) -> bool:
    return any(begun < end and start < ended for begun, ended in spans)


def _way_of(attempt: Attempt) -> str:
    if attempt.left is not None:
        return "left"
    if attempt.status is None:
        return "no answer"
    return str(attempt.status) if attempt.whole else f"{attempt.status} broken off"
