"""Bounded queue of the frames that a connection has to send."""

from collections import deque

import trio

from camphordrift.peers._envelopes import Envelope, encode_envelope
from camphordrift.peers._frames import MAXIMUM_BODY_BYTES, FrameSealer

#: Queue size in bytes above which new notices are dropped.
NOTICE_BACKLOG_BYTES = 256 * 1024

#: Queue size in bytes above which new requests fail, and responses are not sent.
REQUEST_BACKLOG_BYTES = 4 * 1024 * 1024


class SendQueue:
    """Queues frame bodies and writes all queued ones at once, so that bursts need few writes."""

    def __init__(self, stream: trio.abc.SendStream, sealer: FrameSealer) -> None:
        self._stream = stream
        self._sealer = sealer
        self._queued_bodies: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._not_empty = trio.Event()

    @property
    def backlog_bytes(self) -> int:
        """Number of queued bytes, without those that are being written."""
        return self._backlog_bytes

    def put(self, envelope: Envelope, limit_bytes: int) -> bool:
        """Queues an envelope; returns whether it was queued.

        It is not queued if the queue already exceeds ``limit_bytes``, or if the encoded envelope
        exceeds ``MAXIMUM_BODY_BYTES``.
        """
        frame_body = encode_envelope(envelope)
        if self._backlog_bytes > limit_bytes or len(frame_body) > MAXIMUM_BODY_BYTES:
            return False
        self._queued_bodies.append(frame_body)
        self._backlog_bytes += len(frame_body)
        self._not_empty.set()
        return True

    async def run(self) -> None:
        """Writes queued frames until cancelled. Raises trio's error if the connection fails."""
        while True:
            await self._not_empty.wait()
            self._not_empty = trio.Event()
            frames = [self._sealer.seal(frame_body) for frame_body in self._queued_bodies]
            self._queued_bodies.clear()
            self._backlog_bytes = 0
            await self._stream.send_all(b"".join(frames))
