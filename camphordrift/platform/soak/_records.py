"""Records of what callers and backend servers observed."""

from dataclasses import dataclass
from typing import Optional

#: Start and end of an interval, as times of the soak's clock in seconds.
Span = tuple[float, float]

#: Seconds without disruptions after which time limits hold for a VM (StableWindowMs).
STABLE_WINDOW = 3.0

#: Seconds added to time limits, because a busy machine may delay the soak's processes. What must
#: never happen is checked without this tolerance.
SCHEDULING_SLACK = 1.0

#: Kinds of requests that must run at most once.
RUN_ONCE_KINDS = frozenset(("once", "single_stream"))

#: Kinds of requests whose responses are streams.
STREAM_KINDS = frozenset(("stream", "single_stream"))


@dataclass
class CallerRequest:
    """One request as its caller observed it. Times are seconds of the soak's clock."""

    id: str
    #: "stream", "single_stream", "once" or "repeatable".
    kind: str
    key: str
    account: str
    vm: str
    sent_at: float
    #: Timeout of the caller in seconds.
    timeout: float
    #: Ids of the parts of the prompt; empty for requests to servers that are not engines.
    parts: tuple[str, ...] = ()
    #: What servers crash on: a part of the prompt, or the whole request; ``None`` if it is sound.
    crash_cause: Optional[str] = None
    #: Whether the caller sent the whole request.
    sent_completely: bool = False
    status: Optional[int] = None
    #: Whether the response arrived completely.
    complete: bool = False
    #: Signature header of the response, which names the backend server; ``None`` without one.
    signature: Optional[str] = None
    body: bytes = b""
    #: Time at which the status line and headers of the response arrived.
    head_at: Optional[float] = None
    #: Time at which the response ended or the connection broke.
    ended_at: Optional[float] = None
    #: Time at which the caller closed the connection deliberately.
    disconnected_at: Optional[float] = None


@dataclass
class Execution:
    """One execution of a request by a backend server."""

    request_id: str
    server: str
    account: str
    #: Whether the relay forwarded the caller's API key, which it must not.
    key_forwarded: bool
    started_at: float
    ended_at: Optional[float] = None
    #: Body of the response; ``None`` unless the server sent it completely.
    response_body: Optional[bytes] = None
    #: Whether the response says that the server leaves.
    leaving: bool = False
    #: Whether the server broke the response off.
    broken_off: bool = False


@dataclass
class Arrival:
    """A request that reached the backend server for which it was meant, whether it ran or not."""

    request_id: str
    server: str
    at: float
    #: Time at which the server sent a refusal that asked the VM to pause.
    refused_at: Optional[float] = None
    #: End of that pause.
    pause_ends_at: float = float("-inf")
    #: Requests per second that the server named as its limit; ``None`` without one.
    limit: Optional[float] = None
    #: Time at which the server began to name it.
    limited_since: float = float("inf")
    #: Time at which the server became cold; ``None`` if it is warm.
    cold_since: Optional[float] = None


@dataclass(frozen=True)
class Crash:
    """A crash of a server."""

    server: str
    #: What the server crashed on: a part of a prompt, or a whole request.
    cause: str
    at: float


@dataclass
class Evacuation:
    """An interval in which a zone was evacuated."""

    zone: str
    #: Time at which the store acknowledged the evacuation.
    start: float
    #: Time at which the zone was taken back; infinite before that.
    end: float = float("inf")


@dataclass(frozen=True)
class PathCut:
    """An interval in which some VMs had no path to any server."""

    vms: frozenset[str]
    start: float
    end: float


#: Number of events in one stream.
STREAM_EVENTS = 8


def stream_body(request_id: str, after: int = 0) -> bytes:
    """Returns the events of a request's stream that follow event ``after``."""
    return b"".join(stream_event(request_id, n) for n in range(after + 1, STREAM_EVENTS + 1))


def stream_event(request_id: str, number: int) -> bytes:
    """Returns one event of a request's stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def overlaps(spans: list[Span], start: float, end: float) -> bool:
    """Returns whether any of the intervals has a part between ``start`` and ``end``."""
    return any(started_at < end and start < ended_at for started_at, ended_at in spans)
