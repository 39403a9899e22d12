"""Tests of keys, their hashes and fleet key files."""

import tempfile
from pathlib import Path
from typing import Optional

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.security import (
    FleetKeys,
    KeyKind,
    bearer_key,
    generate_key,
    hash_key,
    is_key_hash,
    key_matches,
    read_fleet_keys,
)
from camphordrift.settings import KeySources
from camphordrift.telemetry import redact_keys


class KeysTest(testtools.TestCase):
    def test_keys_differ_and_match_their_own_hash_only(self) -> None:
        for kind in KeyKind:
            first, second = generate_key(kind), generate_key(kind)
            self.assertNotEqual(first, second)
            self.assertTrue(is_key_hash(hash_key(first)))
            self.assertTrue(key_matches(first, [hash_key(second), hash_key(first)]))
            self.assertFalse(key_matches(first, [hash_key(second)]))

    def test_logs_redact_every_kind_of_key(self) -> None:
        for kind in KeyKind:
            self.assertEqual("<[redacted]>", redact_keys(f"<{generate_key(kind)}>"))

    def test_key_does_not_match_an_empty_list(self) -> None:
        self.assertFalse(key_matches(generate_key(KeyKind.ACCOUNT), []))

    def test_hash_is_not_accepted_as_a_key(self) -> None:
        key_hash = hash_key(generate_key(KeyKind.OPERATOR))
        self.assertFalse(key_matches(key_hash, [key_hash]))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(text=st.text(alphabet=st.characters(), max_size=300))
    def test_arbitrary_text_is_rejected_without_an_error(self, text: str) -> None:
        self.assertFalse(key_matches(text, [hash_key("x" * 43)]))


class BearerKeyTest(testtools.TestCase):
    def test_key_is_parsed_from_valid_headers_only(self) -> None:
        cases: list[tuple[Optional[str], Optional[str]]] = [
            (None, None),
            ("", None),
            ("Bearer", None),
            ("Bearer ", None),
            ("Bearer abc", "abc"),
            ("bearer  abc ", "abc"),
            ("Basic abc", None),
            ("Bearer a b", None),
            ("Bearer a\x00b", None),
            ("Bearer é", None),
            ("Bearer " + "x" * 201, None),
        ]
        for header, expected in cases:
            self.assertEqual(expected, bearer_key(header), repr(header))


class FleetKeysTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = Path(directory.name) / "fleet.keys"
        self.old = generate_key(KeyKind.FLEET)
        self.new = generate_key(KeyKind.FLEET)

    def test_first_key_is_sent_and_all_are_accepted(self) -> None:
        self.file.write_text(f"# rotation\n{self.new}\n\n {self.old} \n", encoding="utf-8")
        keys = read_fleet_keys(KeySources((self.file,), ("OLD",)), {"OLD": self.old}).unwrap()
        self.assertEqual(FleetKeys(self.new, (self.new, self.old)), keys)

    def test_repr_contains_no_key(self) -> None:
        self.assertNotIn(self.old, repr(FleetKeys(self.old, (self.old,))))

    def test_problems_name_the_source_and_no_key(self) -> None:
        self.file.write_text("short-secret\n", encoding="utf-8")
        missing = self.file.with_name("missing")
        cases = [
            (KeySources(), "fleet keys: no fleet key is configured"),
            (KeySources((missing,)), f"{missing}: cannot be read: No such file or directory"),
            (KeySources((), ("UNSET",)), "UNSET: the environment variable is not set"),
            (
                KeySources((self.file,)),
                f"{self.file}: a fleet key needs 32 to 200 ASCII characters",
            ),
        ]
        for sources, expected in cases:
            self.assertEqual(expected, str(read_fleet_keys(sources, {}).failure()))
