"""Collects what callers, backend servers and processes did."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from camphordrift.platform.soak._records import (
    STABLE_WINDOW,
    Arrival,
    CallerRequest,
    Crash,
    Evacuation,
    Execution,
    PathCut,
    Span,
    overlaps,
)


def _spans_by_name() -> dict[str, list[Span]]:
    return defaultdict(list)


@dataclass
class Observations:
    """What was observed during one run."""

    requests: dict[str, CallerRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    #: Time by API key at which the store acknowledged the revocation.
    key_revoked_at: dict[str, float] = field(default_factory=dict)
    #: Time by server id at which the store acknowledged that the server is draining.
    draining_at: dict[str, float] = field(default_factory=dict)
    #: Intervals in which a VM was stopped, paused, killed or starting, by VM.
    vm_disruptions: dict[str, list[Span]] = field(default_factory=_spans_by_name)
    #: Intervals in which a VM was killed, paused or starting, by VM.
    vm_interruptions: dict[str, list[Span]] = field(default_factory=_spans_by_name)
    #: Times of SIGTERM and of the exit that followed, by VM.
    vm_stops: dict[str, list[Span]] = field(default_factory=_spans_by_name)
    #: Intervals in which connections between the VMs and a server were disrupted, by server.
    server_disruptions: dict[str, list[Span]] = field(default_factory=_spans_by_name)
    #: Intervals in which any server was made to fail, or one was replaced.
    server_faults: list[Span] = field(default_factory=list)
    #: Intervals in which the store did not respond correctly to every VM.
    store_disruptions: list[Span] = field(default_factory=list)
    #: Intervals in which the connections of a VM to the store were disrupted, by VM.
    store_link_disruptions: dict[str, list[Span]] = field(default_factory=_spans_by_name)
    #: Intervals in which some VMs had no path to the servers, while the others had.
    path_cuts: list[PathCut] = field(default_factory=list)
    #: Zone by server id.
    zones: dict[str, str] = field(default_factory=dict)
    evacuations: list[Evacuation] = field(default_factory=list)
    #: Unexpected exits and errors of the relay processes.
    process_failures: list[str] = field(default_factory=list)

    @contextmanager
    def record_span(self, spans: list[Span], extra_seconds: float = 0.0) -> Iterator[None]:
        """Appends the interval in which the ``with`` block ran to ``spans``.

        Args:
            spans: The intervals to append to.
            extra_seconds: Seconds by which the end is extended.

        """
        started_at = trio.current_time()
        try:
            yield
        finally:
            spans.append((started_at, trio.current_time() + extra_seconds))

    def is_in_touch(self, vm: str, at: float) -> bool:
        """Returns whether neither a VM nor the store was disrupted shortly before ``at``."""
        return self.is_in_touch_throughout(vm, at, at)

    def is_in_touch_throughout(self, vm: str, start: float, end: float) -> bool:
        """Returns whether the VM was in touch from ``start`` to ``end``."""
        disruptions = (
            self.vm_disruptions[vm] + self.store_link_disruptions[vm] + self.store_disruptions
        )
        return not overlaps(disruptions, start - STABLE_WINDOW, end)

    def disruptions_of(self, server_id: str) -> list[Span]:
        """Returns the intervals in which connections to a server were disrupted."""
        name, _, _ = server_id.partition(".")
        return self.server_disruptions[name]

    def executions_by_request(self) -> dict[str, list[Execution]]:
        """Returns the executions by request id."""
        executions: dict[str, list[Execution]] = defaultdict(list)
        for execution in self.executions:
            executions[execution.request_id].append(execution)
        return executions

    def outcome_counts(self) -> dict[str, int]:
        """Returns the number of requests by outcome, and the number of executions as "runs"."""
        outcomes = Counter(_outcome_of(request) for request in self.requests.values())
        return {**dict(sorted(outcomes.items())), "runs": len(self.executions)}


def _outcome_of(request: CallerRequest) -> str:
    if request.disconnected_at is not None:
        return "left"
    if request.status is None:
        return "no answer"
    return str(request.status) if request.complete else f"{request.status} broken off"
