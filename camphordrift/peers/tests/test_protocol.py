"""Tests of frames, handshake, message encoding and keepalive, without streams."""

from dataclasses import dataclass
from enum import Enum
from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from camphordrift.identifiers import Incarnation, VmId
from camphordrift.peers import FleetKeys, MessageRegistry, PeerIdentity, RefusalReason, WireMessage
from camphordrift.peers._envelopes import decode_envelope
from camphordrift.peers._frames import MAXIMUM_FRAME_BYTES, FrameOpener, FrameSealer, FrameSplitter
from camphordrift.peers._handshake import InitiatorHandshake, ResponderHandshake, Session
from camphordrift.peers._keepalive import (
    IDLE_PING_INTERVAL_SECONDS,
    KEEPALIVE_TIMEOUT_SECONDS,
    PING_AFTER_SECONDS,
    CheckAgain,
    ConnectionTimedOut,
    KeepaliveMonitor,
    SendPing,
)
from camphordrift.peers.tests.peer_fixtures import KEY

ALPHA = PeerIdentity(VmId("alpha"), Incarnation(5))
BETA = PeerIdentity(VmId("beta"), Incarnation(9))
KEYS = FleetKeys([KEY])
NEWER_KEY = b"a newer fleet key of tests"

_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=200)


def sealed_frames(bodies: list[bytes]) -> list[bytes]:
    sealer = FrameSealer(KEY)
    return [sealer.seal(body)[4:] for body in bodies]


class FrameTest(testtools.TestCase):
    @_EXAMPLES
    @given(st.lists(st.binary(max_size=50), max_size=8), st.integers(1, 40))
    def test_frames_are_split_correctly_at_any_fragmentation(
        self, bodies: list[bytes], size: int
    ) -> None:
        sealer, opener = FrameSealer(KEY), FrameOpener(KEY)
        splitter = FrameSplitter(MAXIMUM_FRAME_BYTES)
        data = b"".join(sealer.seal(body) for body in bodies)
        seen: list[bytes] = []
        for start in range(0, len(data), size):
            splitter.feed(data[start : start + size])
            while (payload := splitter.next_payload().unwrap()) is not None:
                seen.append(opener.open(payload).unwrap())
        self.assertEqual(bodies, seen)

    @_EXAMPLES
    @given(st.binary(max_size=200))
    def test_random_bytes_are_refused_without_exception(self, data: bytes) -> None:
        splitter = FrameSplitter(100)
        splitter.feed(data)
        taken = splitter.next_payload()
        if isinstance(taken, Failure):
            self.assertEqual(RefusalReason.OVERSIZED, taken.failure().reason)
        self.assertIsInstance(FrameOpener(KEY).open(data), Failure)
        decode_envelope(data)

    def test_replayed_reordered_and_forged_frames_have_distinct_reasons(self) -> None:
        first, second, third = sealed_frames([b"a", b"b", b"c"])
        forged = first[:-1] + b"x"
        cases = (
            ([first, first], RefusalReason.REPLAYED),
            ([first, third], RefusalReason.OUT_OF_ORDER),
            ([second], RefusalReason.OUT_OF_ORDER),
            ([forged], RefusalReason.FORGED),
            ([b"short"], RefusalReason.MALFORMED),
        )
        for frames, reason in cases:
            opener = FrameOpener(KEY)
            outcomes = [opener.open(frame) for frame in frames]
            self.assertEqual(reason, outcomes[-1].failure().reason)


def run_handshake(
    initiator_keys: FleetKeys = KEYS, responder_keys: FleetKeys = KEYS
) -> tuple[Session, Session]:
    initiator = InitiatorHandshake(ALPHA, BETA.vm_id, initiator_keys)
    responder = ResponderHandshake(BETA, responder_keys)
    challenge = responder.on_hello(initiator.hello).unwrap()
    step = initiator.on_challenge(challenge).unwrap()
    return step.session, responder.on_proof(step.payload).unwrap()


