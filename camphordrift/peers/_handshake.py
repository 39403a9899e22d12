"""Mutual authentication handshake based on the shared fleet keys.

The initiator sends a hello with a nonce. The responder returns a challenge with its own nonce and a
proof over both. The initiator returns its proof. Both nonces are part of every proof and of the
derived session keys, so a recorded handshake cannot be replayed to either side.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Any, Optional, TypeVar

import msgpack
import pydantic
from returns.result import Failure, Result, Success

from camphordrift.identifiers import Incarnation, VmId
from camphordrift.peers._identity import FleetKeys, PeerIdentity, keyed_digest
from camphordrift.peers._refusals import Refusal, RefusalReason

#: Supported versions of the stream protocol, in order of preference.
PROTOCOL_VERSIONS = (1,)

_NONCE_BYTES = 16

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


class _Hello(pydantic.BaseModel):
    """First message of the initiator."""

    versions: list[int]
    vm_id: str
    incarnation: int
    target: str
    nonce: bytes
    key_names: list[bytes]


class _Challenge(pydantic.BaseModel):
    """The responder's identity, nonce, and its choice of protocol version and key."""

    version: int
    vm_id: str
    incarnation: int
    nonce: bytes
    key_name: bytes


class _Proven(pydantic.BaseModel):
    """A packed message, which may be empty, with the sender's proof over the transcript."""

    core: bytes
    proof: bytes


@dataclass(frozen=True)
class Session:
    """The peer's identity and the keys that a completed handshake produced at one end."""

    #: Identity of the other end.
    peer: PeerIdentity

    #: Negotiated version of the stream protocol.
    version: int

    #: Key that authenticates frames sent to the peer.
    send_key: bytes

    #: Key that authenticates frames received from the peer.
    receive_key: bytes


@dataclass(frozen=True)
class ProvenSession:
    """The initiator's last message of the handshake, and the session that follows."""

    #: Payload to send, with the initiator's proof.
    payload: bytes

    #: The session that is valid once the payload is sent.
    session: Session


class InitiatorHandshake:
    """Handshake of the side that opened the connection to the VM ``target``.

    ``nonce`` is random unless one is given, for example in a test.
    """

    def __init__(
        self, own: PeerIdentity, target: VmId, keys: FleetKeys, nonce: Optional[bytes] = None
    ) -> None:
        self._target = target
        self._keys = keys
        hello = _Hello(
            versions=list(PROTOCOL_VERSIONS),
            vm_id=own.vm_id,
            incarnation=own.incarnation,
            target=target,
            nonce=nonce or secrets.token_bytes(_NONCE_BYTES),
            key_names=list(keys.names),
        )
        self._hello = _pack(hello)

    @property
    def hello(self) -> bytes:
        """Payload of the first message to send."""
        return self._hello

    def on_challenge(self, payload: bytes) -> Result[ProvenSession, Refusal]:
        """Verifies the responder's proof; returns the payload to send and the session."""
        proven = _unpack(_Proven, payload)
        challenge = None if proven is None else _unpack(_Challenge, proven.core)
        if proven is None or challenge is None:
            return _refusal_result(RefusalReason.MALFORMED, "malformed challenge")
        if challenge.vm_id != self._target:
            return _refusal_result(
                RefusalReason.WRONG_VM,
                f"{challenge.vm_id} responds at the address of {self._target}",
            )
        if challenge.version not in PROTOCOL_VERSIONS:
            return _refusal_result(
                RefusalReason.UNSUPPORTED_VERSION, f"protocol version {challenge.version}"
            )
        key = self._keys.find(challenge.key_name)
        if key is None:
            return _refusal_result(RefusalReason.UNKNOWN_KEY, "responder chose an unknown key")
        transcript = _transcript(self._hello, proven.core)
        if not _is_valid_proof(key, b"responder", transcript, proven.proof):
            return _refusal_result(RefusalReason.WRONG_PROOF, "responder's proof is wrong")
        response = _Proven(core=b"", proof=keyed_digest(key, b"initiator", transcript))
        session = Session(
            peer=_identity(challenge),
            version=challenge.version,
            send_key=keyed_digest(key, b"to responder", transcript),
            receive_key=keyed_digest(key, b"to initiator", transcript),
        )
        return Success(ProvenSession(_pack(response), session))


