"""Tests of the connection over which VMs exchange messages."""

import struct
from typing import cast

import msgspec
import testtools
import trio
import trio.testing

from camphordrift.relay.peers._message_link import (
    MAX_FIRST_MESSAGE_SIZE,
    LinkBrokenError,
    MessageLink,
)
from camphordrift.relay.peers._peer_messages import (
    ConfigurationDocument,
    Message,
    Ping,
    Withdraw,
    decode_member,
)
from camphordrift.testing import run_in_virtual_time

#: Msgpack of an array in an array and so on, too deep for a decoder.
NESTED = b"\x91" * 100_000 + b"\xc0"


class NestedMessageTest(testtools.TestCase):
    def test_a_nested_message_breaks_the_link_alone(self) -> None:
        # Guards against a RecursionError, which would end the process.
        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            receiver = MessageLink(cast(trio.SocketStream, far), 1.0)
            content = msgspec.msgpack.encode({"type": "Ping", "number": 1, "other": None})
            content = content.replace(b"\xc0", NESTED)
            await near.send_all(struct.pack(">I", len(content)) + content)
            with testtools.ExpectedException(LinkBrokenError):
                await receiver.read_next()

        run_in_virtual_time(main)

    def test_a_nested_record_of_a_vm_is_malformed(self) -> None:
        content = msgspec.msgpack.encode(
            {"type": "Member", "vm": "a", "started_ms": 1, "host": "b", "port": 2, "other": None}
        )
        self.assertEqual("a", decode_member(content).vm)
        self.assertRaises(ValueError, decode_member, content.replace(b"\xc0", NESTED))


class FirstMessageTest(testtools.TestCase):
    """Guards against large messages of connections that are none of VMs."""

    def test_a_large_first_message_breaks_the_link(self) -> None:
        # The error comes with the length, before the message has been received.
        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            receiver = MessageLink(cast(trio.SocketStream, far), 1.0)
            await near.send_all(struct.pack(">I", MAX_FIRST_MESSAGE_SIZE + 1))
            with testtools.ExpectedException(LinkBrokenError, "message of .* exceeds the limit"):
                await receiver.read_next()

        run_in_virtual_time(main)

    def test_later_messages_may_be_large(self) -> None:
        document = ConfigurationDocument(b"x" * (MAX_FIRST_MESSAGE_SIZE + 1))

        async def main() -> Message:
            near, far = trio.testing.memory_stream_pair()
            sender = MessageLink(cast(trio.SocketStream, near), 1.0)
            receiver = MessageLink(cast(trio.SocketStream, far), 1.0)
            sender.send(Ping(1))
            sender.send(document)
            await sender.write_once()
            await receiver.read_next()
            return await receiver.read_next()

        self.assertEqual(document, run_in_virtual_time(main))


class SendNewestTest(testtools.TestCase):
    def test_only_the_newest_document_is_written_and_before_other_messages(self) -> None:
        received: list[Message] = []

        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            sender = MessageLink(cast(trio.SocketStream, near), 1.0)
            receiver = MessageLink(cast(trio.SocketStream, far), 1.0)
            sender.send(Withdraw("a"))
            for version in (b"1", b"2", b"3"):
                sender.send_newest(ConfigurationDocument(version))
            sender.send(Ping(1))
            await sender.write_once()
            sender.send_newest(ConfigurationDocument(b"4"))
            await sender.write_once()
            for _ in range(4):
                received.append(await receiver.read_next())

        run_in_virtual_time(main)
        expected: list[Message] = [
            ConfigurationDocument(b"3"),
            Withdraw("a"),
            Ping(1),
            ConfigurationDocument(b"4"),
        ]
        self.assertEqual(expected, received)
