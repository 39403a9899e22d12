"""A connection on which VMs exchange messages, each with its length before it."""

import struct
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Optional, Union

import msgspec
import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import READ_SIZE
from camphordrift.relay.peers._message_kinds import (
    PeerKinds,
    kind_of,
    read_kind,
)
from camphordrift.relay.peers._peer_messages import (
    MESSAGE_KINDS,
    Finished,
    Member,
    Message,
    Refused,
    message_decoder,
    message_encoder,
)
from camphordrift.relay.scheduling import (
    AttemptOutcome,
    RefusalReason,
)

#: Largest message in bytes; a longer one closes the connection. Configurations are the largest
#: messages.
MAX_MESSAGE_SIZE = 16 << 20

#: Largest first message in bytes. Anyone may connect and begin one.
MAX_FIRST_MESSAGE_SIZE = 131072

_LENGTH = struct.Struct(">I")


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

    def handle(self, message: Message, handle: Callable[[Message], None]) -> None:
        """Passes a message to ``handle``; an exception ends neither the link nor the process.

        The messages that follow may be sound, and other VMs depend on this one.
        """
        try:
            handle(message)
        except Exception as error:
            self._peer_kinds.record_failed(kind_of(type(message)), error)

    async def read_messages(self, handle: Callable[[Message], None]) -> None:
        """Passes messages to ``handle`` until the connection breaks or times out.

        Raises:
            LinkBrokenError: Always, as this is the only way in which reading ends.

        """
        while True:
            while (message := self._decode_next()) is not None:
                self.handle(message, handle)
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
        if length > (MAX_MESSAGE_SIZE if self._peer_kinds.is_known else MAX_FIRST_MESSAGE_SIZE):
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
            return message_decoder.decode(content)
        except (msgspec.MsgspecError, RecursionError) as error:
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
    except (msgspec.MsgspecError, RecursionError):
        return None
    return None if kind in MESSAGE_KINDS else kind


def _encode(message: Message) -> bytes:
    content = message_encoder.encode(message)
    return _LENGTH.pack(len(content)) + content
