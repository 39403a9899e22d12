"""Tests of odd messages of other VMs, which end neither the process nor other VMs' links."""

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import msgspec
import pytest
import testtools
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.fleet._leader_election import _LeaderConnection
from camphordrift.relay.model import Address, EngineReport, Service
from camphordrift.relay.peers._message_kinds import MAX_LOGGED_KINDS
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._peer_messages import (
    Member,
    Message,
    OpenTunnel,
    PermitRequest,
    Ping,
    Pong,
    Register,
    Submit,
    message_decoder,
)
from camphordrift.relay.scheduling import Grant
from camphordrift.relay.tests.memory_sockets import stream_pair
from camphordrift.relay.tests.samples import (
    COSTS,
    InMemoryLog,
    SampleDocuments,
    placement_request,
    server,
)
from camphordrift.relay.tests.test_leader_election import Vm, make_vm
from camphordrift.relay.tests.wire_records import samples_of
from camphordrift.testing import run_in_virtual_time

pytestmark = pytest.mark.sockets

#: Another VM, which started before the VM of the tests and so may be its leader.
PEER = Member("vm-9", 1, "127.0.0.1", 9)

#: All kinds of messages with sample values, as they are before they are encoded.
SAMPLES = [
    msgspec.to_builtins(message, enc_hook=None, builtin_types=(bytes,))
    for messages in samples_of(Message).values()
    for message in messages
]


def framed(content: bytes) -> bytes:
    """Returns an encoded message with its length."""
    return len(content).to_bytes(4, "big") + content


def encoded(document: Any) -> bytes:
    """Returns an encoded message with its length."""
    return framed(msgspec.msgpack.encode(document))


def new_vm() -> Vm:
    """Returns a VM with engines of two services, one of which the samples name."""
    vm = make_vm(1, 50, InMemoryLog(), SampleDocuments(), "z1", ())
    vm.scheduler.set_services([Service("engines", 9, COSTS), Service("vm-1", 9, COSTS)])
    engines = [server(0), server(1), replace(server(2), id="vm-1", service="vm-1")]
    vm.scheduler.set_servers(engines)
    for engine in engines:
        vm.scheduler.record_report(engine, EngineReport(0, 0))
    return vm


async def serve_follower(vm: Vm, content: bytes) -> None:
    """Lets a VM serve a follower that sends some bytes and closes the connection."""
    near, far = stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(vm.election._serve_follower, near)
        await send_and_close(far, content)


async def follow_leader(vm: Vm, content: bytes) -> None:
    """Lets a VM follow a leader that sends some bytes and closes the connection."""
    near, far = stream_pair()
    found = _LeaderConnection(PEER, near, MessageLink(near, 0.8))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(vm.election._use_leader, found)
        await send_and_close(far, content)


async def send_and_close(stream: trio.abc.Stream, content: bytes) -> None:
    """Sends some bytes, and closes the connection after what they cause."""
    try:
        await stream.send_all(content)
    except trio.BrokenResourceError:
        # The VM has closed the connection.
        return
    await trio.sleep(0.01)
    await stream.aclose()


async def replies_to_follower(vm: Vm) -> list[type]:
    """Returns the types of the replies to a sound follower's messages."""
    near, far = stream_pair()
    replies: list[type] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(vm.election._serve_follower, near)
        link = MessageLink(cast(trio.SocketStream, far), 0.8)
        link.send(Member("vm-7", 70, "127.0.0.1", 7))
        link.send(Submit(placement_request("sound")))
        link.send(Ping(1))
        await link.write_once()
        while not replies or replies[-1] is not Pong:
            replies.append(type(await link.read_next()))
        nursery.cancel_scope.cancel()
    return replies


def check_vm_survives(
    case: testtools.TestCase, talk: Callable[[Vm, bytes], Any], content: bytes
) -> None:
    """Checks that a VM serves a sound follower after it got some bytes, and still decides."""

    async def main() -> None:
        vm = new_vm()
        await talk(vm, content)
        vm.scheduler.decide()
        case.assertIn(Pong, await replies_to_follower(vm))
        vm.scheduler.decide()

    run_in_virtual_time(main)


#: Values that no field has, or none but a few.
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, 1, -1, 2**53, -(2**63), 2**64 - 1]),
    st.sampled_from([math.nan, math.inf, -math.inf, 0.0, -1.0, 1e308, -1e308, 5e-324]),
    st.sampled_from(["", "vm-1", "vm-9", "sound", "engines", "engines-0", "\0", "x" * 300]),
    st.binary(max_size=4),
    st.just([]),
    st.just({}),
)


