"""Messages between a follower and the leader, encoded as msgpack with a length prefix.

Classes that were renamed keep their former name as the tag on the wire.
"""

import struct
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Optional, Union

import msgspec
import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import READ_SIZE
from camphordrift.relay.crashes import CrashEvidence
from camphordrift.relay.model import Address, TolerantEnum
from camphordrift.relay.peers._message_kinds import (
    ABILITIES,
    BASE_KINDS,
    PeerKinds,
    kind_of,
    kinds_in,
    newer_values,
    read_kind,
)
from camphordrift.relay.scheduling import (
    AttemptOutcome,
    ColdServer,
    Grant,
    Permit,
    PlacementRefusal,
    PlacementRequest,
    RefusalReason,
    ServerLimit,
)
from camphordrift.relay.servers import (
    DirectoryChange,
    PathStatement,
    ServerPause,
    ServerStart,
    ZoneStatement,
)

#: Largest message in bytes; a longer one closes the connection. Configurations are the largest
#: messages.
MAX_MESSAGE_SIZE = 16 << 20

_LENGTH = struct.Struct(">I")


class Member(msgspec.Struct, frozen=True, tag=True):
    """A VM of the relay, as it announces itself on the store and to other VMs."""

    #: Id of the VM.
    vm: str
    #: Milliseconds since the epoch at which its process started.
    started_ms: int
    #: Address on which it accepts connections of other VMs.
    host: str
    port: int
    #: Capacity class of the VM (:attr:`RelaySettings.capacity`): log2 of its size relative to the
    #: smallest VMs; 0 = smallest, 1 = twice as large.
    capacity: int = 0
    #: Availability zone of the VM.
    zone: str = ""
    #: Kinds of messages that the VM understands besides those of commit 0a2fe75, and its other
    #: abilities. Empty if its build has no others, or if a VM of such a build passed the record on.
    newer_kinds: tuple[str, ...] = ()

    @property
    def address(self) -> Address:
        """Address on which the VM accepts connections of other VMs."""
        return Address(self.host, self.port)

    @property
    def leader_rank(self) -> tuple[int, int, str]:
        """Sort key for the choice of a leader: highest capacity first, then earliest start."""
        return -self.capacity, self.started_ms, self.vm

    def is_same_start(self, other: "Member") -> bool:
        """Returns whether both are of one start of the VM.

        Records that VMs of older builds passed on may lack fields.
        """
        return (self.vm, self.started_ms, self.address) == (
            other.vm,
            other.started_ms,
            other.address,
        )


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Submits a placement request to the leader."""

    #: The placement request.
    ask: PlacementRequest


class Register(msgspec.Struct, frozen=True, tag=True):
    """Registers a request that the leader did not place itself, so that it counts as load."""

    #: The placement request.
    ask: PlacementRequest
    grant: Grant
    #: Whether its prefill has not finished.
    reading: bool


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Withdraws a placement request."""

    #: Id of the placement request.
    ask_id: str


class PrefillFinished(msgspec.Struct, frozen=True, tag="PromptRead"):
    """Reports the first event of a response, which shows that prefill has finished."""

    #: Id of the placement request.
    ask_id: str


class EventGapReport(msgspec.Struct, frozen=True, tag="PauseSeen"):
    """Reports the shortest of the first gaps between events of a response."""

    #: Id of the placement request.
    ask_id: str
    #: The gap in seconds.
    pause: float


class Finished(msgspec.Struct, frozen=True, tag=True):
    """Reports the end of a request that was placed."""

    #: Id of the placement request.
    ask_id: str
    outcome: AttemptOutcome
    #: Id or address of the engine that the response names as the cause of a failure.
    at_fault: Optional[str] = None


class Waiting(msgspec.Struct, frozen=True, tag=True):
    """Acknowledges a placement request whose decision has to wait for a free engine."""

    #: Id of the placement request.
    ask_id: str


