"""Tests of odd configurations and settings: they are rejected, or the relay can work with them."""

import json
from typing import Any

import testtools
from hypothesis import example, given, settings
from hypothesis import strategies as st

from camphordrift.platform import PlatformDocuments, decode_settings
from camphordrift.platform.tests.test_formats import CONFIGURATION, SETTINGS
from camphordrift.relay import EngineReport
from camphordrift.relay.peers._peer_messages import ConfigurationUpdate, message_encoder
from camphordrift.relay.scheduling import AttemptOutcome, EngineScheduler, Grant, PlacementDecision
from camphordrift.relay.store import RoutingTable, choose_service
from camphordrift.relay.tests.samples import placement_request, server

#: Numbers that no configuration has, as JSON.
BAD_NUMBERS = ("-1", "1e308", "1e999", "1" * 30, "9" * 5000, "null", '"5"', "true", "[]")


def with_number(document: bytes, path: tuple[Any, ...], number: str) -> bytes:
    """Returns a JSON document in which a value is replaced by a number, given as JSON."""
    content = json.loads(document)
    inner = content
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = "replaced"
    return json.dumps(content).replace('"replaced"', number).encode()


def paths_of_numbers(content: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all numbers in a JSON document."""
    match content:
        case dict():
            pairs = list(content.items())
        case list():
            pairs = list(enumerate(content))
        case bool():
            return []
        case int() | float():
            return [path]
        case _:
            return []
    return [found for key, value in pairs for found in paths_of_numbers(value, (*path, key))]


def use(document: bytes) -> None:
    """Does with a configuration what a VM does; raises ``ValueError`` if it is malformed."""
    configuration = PlatformDocuments().configuration(document)
    version = PlatformDocuments().configuration_version(document)
    message_encoder.encode(ConfigurationUpdate(version))
    table = RoutingTable(configuration)
    table.find_route("a.example", "/q/x")
    for route in configuration.routes:
        for number in (0.0, 0.5, 0.999):
            choose_service(route.shares, number)
    times = [0.0]
    scheduler = EngineScheduler("vm-1", lambda: times[-1])
    scheduler.set_services(configuration.services.values())
    for name in configuration.services:
        if not scheduler.has_pool(name):
            continue
        engines = [server(number, name) for number in range(3)]
        scheduler.set_servers(engines)
        for engine in engines:
            scheduler.record_report(engine, EngineReport(1, 0))
        decisions: list[PlacementDecision] = []
        for number, tokens in enumerate((100, 50_000, 400_000)):
            request = placement_request(f"{name}-{number}", tokens, service=name)
            scheduler.submit("vm-1", request, decisions.append)
        for seconds in (0.1, 0.4, 0.5, 4.0):
            times.append(times[-1] + seconds)
            scheduler.decide()
        for decision in decisions:
            if isinstance(decision, Grant):
                scheduler.record_first_event(decision.ask_id)
                scheduler.record_event_gap(decision.ask_id, 0.01)
                scheduler.record_finished(decision.ask_id, AttemptOutcome.SERVED)


class NumbersTest(testtools.TestCase):
    def test_a_configuration_with_a_bad_number_is_rejected(self) -> None:
        # Guards against divisions by zero and infinite times, which end the process.
        document = json.loads(CONFIGURATION)
        ignored = {("Services", 0, "Engine", "usual", name) for name in ("prompt", "answer")}
        paths = [path for path in paths_of_numbers(document) if path not in ignored]
        self.assertTrue(len(paths) > 20)
        for path in paths:
            for number in BAD_NUMBERS:
                if (path[-1], number) in (("Priority", "-1"), ("Priority", "null")):
                    continue
                changed = with_number(CONFIGURATION, path, number)
                self.assertRaises(ValueError, PlatformDocuments().configuration, changed)

    def test_numbers_that_are_divided_by_are_not_zero(self) -> None:
        for name in ("Slots", "KvCacheTokens", "Stride", "step_ms", "read_per_s"):
            changed = with_number(CONFIGURATION, ("Services", 0, "Engine", name), "0")
            self.assertRaises(ValueError, PlatformDocuments().configuration, changed)

    def test_settings_with_a_bad_number_are_rejected(self) -> None:
        content = json.loads(SETTINGS)
        content["Bounds"] |= {"ConfigApplyMs": 2000, "EvacuateMs": 5000, "RetryBudgetRatio": 0.2}
        content["Bounds"] |= {"BudgetWindowS": 10}
        content["Limits"] = {"CpuShare": 0.5, "CpuCores": 1, "LinkMbps": 100}
        document = json.dumps(content).encode()
        decode_settings(document)
        for path in paths_of_numbers(content):
            for number in ("-1", "1e999", "1" * 30, "9" * 5000):
                self.assertRaises(ValueError, decode_settings, with_number(document, path, number))
        for name in ("CpuShare", "CpuCores", "LinkMbps"):
            self.assertRaises(
                ValueError, decode_settings, with_number(document, ("Limits", name), "0")
            )

    def test_nested_settings_are_rejected(self) -> None:
        # Guards against a RecursionError, whose message names nothing.
        content = b'{"Other":' + b"[" * 100_000 + b"]" * 100_000 + b"," + SETTINGS[1:]
        self.assertRaises(ValueError, decode_settings, content)


_odd = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.sampled_from([0, 1, 2, -1, 2**53, 2**63, 1e-300, 1e300, 5e-324]),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=8),
    ),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=4,
)


def paths_of_all(content: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in a JSON document."""
    pairs: list[tuple[Any, Any]] = []
    if isinstance(content, dict):
        pairs = list(content.items())
    elif isinstance(content, list):
        pairs = list(enumerate(content))
    inner = [found for key, value in pairs for found in paths_of_all(value, (*path, key))]
    return [path, *inner] if path else inner


class AnyConfigurationTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(paths_of_numbers(json.loads(CONFIGURATION)))
                | st.sampled_from(paths_of_all(json.loads(CONFIGURATION))),
                _odd,
            ),
            min_size=1,
            max_size=3,
        ),
        st.integers(0, 30),
    )
    @example([(("Services", 0, "Engine", "KvCacheTokens"), 1)], 0)
    @example([(("Services", 0, "Engine", "Slots"), 0)], 0)
    def test_any_configuration_is_rejected_or_usable(
        self, changes: list[tuple[tuple[Any, ...], Any]], cut: int
    ) -> None:
        # Guards against configurations that are applied and then end the process.
        document = CONFIGURATION
        for path, value in changes:
            try:
                document = with_number(document, path, json.dumps(value))
            except (KeyError, IndexError, TypeError):
                # An earlier change has removed the place.
                continue
        try:
            use(document[: len(document) - cut // 10])
        except ValueError:
            return
