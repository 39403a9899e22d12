"""Messages between a VM and the home of the pools: msgpack, each after its length."""

import struct
from collections.abc import Callable
from typing import Optional, Union

import msgspec
import trio

from camphordrift.relay._byte_stream import READ_SIZE
from camphordrift.relay._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementRefusal,
    PlacementRequest,
)
from camphordrift.relay._server_directory import DirectoryChange

#: Largest message in bytes; longer ones end the connection. A configuration is the longest.
MAX_MESSAGE_SIZE = 16 << 20

_LENGTH = struct.Struct(">I")


class Member(msgspec.Struct, frozen=True, tag=True):
    """A VM, as it introduces itself."""

    vm: str
    #: Milliseconds since the epoch at which its process started.
    started_ms: int
    host: str
    port: int
    #: Powers of two by which processor and link exceed those of a small VM; see settings.
    capacity: int = 0

    @property
    def seniority(self) -> tuple[int, int, str]:
        """Sorts the VMs with the most capacity first, and of these the one that has run longest."""
        return -self.capacity, self.started_ms, self.vm


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Asks for an engine."""

    ask: PlacementRequest


class Register(msgspec.Struct, frozen=True, tag=True):
    """Reports a request that was placed before this connection was made."""

    ask: PlacementRequest
    grant: Grant
    reading: bool


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Takes an ask back."""

    ask_id: str


class PrefillFinished(msgspec.Struct, frozen=True, tag="PromptRead"):
    """Reports the first event of an answer."""

    ask_id: str


class EventGapReport(msgspec.Struct, frozen=True, tag="PauseSeen"):
    """Reports the shortest of the first pauses between events."""

    ask_id: str
    #: Seconds.
    pause: float


class Finished(msgspec.Struct, frozen=True, tag=True):
    """Reports the end of a request's work."""

    ask_id: str
    outcome: AttemptOutcome
    #: Id or address of the engine that the answer blames.
    at_fault: Optional[str] = None


class Waiting(msgspec.Struct, frozen=True, tag=True):
    """Says that an ask waits for an engine."""

    ask_id: str


class Granted(msgspec.Struct, frozen=True, tag=True):
    """Gives an engine."""

    grant: Grant


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Refuses an ask."""

    refusal: PlacementRefusal


class StoreUnreachable(msgspec.Struct, frozen=True, tag="Unfit"):
    """Says that a VM has lost the store while others reach it."""

    vm: str


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="ConfigurationNews"):
    """Says that there is a newer configuration, which each VM reads from the store.

    The document itself would fill the link of a small home on its way to many VMs.
    """

    version: int


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="ConfigurationWanted"):
    """Asks the home for the document, as the store does not answer."""


class ConfigurationDocument(msgspec.Struct, frozen=True, tag=True):
    """The document of the home's configuration."""

    document: bytes


class ServerUpdate(msgspec.Struct, frozen=True, tag="ServerNews"):
    """Hands changes of backend servers on."""

    changes: tuple[DirectoryChange, ...]


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Asks the home whether it lives, and how old its news are."""

    number: int


class Pong(msgspec.Struct, frozen=True, tag=True):
    """Answers a ping, after all news that the home had by then.

    Ages count the seconds since the home asked the store a question that has been answered.
    """

    number: int
    #: Version of the configuration that the home has; 0 while it has none.
    version: int
    configuration_age: float
    servers_age: float


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
    ConfigurationUpdate,
    ConfigurationRequest,
    ConfigurationDocument,
    ServerUpdate,
    Ping,
    Pong,
]

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


class LinkBrokenError(Exception):
    """The other side is gone, silent, or sent something that cannot be read."""


class MessageLink:
    """A connection that carries messages both ways; sending never waits."""

    def __init__(self, stream: trio.SocketStream, silence: float) -> None:
        self._stream = stream
        self._silence = silence
        self._outgoing = bytearray()
        self._wake = trio.Event()
        self._incoming = bytearray()

    def send(self, message: Message) -> None:
        """Queues a message."""
        content = _encoder.encode(message)
        self._outgoing += _LENGTH.pack(len(content)) + content
        self._wake.set()

    async def write_queued(self) -> None:
        """Writes queued messages until cancelled or the connection breaks."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            content, self._outgoing = self._outgoing, bytearray()
            try:
                await self._stream.send_all(content)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise LinkBrokenError("the connection broke") from error

    async def read_first(self) -> Message:
        """Returns the first message.

        Raises:
            LinkBrokenError: The connection broke or stayed silent.

        """
        with trio.move_on_after(self._silence):
            while (message := self._next_message()) is None:
                await self._receive_some()
            return message
        raise LinkBrokenError("the other side is silent")

    async def read_messages(self, handle: Callable[[Message], None]) -> None:
        """Passes messages to ``handle`` until the connection breaks or falls silent.

        Raises:
            LinkBrokenError: Always, at the end.

        """
        while True:
            while (message := self._next_message()) is not None:
                handle(message)
            with trio.move_on_after(self._silence) as scope:
                await self._receive_some()
            if scope.cancelled_caught:
                raise LinkBrokenError("the other side is silent")

    async def _receive_some(self) -> None:
        try:
            data = await self._stream.receive_some(READ_SIZE)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkBrokenError("the connection broke") from error
        if not data:
            raise LinkBrokenError("the other side closed the connection")
        self._incoming += data

    def _next_message(self) -> Union[Message, None]:
        if len(self._incoming) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._incoming)
        if length > MAX_MESSAGE_SIZE:
            raise LinkBrokenError(f"a message of {length} bytes")
        end = _LENGTH.size + length
        if len(self._incoming) < end:
            return None
        content = bytes(self._incoming[_LENGTH.size : end])
        del self._incoming[:end]
        try:
            return _decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise LinkBrokenError(f"an unreadable message: {error}") from error


def encode_member(member: Member) -> bytes:
    """Encodes a member's record on the store."""
    return _encoder.encode(member)


_member_decoder = msgspec.msgpack.Decoder(Member)


def decode_member(content: bytes) -> Member:
    """Decodes a member's record.

    Raises:
        ValueError: It cannot be read.

    """
    return _member_decoder.decode(content)
