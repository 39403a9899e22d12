"""Tests of parsing and validating request bodies."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from camphordrift.gateway._openai_bodies import parse_chat, parse_completion
from camphordrift.results import ResultCode

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            ["model", "prompt", "messages", "max_tokens", "stream", "role", "content", "n", "x"]
        ),
        inner,
        max_size=6,
    ),
    max_leaves=12,
)


class ParseTest(testtools.TestCase):
    def test_never_forwards_fields_reserved_for_the_gateway(self) -> None:
        body = {
            "model": "m",
            "prompt": "p",
            "priority": -9,
            "request_id": "forged",
            "kv_parts": [1],
            "resume_from_token": 4,
            "seed": 7,
        }
        parsed = parse_completion(json.dumps(body).encode()).unwrap()
        self.assertEqual({"seed": 7}, json.loads(parsed.options_json))

    def test_errors_name_the_field_and_omit_its_value(self) -> None:
        failure = parse_completion(b'{"model": "m", "prompt": "p", "max_tokens": "secret"}')
        self.assertEqual(ResultCode.MALFORMED_REQUEST, failure.failure().code)
        self.assertIn("max_tokens", failure.failure().detail)
        self.assertNotIn("secret", failure.failure().detail)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(JSON_VALUES)
    def test_any_json_is_accepted_or_rejected_as_malformed(self, value: object) -> None:
        raw = json.dumps(value).encode()
        for parse in (parse_completion, parse_chat):
            parsed = parse(raw)
            if not is_successful(parsed):
                self.assertEqual(ResultCode.MALFORMED_REQUEST, parsed.failure().code)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_accepted_or_rejected_as_malformed(self, raw: bytes) -> None:
        for parse in (parse_completion, parse_chat):
            parsed = parse(raw)
            if not is_successful(parsed):
                self.assertEqual(ResultCode.MALFORMED_REQUEST, parsed.failure().code)
