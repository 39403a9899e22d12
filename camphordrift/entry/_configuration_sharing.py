"""Gets the configuration from other VMs while the log is not to be read."""

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

#: Time between two questions to peers, in seconds.
ASK_INTERVAL_SECONDS = 0.5

#: Peers are asked once the log has not answered for this long, in seconds.
LOG_SILENT_AFTER_SECONDS = 1.0

#: Time for a peer's answer, in seconds.
ASK_TIMEOUT_SECONDS = 2.0


#: The state is handed on in parts of at most this size, below the size of a frame, in bytes.
CONFIGURATION_PART_BYTES = 500_000


@dataclass(frozen=True)
class ConfigurationStateAsk:
    """Asks a VM for one part of its configuration if it is further in the log."""

    #: The offset up to which the asking VM has applied records.
    offset: int

    #: The first byte of the part.
    start: int = 0


@dataclass(frozen=True)
class ConfigurationStateAnswer:
    """One part of a VM's configuration."""

    #: The bytes of the part; empty if the answering VM is not further.
    part: bytes

    #: The offset of the whole state; parts of states at different offsets do not fit together.
    offset: int = 0

    #: The size of the whole state, in bytes.
    size: int = 0


class Messenger(Protocol):
    """What is needed of :class:`camphordrift.peers.PeerNetwork`."""

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Makes a message known."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Returns a VM's answer."""
        ...


class ConfigurationSharing:
    """Hands this VM's configuration to peers, and takes theirs while the log is silent.

    A VM that starts during an outage of the log becomes ready this way, and one that missed a
    record just before the outage learns it. A VM that cannot apply a record learns from its peers
    whether others have it in force. Run :meth:`run` in a nursery.
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
        messenger.register(ConfigurationStateAsk, self._answer)

    async def run(self) -> None:
        """Asks one peer after another while the log is silent; runs until cancelled."""
        while True:
            await trio.sleep(ASK_INTERVAL_SECONDS)
            if self._needs_peers():
                await self._ask_one()

    def _needs_peers(self) -> bool:
        status = self._keeper.status
        log_is_silent = status.seconds_since_contact > LOG_SILENT_AFTER_SECONDS
        return not self._keeper.is_ready or log_is_silent or status.block is not None

    async def _ask_one(self) -> None:
        peers = self._peers()
        if not peers:
            return
        peer = self._rng.choice(peers)
        state = await self._fetch_state(peer)
        if state and self._keeper.accept_peer_state(state) is PeerStateOutcome.ADOPTED:
            version = self._keeper.status.version
            log_event("configuration_from_peer", peer=peer, version=version)

    async def _fetch_state(self, peer: VmId) -> bytes:
        """Returns a peer's whole state; nothing if it is not further or changes meanwhile."""
        own_offset = self._keeper.state_offset
        state = b""
        state_offset: Optional[int] = None
        while True:
            ask = ConfigurationStateAsk(own_offset, len(state))
            answer = await self._messenger.request(peer, ask, ASK_TIMEOUT_SECONDS)
            if not is_successful(answer):
                return b""
            given: ConfigurationStateAnswer = answer.unwrap()
            if not given.part or state_offset not in (None, given.offset):
                return b""
            state_offset = given.offset
            state += given.part
            if len(state) >= given.size:
                return state

    async def _answer(
        self, peer: PeerIdentity, ask: ConfigurationStateAsk
    ) -> result.Result[ConfigurationStateAnswer, Failure]:
        offset = self._keeper.state_offset
        if offset <= ask.offset:
            return result.Success(ConfigurationStateAnswer(b""))
        state = self._encoded_at(offset)
        part = state[ask.start : ask.start + self._part_bytes]
        return result.Success(ConfigurationStateAnswer(part, offset, len(state)))

    def _encoded_at(self, offset: int) -> bytes:
        """Returns the state, encoded once for all parts and all VMs that ask for this offset."""
        if self._encoded is None or self._encoded_offset != offset:
            self._encoded = self._keeper.encoded_state() or b""
            self._encoded_offset = offset
        return self._encoded
