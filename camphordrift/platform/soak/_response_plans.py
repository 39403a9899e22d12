"""How backend servers frame their responses, and where they break them off."""

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from camphordrift.platform.soak._records import STREAM_EVENTS


class ServerMode(Enum):
    """How a server responds."""

    #: Responds correctly.
    WELL = "well"
    #: Accepts requests and never responds.
    HANG = "hang"
    #: Truncates streams in the middle of an event, and other responses in the body.
    CUT = "cut"
    #: Refuses requests with status 503, without running them.
    FULL = "full"
    #: Runs requests and responds with status 500.
    FAIL = "fail"
    #: Sends responses without length or chunks, of which it breaks off every other one.
    UNFRAMED = "unframed"


class Framing(Enum):
    """How a response shows where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    #: The body ends with the connection.
    CONNECTION = "connection"


@dataclass(frozen=True)
class ResponsePlan:
    """How a server sends a response."""

    framing: Framing
    #: Number of the event in which the server breaks the response off; ``None`` if it does not.
    broken_event: Optional[int] = None
    #: Whether the server resets the connection before that event, instead of closing it in the
    #: middle of the event.
    resets: bool = False


def plan_response(mode: ServerMode, request_id: str, server: str, streams: bool) -> ResponsePlan:
    """Returns how a server sends a successful response.

    Args:
        mode: How the server responds.
        request_id: Id of the request.
        server: Id of the server.
        streams: Whether the response is a stream.

    """
    framing = Framing.CHUNKS if streams else Framing.LENGTH
    match mode:
        case ServerMode.CUT:
            return ResponsePlan(framing, STREAM_EVENTS // 2)
        case ServerMode.UNFRAMED:
            return plan_unframed(request_id, server, streams)
        case _:
            return ResponsePlan(framing)


def plan_unframed(request_id: str, server: str, streams: bool) -> ResponsePlan:
    """Returns a response without length or chunks.

    Every other one is complete. The others are reset or, if they are streams, closed in the middle
    of an event; of another response, nobody could tell whether it is complete.

    Args:
        request_id: Id of the request, which with the server determines the response.
        server: Id of the server.
        streams: Whether the response is a stream.

    """
    number = zlib.crc32(f"{request_id} {server}".encode())
    if number % 2 == 0:
        return ResponsePlan(Framing.CONNECTION)
    resets = not streams or number % 4 == 1
    return ResponsePlan(Framing.CONNECTION, number // 4 % STREAM_EVENTS + 1, resets)
