"""How backend servers frame their responses, and where they break them off."""

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from camphordrift.platform.soak._records import STREAM_EVENTS


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


def plan_truncated(framing: Framing) -> ResponsePlan:
    """Returns a response that is broken off in the middle."""
    return ResponsePlan(framing, STREAM_EVENTS // 2)


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


def format_head(status: str, headers: dict[str, str], framing: Framing, length: int = 0) -> bytes:
    """Returns status line and headers.

    Args:
        status: Status code and reason.
        headers: Values by header name.
        framing: How the end of the body is shown.
        length: Length of the body in bytes.

    """
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    if framing is Framing.LENGTH:
        lines.append(f"content-length: {length}")
    elif framing is Framing.CHUNKS:
        lines.append("transfer-encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode()


def format_part(content: bytes, framing: Framing) -> bytes:
    """Returns a part of a body; an empty part ends the body."""
    if framing is Framing.CHUNKS:
        return b"%x\r\n%b\r\n" % (len(content), content)
    return content
