"""The bounded queue of frames that wait to be written to a connection."""

from collections import deque

import trio

from camphordrift.peers._envelopes import Envelope, encode_envelope
from camphordrift.peers._frames import MAXIMUM_BODY_BYTES, FrameSealer

#: Notices beyond this backlog are dropped, in bytes.
NOTICE_BACKLOG_BYTES = 256 * 1024

#: Requests beyond this backlog fail, in bytes.
REQUEST_BACKLOG_BYTES = 4 * 1024 * 1024


class SendQueue:
    """Collects bodies and writes all that wait in one call, so that bursts cost few writes."""

    def __init__(self, stream: trio.abc.SendStream, sealer: FrameSealer) -> None:
        self._stream = stream
        self._sealer = sealer
        self._bodies: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._filled = trio.Event()

    @property
    def backlog_bytes(self) -> int:
        """Bytes that wait, without what is being written."""
        return self._backlog_bytes

    def put(self, envelope: Envelope, limit_bytes: int) -> bool:
        """Queues an envelope; returns false if it exceeds a frame or the backlog its limit."""
        frame_body = encode_envelope(envelope)
        if self._backlog_bytes > limit_bytes or len(frame_body) > MAXIMUM_BODY_BYTES:
            return False
        self._bodies.append(frame_body)
        self._backlog_bytes += len(frame_body)
        self._filled.set()
        return True

    async def run(self) -> None:
        """Writes until the connection fails or the task is cancelled."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            frames = [self._sealer.seal(frame_body) for frame_body in self._bodies]
            self._bodies.clear()
            self._backlog_bytes = 0
            await self._stream.send_all(b"".join(frames))