class HandshakeTest(testtools.TestCase):
    def test_both_ends_derive_the_same_session_keys(self) -> None:
        initiator_session, responder_session = run_handshake()
        self.assertEqual((BETA, ALPHA), (initiator_session.peer, responder_session.peer))
        self.assertEqual(initiator_session.send_key, responder_session.receive_key)
        self.assertEqual(initiator_session.receive_key, responder_session.send_key)
        self.assertNotEqual(initiator_session.send_key, initiator_session.receive_key)

    def test_each_connection_has_its_own_session_keys(self) -> None:
        self.assertNotEqual(run_handshake()[0].send_key, run_handshake()[0].send_key)

    def test_any_common_key_is_accepted_during_key_rotation(self) -> None:
        run_handshake(FleetKeys([NEWER_KEY, KEY]), FleetKeys([KEY]))
        run_handshake(FleetKeys([KEY]), FleetKeys([NEWER_KEY, KEY]))

    def test_recorded_handshake_cannot_be_replayed(self) -> None:
        initiator = InitiatorHandshake(ALPHA, BETA.vm_id, KEYS)
        responder = ResponderHandshake(BETA, KEYS)
        challenge = responder.on_hello(initiator.hello).unwrap()
        proof = initiator.on_challenge(challenge).unwrap().payload
        second_responder = ResponderHandshake(BETA, KEYS)
        second_responder.on_hello(initiator.hello)
        self.assertEqual(
            RefusalReason.WRONG_PROOF, second_responder.on_proof(proof).failure().reason
        )
        second_initiator = InitiatorHandshake(ALPHA, BETA.vm_id, KEYS)
        self.assertEqual(
            RefusalReason.WRONG_PROOF, second_initiator.on_challenge(challenge).failure().reason
        )

    def test_wrong_vm_and_reflection_are_refused(self) -> None:
        hello = InitiatorHandshake(ALPHA, VmId("gamma"), KEYS).hello
        refused = ResponderHandshake(BETA, KEYS).on_hello(hello).failure()
        self.assertEqual(RefusalReason.WRONG_VM, refused.reason)
        reflected = InitiatorHandshake(BETA, BETA.vm_id, KEYS).hello
        refused = ResponderHandshake(BETA, KEYS).on_hello(reflected).failure()
        self.assertEqual(RefusalReason.WRONG_VM, refused.reason)

    @_EXAMPLES
    @given(st.binary(max_size=300))
    def test_random_bytes_are_refused(self, data: bytes) -> None:
        responder = ResponderHandshake(BETA, KEYS)
        self.assertIsInstance(responder.on_proof(data), Failure)
        self.assertIsInstance(responder.on_hello(data), Failure)
        initiator = InitiatorHandshake(ALPHA, BETA.vm_id, KEYS)
        self.assertIsInstance(initiator.on_challenge(data), Failure)


class Colour(Enum):
    RED = "red"


@dataclass(frozen=True)
class Older:
    """A message type as declared by an older version."""

    #: Required text.
    name: str

    #: Optional list, which both versions have.
    others: tuple[str, ...] = ()


@dataclass(frozen=True)
class Newer:
    """The same message type as declared by a newer version."""

    #: Required text.
    name: str

    #: A field that older versions do not have.
    colour: Optional[Colour] = Colour.RED

    #: Optional list, which both versions have.
    others: tuple[str, ...] = ()

    #: A set, which older versions do not have.
    chosen: frozenset[str] = frozenset()


class RegistryTest(testtools.TestCase):
    def test_older_and_newer_versions_decode_each_others_messages(self) -> None:
        older, newer = MessageRegistry(), MessageRegistry()
        older.declare(Older, "thing", 1)
        newer.declare(Newer, "thing", 2)
        message = Newer("a", Colour.RED, ("b", "c"), frozenset({"d"}))
        self.assertEqual(Success(message), newer.decode(newer.encode(message)))
        self.assertEqual(Success(Older("a", ("b", "c"))), older.decode(newer.encode(message)))
        self.assertEqual(Success(Newer("x")), newer.decode(older.encode(Older("x"))))

    @_EXAMPLES
    @given(st.binary(max_size=60))
    def test_random_bytes_are_refused(self, data: bytes) -> None:
        registry = MessageRegistry()
        registry.declare(Older)
        self.assertIsInstance(registry.decode(WireMessage("Older", 1, data)), Failure)
        self.assertIsInstance(registry.decode(WireMessage("Nothing", 1, data)), Failure)


class KeepaliveTest(testtools.TestCase):
    def test_frame_without_response_leads_to_ping_and_then_to_timeout(self) -> None:
        monitor = KeepaliveMonitor(0.0)
        monitor.on_sent(1.0)
        self.assertEqual(CheckAgain(1.0 + PING_AFTER_SECONDS), monitor.next_action(1.0))
        self.assertEqual(SendPing(), monitor.next_action(1.0 + PING_AFTER_SECONDS))
        monitor.on_sent(1.0 + PING_AFTER_SECONDS)
        self.assertIsInstance(
            monitor.next_action(1.0 + KEEPALIVE_TIMEOUT_SECONDS), ConnectionTimedOut
        )

    def test_received_frame_restarts_the_timers(self) -> None:
        monitor = KeepaliveMonitor(0.0)
        monitor.on_sent(0.0)
        monitor.on_received(2.0, awaiting_responses=True)
        self.assertEqual(CheckAgain(2.0 + PING_AFTER_SECONDS), monitor.next_action(2.0))
        monitor.on_received(2.5, awaiting_responses=False)
        self.assertEqual(CheckAgain(2.5 + IDLE_PING_INTERVAL_SECONDS), monitor.next_action(2.5))
        self.assertEqual(SendPing(), monitor.next_action(2.5 + IDLE_PING_INTERVAL_SECONDS))
