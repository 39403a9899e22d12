"""Tests of accepting and rejecting records."""

from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.configuration import (
    Accepted,
    ConfigurationRecord,
    ConfigurationState,
    RecordKind,
    Rejected,
    decide_record,
    encode_checkpoint,
)
from camphordrift.configuration.tests import samples
from camphordrift.configuration.tests.samples import (
    account,
    apply_next,
    base_state,
    engine,
    model_service,
    plain_service,
    policy,
    raw_change,
    record,
)
from camphordrift.results import ResultCode


def _apply_and_return_code(state: ConfigurationState, *changes: dict[str, Any]) -> ResultCode:
    match apply_next(state, record(*changes)):
        case Accepted():
            return ResultCode.OK
        case Rejected(failure):
            return failure.code


class ConcurrentRecordsTest(testtools.TestCase):
    def test_first_record_wins_and_the_conflict_lists_the_difference(self) -> None:
        state = base_state()
        first = record(raw_change("backend_server", "engine-1", 1, engine(port=9001)), author="ala")
        second = record(
            raw_change("backend_server", "engine-1", 1, engine(port=9002)), author="bob"
        )
        self.assertEqual(Accepted(2), apply_next(state, first))
        decision = apply_next(state, second)
        assert isinstance(decision, Rejected)
        self.assertEqual(ResultCode.RECORD_VERSION_CONFLICT, decision.failure.code)
        (conflict,) = decision.conflicts
        self.assertEqual((1, 2, "ala"), (conflict.replaces, conflict.version, conflict.author))
        (difference,) = conflict.differences
        self.assertEqual(("port", 9001, 9002), _fields(difference))
        self.assertIn("port is 9001, the record sets 9002", decision.failure.detail)

    def test_changes_of_other_entries_do_not_conflict(self) -> None:
        state = base_state()
        self.assertEqual(
            ResultCode.OK,
            _apply_and_return_code(state, raw_change("service", "x", 0, model_service())),
        )
        self.assertEqual(
            ResultCode.OK,
            _apply_and_return_code(
                state, raw_change("backend_server", "engine-1", 1, engine(9001))
            ),
        )

    def test_versions_are_never_reused(self) -> None:
        state = base_state()
        create = raw_change("client_account", "guest", 0, account("b"))
        self.assertEqual(ResultCode.OK, _apply_and_return_code(state, create))
        self.assertEqual(
            ResultCode.OK, _apply_and_return_code(state, raw_change("client_account", "guest", 2))
        )
        self.assertEqual(ResultCode.RECORD_VERSION_CONFLICT, _apply_and_return_code(state, create))
        create_again = raw_change("client_account", "guest", 3, account("b"))
        self.assertEqual(ResultCode.OK, _apply_and_return_code(state, create_again))

    def test_records_are_atomic(self) -> None:
        state = base_state()
        before = encode_checkpoint(state)
        decision = decide_record(
            state,
            record(
                raw_change("backend_server", "engine-1", 1, engine(9001)),
                raw_change("policy", "school-assistant", 7, policy()),
            ),
        )
        self.assertIsInstance(decision, Rejected)
        self.assertEqual(before, encode_checkpoint(state))


class ReferencesTest(testtools.TestCase):
    def test_inconsistent_entries_are_rejected(self) -> None:
        inconsistent = ResultCode.RECORD_INCONSISTENT
        in_use = ResultCode.RECORD_IN_USE
        other = engine(9001)
        cases: tuple[tuple[ResultCode, tuple[dict[str, Any], ...]], ...] = (
            (inconsistent, (raw_change("backend_server", "e", 0, engine(1, service="none")),)),
            (inconsistent, (raw_change("backend_server", "e", 0, engine(1, service="booking")),)),
            (inconsistent, (raw_change("backend_server", "e", 0, engine(9000)),)),
            (inconsistent, (raw_change("client_account", "guest", 0, account("a")),)),
            (inconsistent, (raw_change("service", "shop", 0, plain_service("/booking")),)),
            (inconsistent, (raw_change("policy", "p", 0, policy()),)),
            (inconsistent, (raw_change("policy", "p", 0, policy(account="nobody")),)),
            (inconsistent, (raw_change("model", "m", 0, _model("booking")),)),
            (inconsistent, (raw_change("account_limits", "nobody", 0, _limits()),)),
            (inconsistent, (raw_change("client_account", "guest", 0),)),
            (inconsistent, (raw_change("service", "assistant", 1, plain_service("/a")),)),
            (in_use, (raw_change("service", "assistant", 1),)),
            (in_use, (raw_change("client_account", "school", 1),)),
            (ResultCode.OK, (raw_change("backend_server", "engine-1", 1),)),
            (ResultCode.OK, (raw_change("backend_server", "e", 0, other),)),
            (
                ResultCode.OK,
                (
                    raw_change("backend_server", "engine-1", 1, other),
                    raw_change("backend_server", "e", 0, engine(9000)),
                ),
            ),
            (
                ResultCode.OK,
                (
                    raw_change("policy", "school-assistant", 1),
                    raw_change("client_account", "school", 1),
                ),
            ),
        )
        for expected, changes in cases:
            state = base_state()
            self.assertEqual(expected, _apply_and_return_code(state, *changes), str(changes))
            state.check_invariants()

    def test_a_policy_names_only_servers_of_its_service(self) -> None:
        state = base_state()
        self.assertEqual(
            ResultCode.OK,
            _apply_and_return_code(state, raw_change("service", "x", 0, model_service())),
        )
        narrow = raw_change("policy", "school-assistant", 1, policy(servers=["engine-1"]))
        self.assertEqual(ResultCode.OK, _apply_and_return_code(state, narrow))
        moved = raw_change("backend_server", "engine-1", 1, engine(service="x"))
        self.assertEqual(ResultCode.RECORD_INCONSISTENT, _apply_and_return_code(state, moved))
        self.assertEqual(
            ResultCode.RECORD_IN_USE,
            _apply_and_return_code(state, raw_change("backend_server", "engine-1", 1)),
        )


