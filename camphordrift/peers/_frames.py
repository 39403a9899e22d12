"""Frames on a stream between two VMs.

A frame is a length of four bytes and a payload. After the handshake, a payload is a sequence number
of eight bytes, a message authentication code, and the body. Each direction has a key of its own, so
that a frame reflected to its sender fails like a forged one.
"""

import hmac

from returns.result import Failure, Result, Success

from camphordrift.peers._refusals import Refusal, RefusalReason

#: Largest payload after the handshake, in bytes.
MAXIMUM_FRAME_BYTES = 1 << 20

#: Largest payload of a process that has not proved who it is, in bytes.
MAXIMUM_HANDSHAKE_BYTES = 1024

_LENGTH_BYTES = 4
_SEQUENCE_BYTES = 8
_CODE_BYTES = 16
_SEAL_BYTES = _SEQUENCE_BYTES + _CODE_BYTES

#: Largest body of a frame, in bytes.
MAXIMUM_BODY_BYTES = MAXIMUM_FRAME_BYTES - _SEAL_BYTES

#: What each frame costs besides its body, in bytes.
FRAME_OVERHEAD_BYTES = _LENGTH_BYTES + _SEAL_BYTES


def add_length(payload: bytes) -> bytes:
    """Returns the payload with its length before it."""
    return len(payload).to_bytes(_LENGTH_BYTES, "big") + payload


class FrameSplitter:
    """Splits the bytes of a stream into payloads, without holding more than one frame too many."""

    def __init__(self, maximum_bytes: int) -> None:
        self._maximum_bytes = maximum_bytes
        self._buffer = bytearray()

    def set_maximum(self, maximum_bytes: int) -> None:
        """Changes the limit, once the handshake has shown who sends."""
        self._maximum_bytes = maximum_bytes

    def feed(self, data: bytes | bytearray) -> None:
        """Adds bytes that were received."""
        self._buffer += data

    def take(self) -> Result[bytes | None, Refusal]:
        """Returns the next whole payload, ``None`` if there is none yet, or why to refuse."""
        if len(self._buffer) < _LENGTH_BYTES:
            return Success(None)
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
        if length > self._maximum_bytes:
            return Failure(Refusal(RefusalReason.OVERSIZED, f"frame of {length} bytes"))
        end = _LENGTH_BYTES + length
        if len(self._buffer) < end:
            return Success(None)
        payload = bytes(self._buffer[_LENGTH_BYTES:end])
        del self._buffer[:end]
        return Success(payload)


class FrameSealer:
    """Numbers and authenticates the frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._next_sequence = 0

    def seal(self, body: bytes) -> bytes:
        """Returns the whole frame for ``body``. Raises ``ValueError`` if it is too large."""
        if len(body) > MAXIMUM_BODY_BYTES:
            raise ValueError(f"a message of {len(body)} bytes exceeds a frame")
        sequence = self._next_sequence.to_bytes(_SEQUENCE_BYTES, "big")
        self._next_sequence += 1
        return add_length(sequence + _code(self._key, sequence, body) + body)


class FrameOpener:
    """Checks the frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._next_sequence = 0

    def open(self, payload: bytes) -> Result[bytes, Refusal]:
        """Returns the body of the next frame in order, or why the frame is refused.

        The code is checked first: a sequence number counts only if the holder of the key wrote it.
        """
        if len(payload) < _SEAL_BYTES:
            return Failure(Refusal(RefusalReason.MALFORMED, f"frame of {len(payload)} bytes"))
        sequence = payload[:_SEQUENCE_BYTES]
        code = payload[_SEQUENCE_BYTES:_SEAL_BYTES]
        body = payload[_SEAL_BYTES:]
        if not hmac.compare_digest(code, _code(self._key, sequence, body)):
            return Failure(Refusal(RefusalReason.FORGED, "wrong authentication code"))
        number = int.from_bytes(sequence, "big")
        if number != self._next_sequence:
            return Failure(self._misplaced(number))
        self._next_sequence += 1
        return Success(body)

    def _misplaced(self, number: int) -> Refusal:
        replayed = number < self._next_sequence
        reason = RefusalReason.REPLAYED if replayed else RefusalReason.OUT_OF_ORDER
        return Refusal(reason, f"frame {number} where {self._next_sequence} was due")


def _code(key: bytes, sequence: bytes, body: bytes) -> bytes:
    return hmac.digest(key, sequence + body, "sha256")[:_CODE_BYTES]
