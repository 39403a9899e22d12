"""Tests of links between VMs of which one understands kinds of messages that the other does not."""

from collections.abc import Callable
from typing import cast, get_args

import msgspec
import testtools
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.model import ServerState
from camphordrift.relay.peers import _message_kinds
from camphordrift.relay.peers._message_kinds import (
    BASE_KINDS,
    BASE_VALUES,
    kinds_in,
    newer_values,
)
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink, _encode
from camphordrift.relay.peers._peer_messages import (
    NEWER_KINDS,
    ConfigurationRequest,
    ConnectionEnd,
    Finished,
    Member,
    Message,
    Ping,
    Refused,
    ServerUpdate,
    TunnelEnded,
    Withdraw,
)
from camphordrift.relay.scheduling import AttemptOutcome, PlacementRefusal, RefusalReason
from camphordrift.relay.tests.samples import server
from camphordrift.testing import run_in_virtual_time

#: Members of a build that understands the kind below, and of one that does not.
NEW_MEMBER = Member("vm-1", 1, "10.0.0.1", 8010, newer_kinds=("Evacuated", "Later"))
OLD_MEMBER = Member("vm-2", 1, "10.0.0.2", 8010)


class Evacuated(msgspec.Struct, frozen=True, tag=True):
    """A kind of message that builds up to 0a2fe75 do not understand."""

    zone: str = "z1"


NEWER_MESSAGE = cast(Message, Evacuated())


def received(send: Callable[[MessageLink], None], first: Message) -> list[str]:
    """Returns the kinds that a peer gets that starts with the message ``first``."""
    kinds: list[str] = []

    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        link = MessageLink(cast(trio.SocketStream, near), 1.0)
        peer = MessageLink(cast(trio.SocketStream, far), 1.0)
        peer.send(first)
        await peer.write_once()
        send(link)
        await link.read_next()
        send(link)
        await link.write_once()
        await near.send_eof()
        content = b""
        while data := await far.receive_some():
            content += data
        while content:
            length = int.from_bytes(content[:4], "big")
            kinds.append(msgspec.msgpack.decode(content[4 : 4 + length])["type"])
            content = content[4 + length :]

    run_in_virtual_time(main)
    return kinds


def read_from(content: bytes, count: int) -> list[Message]:
    """Returns the first ``count`` messages that a link reads from the content."""
    messages: list[Message] = []

    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        await far.send_all(content)
        await far.send_eof()
        link = MessageLink(cast(trio.SocketStream, near), 1.0)
        for _ in range(count):
            messages.append(await link.read_next())

    run_in_virtual_time(main)
    return messages


def encoded(document: object) -> bytes:
    content = msgspec.msgpack.encode(document)
    return len(content).to_bytes(4, "big") + content


class KnownKindsTest(testtools.TestCase):
    def test_the_kinds_of_0a2fe75_are_still_understood(self) -> None:
        self.assertEqual(set(), BASE_KINDS - kinds_in(Message))

    def test_all_other_kinds_are_announced(self) -> None:
        self.assertEqual(
            set(NEWER_KINDS),
            (kinds_in(Message) - BASE_KINDS) | newer_values() | _message_kinds.ABILITIES,
        )

    def test_each_type_has_a_kind_of_its_own(self) -> None:
        self.assertEqual(len(get_args(Message)), len(kinds_in(Message)))