class ResponderHandshake:
    """Handshake of the side that accepted the connection.

    ``nonce`` is random unless one is given, for example in a test.
    """

    def __init__(self, own: PeerIdentity, keys: FleetKeys, nonce: Optional[bytes] = None) -> None:
        self._own = own
        self._keys = keys
        self._nonce = nonce or secrets.token_bytes(_NONCE_BYTES)
        self._key = b""
        self._transcript = b""
        self._session: Optional[Session] = None

    def on_hello(self, payload: bytes) -> Result[bytes, Refusal]:
        """Checks the initiator's hello; returns the challenge to send, or a refusal."""
        hello = _unpack(_Hello, payload)
        if hello is None or len(hello.nonce) < _NONCE_BYTES:
            return _refusal_result(RefusalReason.MALFORMED, "malformed hello")
        if hello.target != self._own.vm_id or hello.vm_id == self._own.vm_id:
            return _refusal_result(
                RefusalReason.WRONG_VM, f"{hello.vm_id} expected {hello.target} here"
            )
        version = next((v for v in PROTOCOL_VERSIONS if v in hello.versions), None)
        if version is None:
            return _refusal_result(
                RefusalReason.UNSUPPORTED_VERSION, f"protocol versions {hello.versions}"
            )
        key_name = next((name for name in hello.key_names if self._keys.find(name)), None)
        if key_name is None:
            return _refusal_result(RefusalReason.UNKNOWN_KEY, f"{hello.vm_id} has no key in common")
        return Success(self._challenge(payload, hello, version, key_name))

    def on_proof(self, payload: bytes) -> Result[Session, Refusal]:
        """Verifies the initiator's proof; returns the session, or a refusal."""
        proven = _unpack(_Proven, payload)
        if proven is None or self._session is None:
            return _refusal_result(RefusalReason.MALFORMED, "malformed proof")
        if not _is_valid_proof(self._key, b"initiator", self._transcript, proven.proof):
            return _refusal_result(RefusalReason.WRONG_PROOF, "initiator's proof is wrong")
        return Success(self._session)

    def _challenge(self, payload: bytes, hello: _Hello, version: int, key_name: bytes) -> bytes:
        challenge = _Challenge(
            version=version,
            vm_id=self._own.vm_id,
            incarnation=self._own.incarnation,
            nonce=self._nonce,
            key_name=key_name,
        )
        core = _pack(challenge)
        self._key = self._keys.find(key_name) or b""
        self._transcript = _transcript(payload, core)
        self._session = Session(
            peer=_identity(hello),
            version=version,
            send_key=keyed_digest(self._key, b"to initiator", self._transcript),
            receive_key=keyed_digest(self._key, b"to responder", self._transcript),
        )
        proof = keyed_digest(self._key, b"responder", self._transcript)
        return _pack(_Proven(core=core, proof=proof))


def _identity(message: _Hello | _Challenge) -> PeerIdentity:
    return PeerIdentity(VmId(message.vm_id), Incarnation(message.incarnation))


def _is_valid_proof(key: bytes, label: bytes, transcript: bytes, proof: bytes) -> bool:
    return hmac.compare_digest(keyed_digest(key, label, transcript), proof)


def _transcript(hello: bytes, challenge: bytes) -> bytes:
    return hashlib.sha256(hello).digest() + hashlib.sha256(challenge).digest()


def _refusal_result(reason: RefusalReason, detail: str) -> Result[Any, Refusal]:
    return Failure(Refusal(reason, detail))


def _pack(message: pydantic.BaseModel) -> bytes:
    return bytes(msgpack.packb(message.model_dump()))


def _unpack(model: type[_Model], payload: bytes) -> Optional[_Model]:
    try:
        return model.model_validate(msgpack.unpackb(payload))
    except (ValueError, msgpack.UnpackException):
        return None
