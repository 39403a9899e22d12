"""Tests of the connection over which VMs exchange messages."""

from typing import cast

import testtools
import trio
import trio.testing

from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_messages import ConfigurationDocument, Message, Ping, Withdraw
from camphordrift.testing import run_in_virtual_time


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