class OrderSafetyTest(testtools.TestCase):
    def test_orders_that_are_unsafe_without_fencing_are_refused(self) -> None:
        unsafe = ResultCode.RECORD_UNSAFE_ORDERS
        cases: tuple[tuple[ResultCode, bool, list[str], list[str]], ...] = (
            (ResultCode.OK, False, ["fleet"], ["load_model", "load_adapter"]),
            (unsafe, False, ["fleet"], ["load_model", "change_role"]),
            (unsafe, False, ["fleet"], ["unload_model"]),
            (unsafe, False, ["fleet", "operator"], ["load_model"]),
            (ResultCode.OK, False, ["operator"], ["change_role"]),
            (ResultCode.OK, True, ["fleet", "operator"], ["change_role", "unload_model"]),
            (ResultCode.RECORD_INCONSISTENT, True, [], ["load_model"]),
        )
        for expected, checks_fencing, order_givers, orders in cases:
            value = engine(
                checks_fencing=checks_fencing, order_givers=order_givers, allowed_orders=orders
            )
            change = raw_change("backend_server", "engine-1", 1, value)
            self.assertEqual(expected, _apply_and_return_code(base_state(), change), str(value))

    def test_order_giver_must_be_removed_before_it_is_replaced(self) -> None:
        state = base_state()

        def code(version: int, *order_givers: str) -> ResultCode:
            value = engine(order_givers=list(order_givers))
            return _apply_and_return_code(
                state, raw_change("backend_server", "engine-1", version, value)
            )

        self.assertEqual(ResultCode.OK, code(1, "fleet"))
        self.assertEqual(ResultCode.RECORD_UNSAFE_ORDERS, code(2, "operator"))
        self.assertEqual(ResultCode.OK, code(2))
        self.assertEqual(ResultCode.OK, code(3, "operator"))


class SchemaTest(testtools.TestCase):
    def test_older_schema_does_not_overwrite_a_newer_entry(self) -> None:
        state = base_state()
        newer = record(
            raw_change("model", "coach", 0, _model(adapters=["polish@2"])), schema_version=2
        )
        self.assertEqual(Accepted(2), apply_next(state, newer))
        older = raw_change("model", "coach", 2, _model())
        self.assertEqual(ResultCode.RECORD_SCHEMA_TOO_NEW, _apply_and_return_code(state, older))


_NAMES = st.sampled_from(["a", "b", "c"])
_DIGITS = st.sampled_from("abc")
_PORTS = st.integers(min_value=1, max_value=3)
_VALUES: st.SearchStrategy[tuple[str, Any]] = st.one_of(
    st.tuples(st.just("service"), st.builds(model_service)),
    st.tuples(st.just("service"), st.builds(plain_service, st.sampled_from(["/a", "/b"]))),
    st.tuples(st.just("client_account"), st.builds(account, _DIGITS)),
    st.tuples(st.just("backend_server"), st.builds(engine, _PORTS, service=_NAMES)),
    st.tuples(st.just("policy"), st.builds(policy, account=_NAMES, service=_NAMES)),
    st.tuples(st.sampled_from(["service", "client_account", "backend_server"]), st.none()),
)


def _model(service: str = "assistant", **fields: Any) -> dict[str, Any]:
    return {"version": "1", "service": service, "maximum_context_tokens": 1_000, **fields}


def _limits() -> dict[str, Any]:
    return {"requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1}


def _fields(difference: Any) -> tuple[str, object, object]:
    return (difference.field, difference.in_force, difference.wanted)


class DecisionPropertiesTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.lists(st.tuples(_NAMES, _VALUES, st.booleans()), max_size=25))
    def test_versions_increase_and_duplicates_are_rejected(
        self, steps: list[tuple[str, tuple[str, Any], bool]]
    ) -> None:
        state = ConfigurationState()
        accepted: list[ConfigurationRecord] = []
        for name, (kind, value), stale in steps:
            replaces = state.version_of(samples.key(RecordKind(kind), name))
            applied = record(raw_change(kind, name, max(0, replaces - stale), value))
            version = state.version
            expected = decide_record(state, applied)
            self.assertEqual(expected, apply_next(state, applied))
            if isinstance(expected, Accepted):
                accepted.append(applied)
            self.assertEqual(version + isinstance(expected, Accepted), state.version)
            state.check_invariants()
        version = state.version
        for copy in accepted:
            self.assertIsInstance(apply_next(state, copy), Rejected)
        self.assertEqual(version, state.version)
        state.check_invariants()