class SendingTest(testtools.TestCase):
    def test_a_newer_kind_is_sent_to_a_vm_that_announced_it(self) -> None:
        self.assertEqual(
            ["Evacuated", "Evacuated"], received(lambda link: link.send(NEWER_MESSAGE), NEW_MEMBER)
        )

    def test_a_newer_kind_is_withheld_from_a_vm_that_did_not(self) -> None:
        self.assertEqual([], received(lambda link: link.send(NEWER_MESSAGE), OLD_MEMBER))

    def test_a_newer_kind_is_withheld_from_a_vm_that_does_not_introduce_itself(self) -> None:
        self.assertEqual(
            [], received(lambda link: link.send(NEWER_MESSAGE), ConfigurationRequest())
        )

    def test_the_newest_message_of_a_newer_kind_is_withheld(self) -> None:
        self.assertEqual([], received(lambda link: link.send_newest(NEWER_MESSAGE), OLD_MEMBER))

    def test_the_newest_message_of_a_newer_kind_is_sent_once(self) -> None:
        self.assertEqual(
            ["Evacuated"], received(lambda link: link.send_newest(NEWER_MESSAGE), NEW_MEMBER)
        )

    def test_other_messages_are_sent_before_the_peer_is_known(self) -> None:
        def send(link: MessageLink) -> None:
            link.send(NEWER_MESSAGE)
            link.send(Withdraw("a"))

        self.assertEqual(["Withdraw", "Withdraw"], received(send, OLD_MEMBER))

    def test_a_withheld_kind_is_logged_once_for_each_link(self) -> None:
        with self.assertLogs("absl", "WARNING") as logs:
            received(lambda link: link.send(NEWER_MESSAGE), OLD_MEMBER)
        self.assertEqual(
            ["event=message_withheld kind=Evacuated peer=vm-2"],
            [record.getMessage() for record in logs.records],
        )


class NewerValuesTest(testtools.TestCase):
    """Tests of values of enumerations that one of two VMs does not understand."""

    def setUp(self) -> None:
        super().setUp()
        self.newer_before = newer_values()
        base = dict(BASE_VALUES)
        base[RefusalReason] -= {RefusalReason.LIMITED.value}
        base[AttemptOutcome] -= {AttemptOutcome.SILENT.value}
        self.patch(_message_kinds, "BASE_VALUES", base)

    def test_newer_values_are_announced(self) -> None:
        self.assertEqual(
            {f"RefusalReason:{RefusalReason.LIMITED.value}", "AttemptOutcome:silent"},
            newer_values() - self.newer_before,
        )

    def test_an_older_vm_gets_a_refusal_that_it_understands(self) -> None:
        message = Refused(PlacementRefusal("a", RefusalReason.LIMITED, 1.5))
        self.assertEqual(
            Refused(PlacementRefusal("a", RefusalReason.NO_ENGINE, 1.5)),
            self._sent_to(OLD_MEMBER, message),
        )

    def test_an_older_vm_gets_an_outcome_that_it_understands(self) -> None:
        message = Finished("a", AttemptOutcome.SILENT)
        self.assertEqual(Finished("a", AttemptOutcome.SERVED), self._sent_to(OLD_MEMBER, message))

    def test_a_vm_that_announced_a_value_gets_it(self) -> None:
        message = Refused(PlacementRefusal("a", RefusalReason.LIMITED, 1.5))
        peer = Member("vm-3", 1, "10.0.0.3", 8010, newer_kinds=tuple(newer_values()))
        self.assertEqual(message, self._sent_to(peer, message))

    def _sent_to(self, peer: Member, message: Message) -> Message:
        results: list[Message] = []

        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            link = MessageLink(cast(trio.SocketStream, near), 1.0)
            other = MessageLink(cast(trio.SocketStream, far), 1.0)
            other.send(peer)
            await other.write_once()
            await link.read_next()
            link.send(message)
            await link.write_once()
            results.append(await other.read_next())

        run_in_virtual_time(main)
        return results[0]