class Granted(msgspec.Struct, frozen=True, tag=True):
    """Answers a placement request with an engine."""

    grant: Grant


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Answers a placement request with a refusal."""

    refusal: PlacementRefusal


class StoreUnreachable(msgspec.Struct, frozen=True, tag="Unfit"):
    """Reports that a VM cannot reach the store, while other VMs can."""

    #: Id of the VM that cannot reach the store.
    vm: str


class StoreReachable(msgspec.Struct, frozen=True, tag=True):
    """Tells a follower that the sender's own leader reaches the store.

    Sent only by a VM that has followers although it follows another VM.
    """

    #: Id of the sender's leader.
    vm: str


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="ConfigurationNews"):
    """Announces a newer configuration.

    Sending the document itself to all VMs would saturate the link of a small leader.
    """

    #: Version of the new configuration.
    version: int
    #: Address of a VM that sends the document on request; without one, it is read from the store.
    source: Optional[Address] = None
    #: API keys that it withdraws, which are refused at once, before the document has arrived.
    withdrawn_keys: frozenset[str] = frozenset()


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="ConfigurationWanted"):
    """Requests the configuration document from another VM."""

    #: Oldest version that is useful. The response is sent once the VM has it.
    version: int = 0


class ConfigurationDocument(msgspec.Struct, frozen=True, tag=True):
    """Sends a configuration to a VM that requested it, or that passes it on to others."""

    #: The document as it is stored.
    document: bytes


class ServerUpdate(msgspec.Struct, frozen=True, tag="ServerNews"):
    """Forwards changes of the backend server directory."""

    #: Servers that were listed, changed or removed.
    changes: tuple[DirectoryChange, ...]


class CrashEvidenceUpdate(msgspec.Struct, frozen=True, tag="PartEvidenceUpdate"):
    """Tells a VM about traits of requests that may crash servers, in either direction of a link."""

    evidence: CrashEvidence


class ServersLeaving(msgspec.Struct, frozen=True, tag=True):
    """Reports backend servers that announced in a response that they leave."""

    starts: tuple[ServerStart, ...]


class ServersLimited(msgspec.Struct, frozen=True, tag=True):
    """Tells a VM of limits that backend servers named in responses, or that have ended."""

    limits: tuple[ServerLimit, ...]


class ZonesStated(msgspec.Struct, frozen=True, tag=True):
    """Tells a VM which zones are evacuated or taken back, in either direction of a link."""

    statements: tuple[ZoneStatement, ...]


class ServersCold(msgspec.Struct, frozen=True, tag=True):
    """Tells a VM of servers that are cold, or that became warm earlier than expected."""

    servers: tuple[ColdServer, ...]


class PermitRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader for permission to send a request to a limited server."""

    #: Number of the request on this connection; the response repeats it.
    number: int
    service: str
    #: Ids of the servers that may get the request.
    server_ids: tuple[str, ...]
    #: Maximum number of seconds until it may be sent.
    max_delay: float


class PermitResponse(msgspec.Struct, frozen=True, tag=True):
    """Response to a permit request."""

    number: int
    permit: Permit


class LimitedRequestSent(msgspec.Struct, frozen=True, tag=True):
    """Reports a request to a limited server that needed no permission, such as an order."""

    server_id: str


class ServerPaused(msgspec.Struct, frozen=True, tag=True):
    """Tells the leader that a backend server wants no requests from the sender for some time."""

    service: str
    pause: ServerPause


class OpenTunnel(msgspec.Struct, frozen=True, tag=True):
    """First message on a connection that is to be a tunnel to a backend server."""

    server: Address
    #: Seconds within which the connection to the server must be established.
    timeout: float


class TunnelOpened(msgspec.Struct, frozen=True, tag=True):
    """Tells that the connection to the server is established."""


class TunnelRefused(msgspec.Struct, frozen=True, tag=True):
    """Tells that there is no connection to the server."""

    reason: str
    #: Whether the server's host refused to connect.
    server_refused: bool


class TunnelData(msgspec.Struct, frozen=True, tag=True):
    """Data of the connection to the server, in either direction."""

    content: bytes


class ConnectionEnd(TolerantEnum):
    """How a connection to a server ended."""

    #: The server closed it, which may be the regular end of a response.
    CLOSED = "closed"
    #: The server reset it, so that a response is incomplete.
    RESET = "reset"
    #: It broke on the way.
    LOST = "lost"

    @classmethod
    def _fallback(cls) -> "ConnectionEnd":
        return cls.LOST


