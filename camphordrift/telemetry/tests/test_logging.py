"""Tests of the format of log lines and the redaction of secrets."""

import io
import re

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.identifiers import RequestId
from camphordrift.telemetry import (
    LogLevel,
    configure_logging,
    format_event,
    log_event,
    request_context,
)

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?: |$)')


class FormatEventTest(testtools.TestCase):
    def test_values(self) -> None:
        cases: list[tuple[object, str]] = [
            ("engine-3", "engine-3"),
            ("two words", '"two words"'),
            ("", '""'),
            ("a\nb", '"a\\nb"'),
            ('say "x"\\', '"say \\"x\\"\\\\"'),
            ("k=v", '"k=v"'),
            ("\x1b[31m\u2028", '"\\x1b[31m\\u2028"'),
            (None, "none"),
            (True, "true"),
            (0.1 + 0.2, "0.3"),
            (float("nan"), "nan"),
            (LogLevel.ERROR, "error"),
            (b"\xff", '"\\\\xff"'),
            (12, "12"),
        ]
        for value, expected in cases:
            self.assertEqual(f"event=e v={expected}", format_event("e", {"v": value}))

    def test_long_values_are_truncated(self) -> None:
        self.assertTrue(len(format_event("e", {"v": "x" * 10_000})) < 600)

    def test_secrets_are_redacted(self) -> None:
        for name in (
            "authorization",
            "key",
            "fleet_key",
            "Password",
            "client_secret",
            "keys",
            "proxy_authorization",
            "old_account_keys",
            "private_key",
        ):
            self.assertNotIn("hunter2", format_event("e", {name: "hunter2"}))
        line = format_event("e", {"header": "Bearer cd-account-abc_DEF-9 x"})
        self.assertEqual('event=e header="Bearer [redacted] x"', line)

    def test_idempotency_keys_are_not_redacted(self) -> None:
        for name in ("idempotency_key", "oldest_decidable_key", "prompt_tokens"):
            self.assertIn("018f", format_event("e", {name: "018f"}))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(values=st.lists(st.text() | st.binary() | st.floats(), max_size=4))
    def test_any_value_is_formatted_as_one_line_of_pairs(self, values: list[object]) -> None:
        fields = {f"f{chr(97 + index)}": value for index, value in enumerate(values)}
        line = format_event("e", fields)
        self.assertTrue(line.isprintable(), repr(line))
        self.assertEqual(["event", *fields], [match[1] for match in PAIR.finditer(line)])
        self.assertEqual("", PAIR.sub("", line))


class LogEventTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.stream = io.StringIO()
        configure_logging("info", self.stream)

    def test_line_has_time_level_event_and_request(self) -> None:
        with request_context(RequestId("r-1")):
            log_event("engine_unreachable", level=LogLevel.WARNING, engine="engine-3")
        log_event("after")
        first, second = self.stream.getvalue().splitlines()
        self.assertRegex(first, r"^time=\d{4}-\d\d-\d\dT[\d:.]+Z level=warning ")
        self.assertTrue(first.endswith("event=engine_unreachable request_id=r-1 engine=engine-3"))
        self.assertNotIn("request_id", second)

    def test_events_below_the_configured_level_are_not_logged(self) -> None:
        log_event("quiet", level=LogLevel.DEBUG)
        self.assertEqual("", self.stream.getvalue())