class UnknownValuesTest(testtools.TestCase):
    """Tests of values of newer builds that arrive although they were not announced."""

    def test_an_unknown_reason_is_taken_as_no_engine(self) -> None:
        content = encoded(
            {"type": "Refused", "refusal": {"ask_id": "a", "reason": "x", "retry_after": None}}
        )
        expected = Refused(PlacementRefusal("a", RefusalReason.NO_ENGINE, None))
        self.assertEqual([expected], read_from(content, 1))

    def test_an_unknown_outcome_is_held_against_no_engine(self) -> None:
        content = encoded({"type": "Finished", "ask_id": "a", "outcome": "x"})
        self.assertEqual([Finished("a", AttemptOutcome.SERVED)], read_from(content, 1))

    def test_an_unknown_end_of_a_tunnel_is_no_complete_response(self) -> None:
        content = encoded({"type": "TunnelEnded", "end": "x"})
        self.assertEqual([TunnelEnded(ConnectionEnd.LOST)], read_from(content, 1))

    def test_a_server_of_unknown_state_gets_no_new_requests(self) -> None:
        entry = msgspec.to_builtins(server(1)) | {"state": "resting"}
        change = {"server_id": "a", "server": entry, "offset": 1}
        [message] = read_from(encoded({"type": "ServerNews", "changes": [change]}), 1)
        assert isinstance(message, ServerUpdate)
        [decoded] = message.changes
        assert decoded.server is not None
        self.assertEqual(ServerState.LEAVING, decoded.server.state)

    def test_an_unknown_value_is_logged_once(self) -> None:
        content = encoded({"type": "TunnelEnded", "end": "logged once"})
        with self.assertLogs("absl", "WARNING") as logs:
            read_from(2 * content, 2)
        self.assertEqual(
            ['event=value_unknown kind=ConnectionEnd value="logged once" taken_as=lost'],
            [record.getMessage() for record in logs.records],
        )

    def test_a_value_of_another_type_breaks_the_link(self) -> None:
        content = encoded({"type": "TunnelEnded", "end": 3})
        self.assertRaises(LinkBrokenError, read_from, content, 1)


class ReceivingTest(testtools.TestCase):
    def test_a_message_of_an_unknown_kind_is_passed_over(self) -> None:
        content = _encode(NEWER_MESSAGE) + _encode(Ping(1)) + _encode(NEWER_MESSAGE)
        self.assertEqual([Ping(1), Ping(2)], read_from(content + _encode(Ping(2)), 2))

    def test_an_unknown_kind_is_logged_once_for_each_link(self) -> None:
        content = _encode(NEW_MEMBER) + 2 * _encode(NEWER_MESSAGE) + _encode(Ping(1))
        with self.assertLogs("absl", "WARNING") as logs:
            read_from(content, 2)
        self.assertEqual(
            ["event=message_kind_unknown kind=Evacuated peer=vm-1"],
            [record.getMessage() for record in logs.records],
        )

    def test_malformed_content_breaks_the_link(self) -> None:
        for content in (b"\xc1", b"\x81\xa4type", msgspec.msgpack.encode({"type": 3}), b"\x80"):
            framed = len(content).to_bytes(4, "big") + content
            self.assertRaises(LinkBrokenError, read_from, framed, 1)

    def test_an_unknown_kind_with_malformed_content_breaks_the_link(self) -> None:
        content = msgspec.msgpack.encode({"type": "Evacuated", "zone": "z1"})[:-1]
        framed = len(content).to_bytes(4, "big") + content
        self.assertRaises(LinkBrokenError, read_from, framed, 1)

    def test_a_known_kind_without_a_required_field_breaks_the_link(self) -> None:
        self.assertRaises(LinkBrokenError, read_from, encoded({"type": "Withdraw"}), 1)

    @settings(deadline=None, max_examples=50)
    @given(
        kind=st.text(max_size=30).filter(lambda kind: kind not in kinds_in(Message)),
        fields=st.dictionaries(
            st.text(max_size=10).filter(lambda name: name != "type"),
            st.recursive(
                st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.binary(),
                lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
                max_leaves=5,
            ),
            max_size=4,
        ),
    )
    def test_any_unknown_kind_is_passed_over(self, kind: str, fields: dict[str, object]) -> None:
        content = encoded({"type": kind, **fields}) + _encode(Ping(1))
        self.assertEqual([Ping(1)], read_from(content, 1))
