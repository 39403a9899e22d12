"""Tests of the error messages for malformed records."""

from typing import Any

import testtools
from returns import result

from camphordrift.configuration import UnreadableSchema, decode_payload, validate_record
from camphordrift.configuration.tests.samples import (
    engine,
    model_service,
    plain_service,
    raw_change,
    raw_record,
)
from camphordrift.results import ResultCode


def _error_message(raw: Any) -> str:
    failure = validate_record(raw).failure()
    assert failure.code is ResultCode.RECORD_MALFORMED
    return failure.detail


def _server(**fields: Any) -> Any:
    return raw_record(raw_change("backend_server", "e-1", 0, engine(**fields)))


def _service(**fields: Any) -> Any:
    return raw_record(raw_change("service", "s", 0, plain_service(**fields)))


class ValidationTest(testtools.TestCase):
    def test_message_is_one_line_with_entry_key_value_and_expectation(self) -> None:
        tuning = {"slowdown_weight": 7}
        cases: tuple[tuple[Any, tuple[str, ...]], ...] = (
            (
                _server(address="engine.example.org"),
                ("backend_server e-1", "address", "'engine.example.org'", "an IP address"),
            ),
            (_server(port=0), ("e-1", "port = 0", "1 to 65535")),
            (_server(port="9000"), ("port = '9000'", "a TCP port")),
            (_server(memory_tokens=-5), ("memory_tokens = -5", "0 or more")),
            (_server(memory_tokens=0), ("memory_tokens of an engine must be above 0",)),
            (_server(adress="x"), ("adress = 'x'", "unknown key", "address")),
            (_server(allowed_orders=["explode"]), ("allowed_orders", "'explode'", "load_model")),
            (_server(kind="gpu"), ("kind = 'gpu'", "'engine' or 'plain'")),
            (
                _service(default_timeout_seconds="5s"),
                ("service s", "default_timeout_seconds = '5s'", "a number of seconds"),
            ),
            (_service(default_timeout_seconds=-1), ("-1", "a number of seconds above 0")),
            (_service(default_timeout_seconds=float("nan")), ("nan", "a number of seconds")),
            (_service(default_timeout_seconds=99), ("must not exceed",)),
            (_service(path_prefix="booking"), ("path_prefix = 'booking'", "begins with '/'")),
            (_service(repeatable_calls=[{"method": "get"}]), ("repeatable_calls.0.method", "GET")),
            (_service(repeatable_calls=[{"metod": "GET"}]), ("unknown key",)),
            (_service(type="other"), ("type = 'other'", "'model' or 'plain'")),
            (raw_record(raw_change("server", "x", 0, {})), ("kind = 'server'", "'backend_server'")),
            (raw_record(raw_change("policy", "p", 0, {"account": "a"})), ("service: missing",)),
            (raw_record(raw_change("policy", "p", -1, {})), ("changes.0.replaces = -1", "version")),
            (raw_record(raw_change("policy", "", 0, {})), ("changes.0.key", "the entry's name")),
            (raw_record({**raw_change("policy", "p"), "value": {}}), ("either value, or remove",)),
            (raw_record(), ("changes = []", "1 to 1000 changes")),
            (raw_record(raw_change("policy", "p"), raw_change("policy", "p")), ("at most one",)),
            (raw_record(raw_change("fleet_tuning", "x", 0, tuning)), ("expected 'fleet'",)),
            (raw_record(raw_change("fleet_tuning", "fleet", 0, tuning)), ("slowdown_weight = 7",)),
            (
                raw_record(raw_change("client_account", "a", 0, {"key_hashes": ["secret"]})),
                ("client_account a", "key_hashes.0", "SHA-256"),
            ),
            (raw_record(raw_change("model", "m", 0, {"adapters": []})), ("schema_version 2",)),
            ({**raw_record(raw_change("policy", "p")), "when": 1}, ("when = 1", "unknown key")),
            ({"schema_version": True, "author": "a", "changes": []}, ("schema_version = True",)),
            ("text", ("expected a map",)),
            (None, ("expected a map",)),
        )
        for raw, expected in cases:
            message = _error_message(raw)
            self.assertNotIn("\n", message)
            for part in expected:
                self.assertIn(part, message)

    def test_record_in_a_later_schema_is_not_validated(self) -> None:
        raw = {"schema_version": 9, "something": "else"}
        self.assertEqual(result.Success(UnreadableSchema(9)), validate_record(raw))

    def test_integers_are_accepted_as_seconds(self) -> None:
        raw = raw_record(raw_change("service", "s", 0, model_service(default_timeout_seconds=7)))
        self.assertIsInstance(validate_record(raw), result.Success)

    def test_invalid_payloads_are_rejected(self) -> None:
        import msgpack

        cases = (
            b"",
            b"\xc1",
            msgpack.packb([1]),
            msgpack.packb({"schema_version": "1"}),
            msgpack.packb({"schema_version": 1, "type": "poem"}),
            msgpack.packb({"schema_version": 1, "type": "record", "record": 7}),
            msgpack.packb({"schema_version": 1, "type": "checkpoint", "offset": -1}),
            msgpack.packb({"schema_version": 1, "type": "checkpoint", "entries": 3}),
        )
        for encoded in cases:
            failure = decode_payload(encoded).failure()
            self.assertEqual(ResultCode.RECORD_MALFORMED, failure.code, repr(encoded))