def changed(document: Any, picks: list[int], value: Any) -> Any:
    """Returns a copy of a document in which the value at a path of indices is replaced."""
    if not picks or not isinstance(document, (dict, list)) or not document:
        return value
    keys = list(document) if isinstance(document, dict) else list(range(len(document)))
    key = keys[picks[0] % len(keys)]
    inner = changed(document[key], picks[1:], value)
    if isinstance(document, dict):
        return document | {key: inner}
    return [inner if number == key else item for number, item in enumerate(document)]


ODD_MESSAGES = st.one_of(
    st.builds(
        lambda document, picks, value: encoded(changed(document, picks, value)),
        st.sampled_from(SAMPLES),
        st.lists(st.integers(0, 20), min_size=1, max_size=4),
        ODD_VALUES,
    ),
    st.sampled_from(SAMPLES).map(encoded),
    st.binary(max_size=30).map(framed),
    st.binary(max_size=30),
)


#: Well-formed messages that no VM sends: the grant of a request that names more helpers than
#: their memory, and requests for permission to send to no server, or in a negative time.
UNEXPECTED = (
    Register(placement_request("a"), Grant("a", server(0), (server(1),), (), 0.1), reading=True),
    PermitRequest(1, "office", (), 1.0),
    PermitRequest(1, "office", ("office-1",), -1.0),
)


class UnexpectedMessageTest(testtools.TestCase):
    def test_the_vm_and_its_other_links_go_on(self) -> None:
        # Guards against an IndexError or ValueError, which ended the process.
        for message in UNEXPECTED:
            content = encoded(msgspec.to_builtins(message))
            check_vm_survives(self, serve_follower, content)
            introduction = encoded(msgspec.to_builtins(PEER))
            check_vm_survives(self, serve_follower, introduction + content)

    def test_numbers_that_are_no_times_break_the_link_alone(self) -> None:
        # Guards against NaN, which is neither before nor after any time.
        for message in (
            Submit(placement_request("a", time_left=math.nan)),
            Submit(placement_request("a", objective=-math.inf)),
            Pong(1, 1, math.nan, 0.0),
            OpenTunnel(Address("127.0.0.1", 1), math.nan),
            PermitRequest(1, "office", ("office-1",), math.nan),
        ):
            content = msgspec.msgpack.encode(message)
            self.assertRaises(ValueError, message_decoder.decode, content)
            check_vm_survives(self, serve_follower, framed(content))

    def test_a_message_that_cannot_be_handled_is_logged_once_and_the_next_one_is_handled(
        self,
    ) -> None:
        handled: list[Message] = []

        def handle(message: Message) -> None:
            if message == Ping(1):
                raise IndexError("a fault")
            handled.append(message)

        async def main() -> None:
            near, far = stream_pair()
            await far.send_all(2 * encoded(msgspec.to_builtins(Ping(1))))
            await far.send_all(encoded(msgspec.to_builtins(Ping(2))))
            await far.aclose()
            with testtools.ExpectedException(LinkBrokenError):
                await MessageLink(near, 0.8).read_messages(handle)

        with self.assertLogs("absl", "WARNING") as logs:
            run_in_virtual_time(main)
        self.assertEqual([Ping(2)], handled)
        (line,) = (record.getMessage() for record in logs.records)
        self.assertIn("event=message_failed kind=Ping", line)

    def test_unknown_kinds_cause_a_limited_number_of_lines(self) -> None:
        async def main() -> None:
            near, far = stream_pair()
            for number in range(MAX_LOGGED_KINDS + 10):
                await far.send_all(encoded({"type": f"Kind{number}"}))
            await far.aclose()
            with testtools.ExpectedException(LinkBrokenError):
                await MessageLink(near, 0.8).read_messages(lambda message: None)

        with self.assertLogs("absl", "WARNING") as logs:
            run_in_virtual_time(main)
        self.assertEqual(MAX_LOGGED_KINDS, len(logs.records))


class AnyMessageTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(ODD_MESSAGES, max_size=4), st.integers(0, 10), st.booleans())
    def test_any_bytes_of_a_follower(
        self, messages: list[bytes], cut: int, introduced: bool
    ) -> None:
        # Guards against an exception in the handling of one message, which ends the process.
        content = b"".join(messages)
        if introduced:
            content = encoded(msgspec.to_builtins(PEER)) + content
        check_vm_survives(self, serve_follower, content[: len(content) - cut])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(ODD_MESSAGES, max_size=4), st.integers(0, 10))
    def test_any_bytes_of_a_leader(self, messages: list[bytes], cut: int) -> None:
        content = b"".join(messages)
        check_vm_survives(self, follow_leader, content[: len(content) - cut])
