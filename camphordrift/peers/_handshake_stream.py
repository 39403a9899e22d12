"""Runs the authentication handshake on a new stream."""

import trio
from returns.result import Failure, Result, Success

from camphordrift.identifiers import VmId
from camphordrift.peers._frames import (
    MAXIMUM_FRAME_BYTES,
    MAXIMUM_HANDSHAKE_BYTES,
    FrameSplitter,
    add_length,
)
from camphordrift.peers._handshake import InitiatorHandshake, ResponderHandshake, Session
from camphordrift.peers._identity import FleetKeys, PeerIdentity
from camphordrift.peers._refusals import Refusal, RefusalReason

#: Timeout in seconds for dialling and the handshake together.
HANDSHAKE_TIMEOUT_SECONDS = 2.0

_RECEIVE_BYTES = 4096


class HandshakeStream:
    """A stream whose peer is not authenticated yet."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._splitter = FrameSplitter(MAXIMUM_HANDSHAKE_BYTES)

    @property
    def splitter(self) -> FrameSplitter:
        """The splitter for the connection to reuse, as it may hold bytes after the handshake."""
        return self._splitter

    async def initiate(
        self, own: PeerIdentity, target: VmId, keys: FleetKeys
    ) -> Result[Session, Refusal]:
        """Runs the initiator's side: authenticates ``target``, then this VM to it."""
        handshake = InitiatorHandshake(own, target, keys)
        await self._send(handshake.hello)
        proven = (await self._receive()).bind(handshake.on_challenge)
        match proven:
            case Success(step):
                await self._send(step.payload)
                self._splitter.set_maximum(MAXIMUM_FRAME_BYTES)
                return Success(step.session)
        return Failure(proven.failure())

    async def respond(self, own: PeerIdentity, keys: FleetKeys) -> Result[Session, Refusal]:
        """Runs the responder's side: authenticates the process at the other end."""
        handshake = ResponderHandshake(own, keys)
        challenge = (await self._receive()).bind(handshake.on_hello)
        if isinstance(challenge, Failure):
            return Failure(challenge.failure())
        await self._send(challenge.unwrap())
        session = (await self._receive()).bind(handshake.on_proof)
        self._splitter.set_maximum(MAXIMUM_FRAME_BYTES)
        return session

    async def _send(self, payload: bytes) -> None:
        await self._stream.send_all(add_length(payload))

    async def _receive(self) -> Result[bytes, Refusal]:
        while True:
            taken = self._splitter.next_payload()
            match taken:
                case Failure(refusal):
                    return Failure(refusal)
                case Success(None):
                    data = await self._stream.receive_some(_RECEIVE_BYTES)
                    if not data:
                        return Failure(
                            Refusal(RefusalReason.MALFORMED, "stream closed during the handshake")
                        )
                    self._splitter.feed(data)
                case Success(payload):
                    return Success(payload)
