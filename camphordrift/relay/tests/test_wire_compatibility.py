"""Tests that this build and the one in production understand each other.

``wire_0a2fe75.json`` holds what the build of commit 0a2fe75 sends and stores, as that build's own
code made it; see :mod:`camphordrift.relay.tests.wire_records`.
"""

from typing import Any, cast, get_args

import msgspec
import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.model import KeyedRecord
from camphordrift.relay.peers import decode_member, encode_member
from camphordrift.relay.peers._message_kinds import BASE_KINDS, BASE_VALUES
from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_messages import Member, Message, message_decoder
from camphordrift.relay.store import QuarantineRecords
from camphordrift.relay.tests.wire_records import (
    TRAITS,
    build_decoder,
    load_record,
    record,
    samples_of,
    schema_of,
)

FORMER = load_record("0a2fe75")
FORMER_DECODER = build_decoder(FORMER.schema)

#: Values for fields that a later build may add.
ADDED_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)

#: Samples of all messages of this build.
SAMPLES = [message for messages in samples_of(Message).values() for message in messages]


def sent_to_former(message: Message) -> list[bytes]:
    """Returns the content of what a VM of the former build gets when a message is sent to it."""
    link = MessageLink(cast(trio.SocketStream, None), 1.0)
    link.send(message)
    queued = bytes(link._write_buffer)
    return [queued[4:]] if queued else []


def missing(former: Any, present: Any, path: str = "") -> list[str]:
    """Returns the paths of former content that the present content lacks or has otherwise."""
    match former, present:
        case dict(), dict():
            return [
                line
                for name, value in former.items()
                for line in missing(value, present.get(name, "nothing"), f"{path}/{name}")
            ]
        case list(), list() if len(former) == len(present):
            return [
                line
                for number, pair in enumerate(zip(former, present, strict=True))
                for line in missing(*pair, f"{path}/{number}")
            ]
        case _:
            return [] if former == present else [f"{path}: {former} became {present}"]


def incompatibilities(former: Any, present: Any, path: str = "") -> list[str]:
    """Returns the differences of two descriptions of a type other than fields that were added."""
    if not isinstance(former, dict) or not isinstance(present, dict):
        return [] if former == present else [f"{path}: {former} became {present}"]
    if former.keys() != present.keys() or former.get("tag") != present.get("tag"):
        return [f"{path}: {former} became {present}"]
    if "values" in former:
        return [
            f"{path}: no {value}" for value in former["values"] if value not in present["values"]
        ]
    if "fields" not in former:
        inner = next(iter(former))
        return incompatibilities(former[inner], present[inner], f"{path}/{inner}")
    lines: list[str] = []
    for name, (kind, _) in former["fields"].items():
        if name not in present["fields"]:
            lines.append(f"{path}/{name} was removed")
        else:
            lines += incompatibilities(kind, present["fields"][name][0], f"{path}/{name}")
    for name, (_, required) in present["fields"].items():
        if required and not former["fields"].get(name, [None, False])[1]:
            lines.append(f"{path}/{name} has no default")
    return lines


class FormerContentTest(testtools.TestCase):
    """Tests of what the former build sends and leaves on the store."""

    def test_all_kinds_are_recorded(self) -> None:
        self.assertEqual(BASE_KINDS, set(FORMER.messages))

    def test_messages_are_decoded_without_loss(self) -> None:
        lost: list[str] = []
        for kind, contents in FORMER.messages.items():
            for content in contents:
                again = msgspec.msgpack.encode(message_decoder.decode(content))
                former, present = msgspec.msgpack.decode(content), msgspec.msgpack.decode(again)
                lost += missing(former, present, kind)
        self.assertEqual([], lost)

    def test_a_member_is_decoded(self) -> None:
        member = decode_member(FORMER.member)
        self.assertEqual(("vm-1", ()), (member.vm, member.newer_kinds))

    def test_a_quarantine_is_read(self) -> None:
        found: list[tuple[str, ...]] = []

        class Crashes:
            def add_quarantined(self, traits: tuple[str, ...], age: float) -> None:
                found.append(traits)

        class Eras:
            def call_on_restore(self, call: object) -> None:
                pass

        records = QuarantineRecords(
            cast(Any, None), "members", cast(Any, Crashes()), cast(Any, Eras()), lambda: False
        )
        is_quarantine = records.read(KeyedRecord(FORMER.quarantine_key, FORMER.quarantine))
        self.assertEqual((True, [TRAITS]), (is_quarantine, found))


