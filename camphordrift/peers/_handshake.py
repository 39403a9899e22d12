"""The proof, in both directions, that a process knows a fleet key.

The initiator sends a hello with a nonce; the responder answers with its own nonce and a proof over
both; the initiator answers with its proof. Both nonces enter every proof and the keys of the
connection, so a recorded handshake cannot be replayed to either side.
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

#: Versions of the stream protocol that this program speaks, the preferred one first.
PROTOCOL_VERSIONS = (1,)

_NONCE_BYTES = 16

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


class _Hello(pydantic.BaseModel):
    """The first message of the initiator."""

    versions: list[int]
    vm_id: str
    incarnation: int
    target: str
    nonce: bytes
    key_names: list[bytes]


class _Challenge(pydantic.BaseModel):
    """What the responder proves: its identity and its choices."""

    version: int
    vm_id: str
    incarnation: int
    nonce: bytes
    key_name: bytes


class _Proven(pydantic.BaseModel):
    """A message (possibly empty) with the proof of it."""

    core: bytes
    proof: bytes


@dataclass(frozen=True)
class Session:
    """What both ends agreed on in a handshake."""

    #: The other end.
    peer: PeerIdentity

    #: Version of the stream protocol.
    version: int

    #: Authenticates frames to the peer.
    send_key: bytes

    #: Authenticates frames from the peer.
    receive_key: bytes


@dataclass(frozen=True)
class ProvenSession:
    """The initiator's last step: what to send, and the session that it opens."""

    #: The payload that proves the initiator.
    payload: bytes

    #: The agreed session.
    session: Session


class InitiatorHandshake:
    """The side that opened the connection, and expects a certain VM at its other end."""

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
        """The payload to send first."""
        return self._hello

    def on_challenge(self, payload: bytes) -> Result[ProvenSession, Refusal]:
        """Checks the responder's proof; returns the payload to send and the session."""
        proven = _unpack(_Proven, payload)
        challenge = None if proven is None else _unpack(_Challenge, proven.core)
        if proven is None or challenge is None:
            return _refused(RefusalReason.MALFORMED, "malformed challenge")
        if challenge.vm_id != self._target:
            return _refused(
                RefusalReason.WRONG_VM, f"{challenge.vm_id} at {self._target}'s address"
            )
        if challenge.version not in PROTOCOL_VERSIONS:
            return _refused(RefusalReason.UNSUPPORTED_VERSION, f"version {challenge.version}")
        key = self._keys.find(challenge.key_name)
        if key is None:
            return _refused(RefusalReason.UNKNOWN_KEY, "the responder chose an unknown key")
        transcript = _transcript(self._hello, proven.core)
        if not _proves(key, b"responder", transcript, proven.proof):
            return _refused(RefusalReason.WRONG_PROOF, "the responder does not know the key")
        answer = _Proven(core=b"", proof=keyed_digest(key, b"initiator", transcript))
        session = Session(
            peer=_identity(challenge),
            version=challenge.version,
            send_key=keyed_digest(key, b"to responder", transcript),
            receive_key=keyed_digest(key, b"to initiator", transcript),
        )
        return Success(ProvenSession(_pack(answer), session))


class ResponderHandshake:
    """The side that accepted the connection."""

    def __init__(self, own: PeerIdentity, keys: FleetKeys, nonce: Optional[bytes] = None) -> None:
        self._own = own
        self._keys = keys
        self._nonce = nonce or secrets.token_bytes(_NONCE_BYTES)
        self._key = b""
        self._transcript = b""
        self._session: Optional[Session] = None

    def on_hello(self, payload: bytes) -> Result[bytes, Refusal]:
        """Returns the challenge to send, or why the initiator is refused."""
        hello = _unpack(_Hello, payload)
        if hello is None or len(hello.nonce) < _NONCE_BYTES:
            return _refused(RefusalReason.MALFORMED, "malformed hello")
        if hello.target != self._own.vm_id or hello.vm_id == self._own.vm_id:
            return _refused(RefusalReason.WRONG_VM, f"{hello.vm_id} asked for {hello.target}")
        version = next((v for v in PROTOCOL_VERSIONS if v in hello.versions), None)
        if version is None:
            return _refused(RefusalReason.UNSUPPORTED_VERSION, f"versions {hello.versions}")
        key_name = next((name for name in hello.key_names if self._keys.find(name)), None)
        if key_name is None:
            return _refused(RefusalReason.UNKNOWN_KEY, f"{hello.vm_id} has no key in common")
        return Success(self._challenge(payload, hello, version, key_name))

    def on_proof(self, payload: bytes) -> Result[Session, Refusal]:
        """Checks the initiator's proof; returns the session."""
        proven = _unpack(_Proven, payload)
        if proven is None or self._session is None:
            return _refused(RefusalReason.MALFORMED, "malformed proof")
        if not _proves(self._key, b"initiator", self._transcript, proven.proof):
            return _refused(RefusalReason.WRONG_PROOF, "the initiator does not know the key")
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


def _proves(key: bytes, label: bytes, transcript: bytes, proof: bytes) -> bool:
    return hmac.compare_digest(keyed_digest(key, label, transcript), proof)


def _transcript(hello: bytes, challenge: bytes) -> bytes:
    return hashlib.sha256(hello).digest() + hashlib.sha256(challenge).digest()


def _refused(reason: RefusalReason, detail: str) -> Result[Any, Refusal]:
    return Failure(Refusal(reason, detail))


def _pack(message: pydantic.BaseModel) -> bytes:
    return bytes(msgpack.packb(message.model_dump()))


def _unpack(model: type[_Model], payload: bytes) -> Optional[_Model]:
    try:
        return model.model_validate(msgpack.unpackb(payload))
    except (ValueError, msgpack.UnpackException):
        return None
