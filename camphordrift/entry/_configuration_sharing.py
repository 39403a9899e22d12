"""Fetches the configuration from other VMs while the log cannot be read."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Optional, Protocol

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.configuration import ConfigurationKeeper, PeerStateOutcome
from camphordrift.identifiers import VmId
from camphordrift.peers import PeerIdentity, RequestHandler
from camphordrift.results import Failure
from camphordrift.telemetry import log_event

#: Seconds between two requests to peers.
PEER_REQUEST_INTERVAL_SECONDS = 0.5

#: Seconds without a response of the log after which the configuration is requested from peers.
LOG_UNREACHABLE_AFTER_SECONDS = 1.0

#: Seconds to wait for the response of a peer.
PEER_RESPONSE_TIMEOUT_SECONDS = 2.0

#: Maximum size in bytes of one part of the encoded state; less than the maximum frame size between
#: peers.
CONFIGURATION_PART_BYTES = 500_000


@dataclass(frozen=True)
class ConfigurationStateAsk:
    """Requests a part of a VM's configuration state, if that VM has applied more log records."""

    #: The log offset up to which the requesting VM has applied records.
    offset: int

    #: Index of the part's first byte in the encoded state.
    start: int = 0


@dataclass(frozen=True)
class ConfigurationStateAnswer:
    """The response to :class:`ConfigurationStateAsk`: a part of the encoded state."""

    #: The bytes of the part; empty if the responding VM has not applied more records.
    part: bytes

    #: The log offset of the state; parts of states at different offsets cannot be combined.
    offset: int = 0

    #: Size of the complete encoded state in bytes.
    size: int = 0


class Messenger(Protocol):
    """The methods of :class:`camphordrift.peers.PeerNetwork` that are used here."""

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Adds a message type to those that can be sent and received."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Passes requests of this type to ``handler``."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Sends a request to a VM and returns its response, or why there is none."""
        ...


class ConfigurationSharing:
    """Sends this VM's configuration to peers, and fetches theirs while the log is unreachable.

    A VM that starts during an outage of the log becomes ready with the configuration of a peer. A
    VM that missed a record just before the outage gets it from a peer. A VM that cannot apply a
    record finds out whether its peers have applied it. Run :meth:`run` in a nursery.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        messenger: Messenger,
        peers: Callable[[], Sequence[VmId]],
        rng: random.Random,
        part_bytes: int = CONFIGURATION_PART_BYTES,
    ) -> None:
        self._part_bytes = part_bytes
        self._encoded: Optional[bytes] = None
        self._encoded_offset = -1
        self._keeper = keeper
        self._messenger = messenger
        self._peers = peers
        self._rng = rng
        messenger.declare(ConfigurationStateAnswer)
        messenger.register(ConfigurationStateAsk, self._handle_request)

    async def run(self) -> None:
        """Requests the state of random peers while the log is unreachable, until cancelled."""
        while True:
            await trio.sleep(PEER_REQUEST_INTERVAL_SECONDS)
            if self._needs_peers():
                await self._request_from_one_peer()

    def _needs_peers(self) -> bool:
        status = self._keeper.status
        log_is_unreachable = status.seconds_since_contact > LOG_UNREACHABLE_AFTER_SECONDS
        return not self._keeper.is_ready or log_is_unreachable or status.block is not None

    async def _request_from_one_peer(self) -> None:
        peers = self._peers()
        if not peers:
            return
        peer = self._rng.choice(peers)
        state = await self._fetch_state(peer)
        if state and self._keeper.accept_peer_state(state) is PeerStateOutcome.ADOPTED:
            version = self._keeper.status.version
            log_event("configuration_from_peer", peer=peer, version=version)

    async def _fetch_state(self, peer: VmId) -> bytes:
        """Returns the complete encoded state of a peer.

        It is empty if the peer has not applied more records, does not respond, or applies a record
        while the parts are requested.
        """
        own_offset = self._keeper.state_offset
        state = b""
        state_offset: Optional[int] = None
        while True:
            request = ConfigurationStateAsk(own_offset, len(state))
            response = await self._messenger.request(peer, request, PEER_RESPONSE_TIMEOUT_SECONDS)
            if not is_successful(response):
                return b""
            received: ConfigurationStateAnswer = response.unwrap()
            if not received.part or state_offset not in (None, received.offset):
                return b""
            state_offset = received.offset
            state += received.part
            if len(state) >= received.size:
                return state

    async def _handle_request(
        self, peer: PeerIdentity, request: ConfigurationStateAsk
    ) -> result.Result[ConfigurationStateAnswer, Failure]:
        offset = self._keeper.state_offset
        if offset <= request.offset:
            return result.Success(ConfigurationStateAnswer(b""))
        state = self._encoded_at(offset)
        part = state[request.start : request.start + self._part_bytes]
        return result.Success(ConfigurationStateAnswer(part, offset, len(state)))

    def _encoded_at(self, offset: int) -> bytes:
        """Returns the encoded state at ``offset``, which is cached until the offset changes."""
        if self._encoded is None or self._encoded_offset != offset:
            self._encoded = self._keeper.encoded_state() or b""
            self._encoded_offset = offset
        return self._encoded