class PresentContentTest(testtools.TestCase):
    """Tests of what this build sends to VMs of the former build and leaves on the store."""

    def test_all_that_is_sent_is_decoded(self) -> None:
        sent = [content for message in SAMPLES for content in sent_to_former(message)]
        for content in sent:
            FORMER_DECODER.decode(content)
        self.assertGreaterEqual(len(sent), len(BASE_KINDS))

    def test_only_kinds_that_it_understands_are_sent(self) -> None:
        sent = {
            msgspec.msgpack.decode(content)["type"]
            for message in SAMPLES
            for content in sent_to_former(message)
        }
        self.assertEqual(BASE_KINDS, sent)

    def test_a_member_is_decoded(self) -> None:
        member = Member("vm-1", 5, "10.0.0.1", 8010, 1, "z1", ("Evacuated",))
        decoded = FORMER_DECODER.decode(encode_member(member))
        self.assertEqual(("vm-1", 5, "z1"), (decoded.vm, decoded.started_ms, decoded.zone))

    def test_a_quarantine_has_the_same_form(self) -> None:
        from camphordrift.relay.peers import _peer_messages
        from camphordrift.relay.store import _quarantine_records

        present = record(_peer_messages, _quarantine_records)
        self.assertEqual(FORMER.quarantine_key, present.quarantine_key)
        self.assertEqual(len(FORMER.quarantine), len(present.quarantine))
        int(present.quarantine)


class RuleTest(testtools.TestCase):
    """Tests of the rule that fields are added with defaults, and never reused."""

    def test_messages_only_gained_fields(self) -> None:
        present = schema_of(Message)
        lines = [
            line
            for kind, description in FORMER.schema.items()
            for line in incompatibilities(description, present[kind], kind)
        ]
        self.assertEqual([], lines)

    def test_values_that_a_former_vm_does_not_know_are_replaced(self) -> None:
        """Fails if an enumeration gains a value that nothing replaces for VMs of older builds."""
        replaced = {kind.__name__ for kind in BASE_VALUES}
        former, present = _enumerations(FORMER.schema), _enumerations(schema_of(Message))
        gained = {name for name, values in former.items() if present[name] != values}
        self.assertEqual(set(), gained - replaced)
        for kind, values in BASE_VALUES.items():
            self.assertEqual(former[kind.__name__], set(values))

    def test_a_changed_type_is_found(self) -> None:
        former = {"struct": "A", "tag": "A", "fields": {"x": ["IntType", True]}}
        for fields, count in (
            ({"x": ["IntType", True], "y": ["IntType", False]}, 0),
            ({"x": ["StrType", True]}, 1),
            ({"y": ["IntType", False]}, 1),
            ({"x": ["IntType", True], "y": ["IntType", True]}, 1),
        ):
            lines = incompatibilities(former, {"struct": "A", "tag": "A", "fields": fields})
            self.assertEqual(count, len(lines), str(lines))

    @settings(deadline=None, max_examples=200)
    @given(
        number=st.integers(0, len(SAMPLES) - 1),
        names=st.lists(st.text(min_size=1, max_size=12), min_size=1, max_size=3, unique=True),
        value=ADDED_VALUES,
    )
    def test_unknown_fields_are_ignored(self, number: int, names: list[str], value: object) -> None:
        message = SAMPLES[number]
        document = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        added = {f"{name} of a later build": value for name in names}
        content = msgspec.msgpack.encode(_with_fields(document, added))
        self.assertEqual(message, message_decoder.decode(content))

    def test_all_messages_are_tagged(self) -> None:
        for message_type in get_args(Message):
            self.assertEqual("type", message_type.__struct_config__.tag_field)


def _with_fields(document: Any, added: dict[str, object]) -> Any:
    """Returns a document with further fields in each of its objects."""
    match document:
        case dict():
            return {name: _with_fields(x, added) for name, x in document.items()} | added
        case list():
            return [_with_fields(item, added) for item in document]
        case _:
            return document


def _enumerations(description: Any) -> dict[str, set[str]]:
    """Returns the values of all enumerations in a description, by name."""
    found: dict[str, set[str]] = {}
    match description:
        case {"enum": name, "values": values}:
            found[name] = set(values)
        case dict():
            for inner in description.values():
                found |= _enumerations(inner)
        case list():
            for inner in description:
                found |= _enumerations(inner)
    return found
