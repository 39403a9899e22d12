"""Sends a caller's request and reads its response."""

from typing import Optional

import h11
import trio

from camphordrift.platform.soak._prompts import format_parts
from camphordrift.platform.soak._records import CallerRequest

#: Path for each kind of request.
PATHS = {"stream": "/s/x", "single_stream": "/q/x", "once": "/o/x", "repeatable": "/r/x"}

#: Timeout in seconds of each kind of request, as on the soak's routes.
REQUEST_TIMEOUTS = {"stream": 4.0, "single_stream": 4.0, "once": 2.0, "repeatable": 2.0}

#: Number of tokens of each prompt, and the maximum number of output tokens.
PROMPT_TOKENS, OUTPUT_TOKENS = 500, 400

#: Seconds within which a HEAD request must be answered for its connection to be used further.
HEAD_TIMEOUT = 2.0

#: Seconds for which a caller continues to read after the timeout of its request.
EXTRA_READ_TIME = 3.0


async def exchange(
    request: CallerRequest,
    stream: trio.SocketStream,
    body: bytes = b"",
    disconnect_after: Optional[float] = None,
    chunk_bytes: Optional[int] = None,
) -> bool:
    """Sends a request, reads the response and records both.

    Args:
        request: The request; its record is completed.
        stream: Connection to a VM.
        body: Body of the request.
        disconnect_after: Seconds after which the caller disconnects; without it, the caller reads
            until :data:`EXTRA_READ_TIME` after the timeout.
        chunk_bytes: Size of the chunks in which the body is sent; without it, its length is stated.

    Returns:
        Whether the connection can be reused.

    """
    protocol = h11.Connection(h11.CLIENT)
    read_time = request.timeout + EXTRA_READ_TIME if disconnect_after is None else disconnect_after
    reusable = False
    try:
        with trio.move_on_after(read_time):
            await stream.send_all(_format_request(request, body, protocol, chunk_bytes))
            request.sent_completely = True
            reusable = await _read_response(request, stream, protocol)
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
        reusable = False
    now = trio.current_time()
    if (
        disconnect_after is not None
        and request.ended_at is None
        and now >= request.sent_at + disconnect_after
    ):
        request.disconnected_at = now
    request.ended_at = now if request.ended_at is None else request.ended_at
    return reusable


async def send_head_request(stream: trio.SocketStream) -> bool:
    """Sends a HEAD request for a path without a route; returns whether the connection is usable.

    The relay's log shows if it fails on it.
    """
    protocol = h11.Connection(h11.CLIENT)
    head = h11.Request(method="HEAD", target="/unknown/", headers=[("host", "soak.example")])
    data = (protocol.send(head) or b"") + (protocol.send(h11.EndOfMessage()) or b"")
    with trio.move_on_after(HEAD_TIMEOUT):
        try:
            await stream.send_all(data)
            while not isinstance(event := protocol.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.ConnectionClosed):
                    return False
                if event is h11.NEED_DATA:
                    protocol.receive_data(await stream.receive_some(65536))
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return False
        return protocol.their_state is h11.DONE
    return False


def _format_request(
    request: CallerRequest, body: bytes, protocol: h11.Connection, chunk_bytes: Optional[int]
) -> bytes:
    headers = [
        ("host", "soak.example"),
        ("camphordrift-attempt-id", request.id),
        ("camphordrift-deadline-ms", str(int(request.timeout * 1000))),
        ("camphordrift-credential", request.key),
        ("camphordrift-token-count", f"{PROMPT_TOKENS},{OUTPUT_TOKENS}"),
    ]
    if chunk_bytes is None:
        headers.append(("content-length", str(len(body))))
    else:
        headers.append(("transfer-encoding", "chunked"))
    if request.parts:
        headers.append(("camphordrift-prompt-prefix", format_parts(request.parts, PROMPT_TOKENS)))
    data = protocol.send(h11.Request(method="POST", target=PATHS[request.kind], headers=headers))
    size = chunk_bytes or max(1, len(body))
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    data = (data or b"") + b"".join(protocol.send(h11.Data(data=part)) or b"" for part in chunks)
    return data + (protocol.send(h11.EndOfMessage()) or b"")


async def _read_response(
    request: CallerRequest, stream: trio.SocketStream, protocol: h11.Connection
) -> bool:
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Response):
            request.status, request.head_at = event.status_code, trio.current_time()
            signature = dict(event.headers).get(b"camphordrift-engine-signature")
            request.signature = None if signature is None else signature.decode()
        elif isinstance(event, h11.Data):
            request.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            request.complete, request.ended_at = True, trio.current_time()
            return protocol.their_state is not h11.MUST_CLOSE
        elif not isinstance(event, h11.InformationalResponse):
            return False