class TunnelEnded(msgspec.Struct, frozen=True, tag=True):
    """Tells that the connection to the server ended."""

    end: ConnectionEnd


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Checks that the leader responds, and asks for the age of its state."""

    #: Sequence number of the ping; the pong repeats it.
    number: int
    #: Version of the sender's configuration; 0 while it has none.
    version: int = 0
    #: Era of the store, as far as the sender knows; 0 if it knows none.
    era: int = 0
    #: Seconds since the restore that began this era was noticed; ``None`` if it was not.
    restore_age: Optional[float] = None


class Pong(msgspec.Struct, frozen=True, tag=True):
    """Response to a ping, sent after all updates that the leader had by then.

    Ages are the seconds since the leader sent its latest successful read of the store. While the
    store was restored recently, successful reads do not confirm the configuration.
    """

    #: Number of the ping.
    number: int
    #: Version of the leader's configuration; 0 while it has none.
    version: int
    #: Seconds since the leader sent the read that last confirmed its configuration.
    configuration_age: float
    #: Age of the leader's backend server directory in seconds.
    servers_age: float
    #: Seconds since the leader last read the configuration; ``None`` if all reads confirm it.
    configuration_read_age: Optional[float] = None
    #: Era of the store, as far as the leader knows; 0 if it knows none.
    era: int = 0
    #: Seconds since the restore that began this era was noticed; ``None`` if it was not.
    restore_age: Optional[float] = None
    #: Number of VMs that the leader knows to run, itself included. A follower need not know all.
    vm_count: int = 1
    #: One of the leader's followers, each time another one, without its newer kinds.
    other_vm: Optional[Member] = None
    #: Kinds of messages and abilities that all VMs have which the leader is in touch with, as in
    #: :attr:`Member.newer_kinds`; ``None`` if they are as in the last pong that stated them.
    common_kinds: Optional[tuple[str, ...]] = None

    @property
    def store_read_age(self) -> float:
        """Seconds since the leader last read the configuration from the store."""
        if self.configuration_read_age is None:
            return self.configuration_age
        return self.configuration_read_age


Message = Union[
    Member,
    Submit,
    Register,
    Withdraw,
    PrefillFinished,
    EventGapReport,
    Finished,
    Waiting,
    Granted,
    Refused,
    StoreUnreachable,
    StoreReachable,
    ConfigurationUpdate,
    ConfigurationRequest,
    ConfigurationDocument,
    ServerUpdate,
    CrashEvidenceUpdate,
    ServersLeaving,
    ServersLimited,
    PermitRequest,
    PermitResponse,
    LimitedRequestSent,
    ServerPaused,
    PathStatement,
    OpenTunnel,
    TunnelOpened,
    TunnelRefused,
    TunnelData,
    TunnelEnded,
    Ping,
    Pong,
    ZonesStated,
    ServersCold,
]

_KINDS = kinds_in(Message)

#: Kinds of messages that this build understands besides those that every build understands, values
#: in messages that it understands so, and its other abilities.
NEWER_KINDS = tuple(sorted((_KINDS - BASE_KINDS) | newer_values() | ABILITIES))

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


class LinkBrokenError(Exception):
    """The peer closed the connection, sent nothing before the timeout, or sent invalid data."""


class MessageLink:
    """A bidirectional message connection; sending only queues a message and never blocks.

    The peer gets only messages of kinds that it understands, and messages of unknown kinds are
    passed over. What the peer understands is known once its first message has arrived; messages of
    newer kinds are held back until then.

    Args:
        stream: The connection.
        idle_timeout: Seconds without received data after which the connection counts as broken;
            also the time limit of :meth:`read_next`.

    """

    def __init__(self, stream: trio.SocketStream, idle_timeout: float) -> None:
        self._stream = stream
        self._idle_timeout = idle_timeout
        self._write_buffer = bytearray()
        #: Queued messages of which only the newest of each type is sent, encoded.
        self._newest: dict[type, bytes] = {}
        self._has_queued = trio.Event()
        self._read_buffer = bytearray()
        self._peer_kinds = PeerKinds()
        #: Messages of newer kinds that wait for the peer's first message.
        self._held_back: list[Callable[[], None]] = []

    def send(self, message: Message) -> None:
        """Queues a message, which :meth:`write_queued` writes."""
        if self._may_send(message, partial(self.send, message)):
            self._write_buffer += _encode(self._translate(message))
            self._has_queued.set()

    def send_newest(self, message: Message) -> None:
        """Queues a message in place of one of the same type that was queued so and not written.

        Use it for large messages of which only the newest is of use: the peer would get all of them
        one after the other, however long that takes.
        """
        if self._may_send(message, partial(self.send_newest, message)):
            self._newest[type(message)] = _encode(message)
            self._has_queued.set()

    def _translate(self, message: Message) -> Message:
        """Replaces a value that the peer does not understand by the nearest one that it does."""
        understands = self._peer_kinds.understands_value
        match message:
            case Refused(refusal) if not understands(refusal.reason):
                return Refused(replace(refusal, reason=RefusalReason.NO_ENGINE))
            case Finished(ask_id, outcome, at_fault) if not understands(outcome):
                return Finished(ask_id, AttemptOutcome.SERVED, at_fault)
            case _:
                return message

    def _may_send(self, message: Message, send_later: Callable[[], None]) -> bool:
        kind = kind_of(type(message))
        if self._peer_kinds.understands(kind):
            return True
        if self._peer_kinds.is_known:
            self._peer_kinds.record_withheld(kind)
        else:
            self._held_back.append(send_later)
        return False

    async def write_queued(self) -> None:
        """Writes queued messages until cancelled.

        Raises:
            LinkBrokenError: The connection broke.

        """
        while True:
            await self._has_queued.wait()
            await self.write_once()

    async def write_once(self) -> None:
        """Writes the messages that are queued now.

        Raises:
            LinkBrokenError: The connection broke.

        """
        self._has_queued = trio.Event()
        # A pong must follow the documents that were queued before it.
        content = b"".join(self._newest.values()) + self._write_buffer
        self._newest.clear()
        self._write_buffer = bytearray()
        try:
            await self._stream.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkBrokenError("the connection broke") from error

    async def read_next(self) -> Message:
        """Returns the next message, before :meth:`read_messages` is used.

        Raises:
            LinkBrokenError: The connection broke, or nothing arrived within the idle timeout.

        """
        with trio.move_on_after(self._idle_timeout):
            return await self.receive()
        raise LinkBrokenError("no data from the peer within the idle timeout")

    @property
    def has_unread(self) -> bool:
        """Whether data has arrived that no message was decoded from."""
        return bool(self._read_buffer)

    async def receive(self) -> Message:
        """Returns the next message, however long it takes.

        Raises:
            LinkBrokenError: The connection broke.

        """
        while (message := self._decode_next()) is None:
            await self._receive_some()
        return message

    async def read_messages(self, handle: Callable[[Message], None]) -> None:
        """Passes messages to ``handle`` until the connection breaks or times out.

        Raises:
            LinkBrokenError: Always, as this is the only way in which reading ends.

        """
        while True:
            while (message := self._decode_next()) is not None:
                handle(message)
            with trio.move_on_after(self._idle_timeout) as scope:
                await self._receive_some()
            if scope.cancelled_caught:
                raise LinkBrokenError("no data from the peer within the idle timeout")

    async def _receive_some(self) -> None:
        try:
            data = await self._stream.receive_some(READ_SIZE)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkBrokenError("the connection broke") from error
        if not data:
            raise LinkBrokenError("the peer closed the connection")
        self._read_buffer += data

    def _decode_next(self) -> Union[Message, None]:
        while (content := self._take_content()) is not None:
            message = self._decode(content)
            if message is not None:
                self._record_introduction(message)
                return message
        return None

    def _take_content(self) -> Optional[bytes]:
        """Returns the next encoded message, if it has arrived as a whole."""
        if len(self._read_buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._read_buffer)
        if length > MAX_MESSAGE_SIZE:
            raise LinkBrokenError(f"message of {length} bytes exceeds the limit")
        end = _LENGTH.size + length
        if len(self._read_buffer) < end:
            return None
        content = bytes(self._read_buffer[_LENGTH.size : end])
        del self._read_buffer[:end]
        return content

    def _decode(self, content: bytes) -> Optional[Message]:
        """Decodes a message; returns ``None`` if its kind is unknown."""
        try:
            return _decoder.decode(content)
        except msgspec.MsgspecError as error:
            kind = _unknown_kind(content)
            if kind is None:
                log_event("message_undecodable", level=LogLevel.WARNING, reason=str(error))
                raise LinkBrokenError(f"message cannot be decoded: {error}") from error
        self._peer_kinds.record_unknown(kind)
        return None

    def _record_introduction(self, message: Message) -> None:
        """Learns from the peer's first message which kinds it understands.

        VMs that only open a tunnel or request a document do not introduce themselves.
        """
        if self._peer_kinds.is_known:
            return
        if isinstance(message, Member):
            self._peer_kinds.record_introduction(message.vm, message.newer_kinds)
        else:
            self._peer_kinds.record_introduction(None, ())
        held_back, self._held_back = self._held_back, []
        for send in held_back:
            send()


def _unknown_kind(content: bytes) -> Optional[str]:
    """Returns the kind of an encoded message if it is well-formed and of an unknown kind."""
    try:
        kind = read_kind(content)
    except msgspec.MsgspecError:
        return None
    return None if kind in _KINDS else kind


def _encode(message: Message) -> bytes:
    content = _encoder.encode(message)
    return _LENGTH.pack(len(content)) + content


def encode_member(member: Member) -> bytes:
    """Returns the value of a member's record in the store."""
    return _encoder.encode(member)


_member_decoder = msgspec.msgpack.Decoder(Member)


def decode_member(content: bytes) -> Member:
    """Decodes the value of a member's record.

    Raises:
        ValueError: The value is not a valid member.

    """
    return _member_decoder.decode(content)
