"""Framing and authentication of the byte stream between two VMs.

A frame consists of a four-byte length and a payload. After the handshake, the payload consists of
an eight-byte sequence number, a message authentication code and the body. Each direction has its
own key, so a frame that is reflected to its sender fails authentication like a forged one.
"""

import hmac

from returns.result import Failure, Result, Success

from camphordrift.peers._refusals import Refusal, RefusalReason

#: Maximum size in bytes of a payload after the handshake.
MAXIMUM_FRAME_BYTES = 1 << 20

#: Maximum size in bytes of a payload during the handshake, while the sender is unauthenticated.
MAXIMUM_HANDSHAKE_BYTES = 1024

_LENGTH_BYTES = 4
_SEQUENCE_BYTES = 8
_CODE_BYTES = 16
_FRAME_HEADER_BYTES = _SEQUENCE_BYTES + _CODE_BYTES

#: Maximum size in bytes of a frame's body.
MAXIMUM_BODY_BYTES = MAXIMUM_FRAME_BYTES - _FRAME_HEADER_BYTES

#: Number of bytes that a frame adds to its body.
FRAME_OVERHEAD_BYTES = _LENGTH_BYTES + _FRAME_HEADER_BYTES


def add_length(payload: bytes) -> bytes:
    """Returns the payload prefixed with its length."""
    return len(payload).to_bytes(_LENGTH_BYTES, "big") + payload


class FrameSplitter:
    """Splits a byte stream into payloads.

    A frame above the size limit is refused as soon as its length is known, so the buffer stays
    bounded.
    """

    def __init__(self, maximum_bytes: int) -> None:
        self._maximum_bytes = maximum_bytes
        self._buffer = bytearray()

    def set_maximum(self, maximum_bytes: int) -> None:
        """Changes the size limit in bytes; called once the peer is authenticated."""
        self._maximum_bytes = maximum_bytes

    def feed(self, data: bytes | bytearray) -> None:
        """Appends received bytes to the buffer."""
        self._buffer += data

    def next_payload(self) -> Result[bytes | None, Refusal]:
        """Returns the next payload, ``None`` if it is not complete yet, or a refusal."""
        if len(self._buffer) < _LENGTH_BYTES:
            return Success(None)
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
        if length > self._maximum_bytes:
            return Failure(Refusal(RefusalReason.OVERSIZED, f"frame payload of {length} bytes"))
        end = _LENGTH_BYTES + length
        if len(self._buffer) < end:
            return Success(None)
        payload = bytes(self._buffer[_LENGTH_BYTES:end])
        del self._buffer[:end]
        return Success(payload)


class FrameSealer:
    """Adds sequence numbers and authentication codes to the frames of one direction."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._next_sequence = 0

    def seal(self, body: bytes) -> bytes:
        """Returns the frame for ``body``, length included.

        Raises ``ValueError`` if the body exceeds ``MAXIMUM_BODY_BYTES``.
        """
        if len(body) > MAXIMUM_BODY_BYTES:
            raise ValueError(f"body of {len(body)} bytes exceeds the maximum body size of a frame")
        sequence = self._next_sequence.to_bytes(_SEQUENCE_BYTES, "big")
        self._next_sequence += 1
        return add_length(sequence + _authentication_code(self._key, sequence, body) + body)


class FrameOpener:
    """Authenticates received frames of one direction and checks their sequence numbers."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._next_sequence = 0

    def open(self, payload: bytes) -> Result[bytes, Refusal]:
        """Returns the body of the next frame in sequence, or a refusal.

        The authentication code is checked first, because the sequence number can be trusted only if
        it was written by a holder of the key.
        """
        if len(payload) < _FRAME_HEADER_BYTES:
            return Failure(Refusal(RefusalReason.MALFORMED, f"payload of {len(payload)} bytes"))
        sequence = payload[:_SEQUENCE_BYTES]
        code = payload[_SEQUENCE_BYTES:_FRAME_HEADER_BYTES]
        body = payload[_FRAME_HEADER_BYTES:]
        if not hmac.compare_digest(code, _authentication_code(self._key, sequence, body)):
            return Failure(Refusal(RefusalReason.FORGED, "wrong authentication code"))
        number = int.from_bytes(sequence, "big")
        if number != self._next_sequence:
            return Failure(self._sequence_refusal(number))
        self._next_sequence += 1
        return Success(body)

    def _sequence_refusal(self, number: int) -> Refusal:
        replayed = number < self._next_sequence
        reason = RefusalReason.REPLAYED if replayed else RefusalReason.OUT_OF_ORDER
        return Refusal(reason, f"frame {number} received, expected {self._next_sequence}")


def _authentication_code(key: bytes, sequence: bytes, body: bytes) -> bytes:
    return hmac.digest(key, sequence + body, "sha256")[:_CODE_BYTES]
