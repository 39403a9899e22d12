"""Error messages for invalid settings."""

from pathlib import Path
from typing import Any

import testtools
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from camphordrift.settings import (
    SettingsErrors,
    load_entry_settings,
    parse_entry_settings,
    parse_standin_settings,
)

FILE = Path("/etc/entry.toml")


def minimal_settings() -> dict[str, Any]:
    """Returns settings with the required keys only."""
    return {
        "vm": {"id": "oliwa-1", "availability_zone": "oliwa", "region": "wybrzeze"},
        "listen": {
            "callers": "127.0.0.1:8080",
            "operators": "127.0.0.1:8081",
            "peers": "127.0.0.1:8082",
        },
        "platform": {
            "log_url": "http://127.0.0.9:9000",
            "vm_list_url": "http://127.0.0.9:9001",
            "weight_store_url": "http://127.0.0.9:9002",
        },
        "peers": {"fleet_key_files": ["fleet.keys"]},
        "operators": {"key_hashes": ["0" * 64]},
    }


def error_lines_for(table: dict[str, Any]) -> list[str]:
    """Returns the error lines for the settings in ``table``."""
    errors = parse_entry_settings(tomli_w.dumps(table), FILE).failure()
    return str(errors).splitlines()


class MinimalSettingsTest(testtools.TestCase):
    def test_minimal_settings_load(self) -> None:
        settings = parse_entry_settings(tomli_w.dumps(minimal_settings()), FILE).unwrap()
        self.assertEqual("oliwa", settings.vm.availability_zone)
        self.assertEqual((Path("/etc/fleet.keys"),), settings.fleet_keys.files)
        self.assertIsNone(settings.tls.callers)


class ProblemLinesTest(testtools.TestCase):
    """Each error is one line with file, key, value and a description of valid values."""

    def check(self, table_name: str, key: str, value: Any, *parts: str) -> None:
        table = minimal_settings()
        table.setdefault(table_name, {})[key] = value
        lines = error_lines_for(table)
        self.assertEqual(1, len(lines), str(lines))
        self.assertIn(f"/etc/entry.toml: {table_name}.{key}", lines[0])
        for part in parts:
            self.assertIn(part, lines[0])

    def test_host_name_instead_of_ip_address(self) -> None:
        self.check("listen", "callers", "localhost:80", "'localhost:80'", "expected an IP address")
        self.check("platform", "log_url", "http://log:9000", "'http://log:9000'", "IP address")

    def test_port_out_of_range(self) -> None:
        for port in ("65536", "-1", "http", "", "8_0", "999999999999"):
            self.check("listen", "operators", f"127.0.0.1:{port}", "and a port")

    def test_address_that_peers_cannot_reach(self) -> None:
        self.check("listen", "peers", "0.0.0.0:8082", "that other VMs can reach")

    def test_unknown_key_suggests_the_closest_valid_key(self) -> None:
        self.check("vm", "availability_zon", "oliwa", "did you mean availability_zone?")
        self.check("limits", "body_timeout", 5, "did you mean body_timeout_seconds?")

    def test_value_with_a_unit_or_fraction(self) -> None:
        self.check("limits", "body_timeout_seconds", "5s", "'5s'", "number of seconds")
        self.check("limits", "max_body_bytes", "8 MB", "'8 MB'", "whole number of bytes")
        self.check("limits", "max_body_bytes", 1.5, "1.5", "whole number of bytes")

    def test_huge_and_negative_numbers(self) -> None:
        for value in (-1, 0, 10**18):
            self.check("limits", "max_body_bytes", value, str(value), "whole number of bytes")
        for span in (-0.5, float("nan"), float("inf"), 1e300):
            self.check("draining", "drain_bound_seconds", span, "number of seconds")

    def test_boolean_is_not_a_number(self) -> None:
        self.check("limits", "body_timeout_seconds", True, "True", "number of seconds")

    def test_element_of_a_list(self) -> None:
        table = minimal_settings()
        table["peers"]["seeds"] = ["127.0.0.2:1", "oliwa-2:8082"]
        self.assertEqual(
            "/etc/entry.toml: peers.seeds[1] = 'oliwa-2:8082': expected an IP address "
            'that other VMs can reach and a port, such as "10.0.0.1:8082"',
            error_lines_for(table)[0],
        )

    def test_missing_zone(self) -> None:
        table = minimal_settings()
        del table["vm"]["availability_zone"]
        self.assertEqual(
            [
                "/etc/entry.toml: vm.availability_zone: missing; expected the name of an "
                'availability zone, such as "oliwa"'
            ],
            error_lines_for(table),
        )

    def test_scalar_instead_of_a_table(self) -> None:
        table = minimal_settings()
        table["vm"] = "oliwa-1"
        self.assertIn("vm = 'oliwa-1': expected a table", error_lines_for(table)[0])

    def test_key_instead_of_its_hash_is_not_printed(self) -> None:
        table = minimal_settings()
        table["operators"]["key_hashes"] = ["cd-operator-verysecret"]
        line = error_lines_for(table)[0]
        self.assertNotIn("verysecret", line)
        self.assertIn("operators.key_hashes[0]: expected the hash", line)

    def test_missing_file(self) -> None:
        errors = load_entry_settings(Path("/nonexistent/x.toml")).failure()
        self.assertIn("/nonexistent/x.toml: the file: cannot be read: No such", str(errors))

    def test_invalid_toml(self) -> None:
        errors = parse_standin_settings("[vm\nid = 3", FILE).failure()
        self.assertIn("/etc/entry.toml: the file: expected TOML: ", str(errors))
        self.assertEqual(1, len(str(errors).splitlines()))


JSON_LIKE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=10), inner, max_size=3),
    max_leaves=6,
)


class ArbitrarySettingsTest(testtools.TestCase):
    """Parsing arbitrary text returns settings or printable error lines and never raises."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(text=st.text(max_size=200))
    def test_any_text(self, text: str) -> None:
        self.check(text)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        table=st.sampled_from(sorted(minimal_settings()) + ["limits", "tls", "logging"]),
        key=st.sampled_from(["id", "seeds", "callers", "key_hashes", "level", "max_body_bytes"])
        | st.text(max_size=8),
        value=JSON_LIKE,
    )
    def test_any_value(self, table: str, key: str, value: Any) -> None:
        changed = minimal_settings()
        changed.setdefault(table, {})[key] = value
        try:
            text = tomli_w.dumps(changed)
        except (TypeError, ValueError):
            return
        self.check(text)

    def check(self, text: str) -> None:
        match parse_entry_settings(text, FILE):
            case Success(_):
                pass
            case Failure(SettingsErrors(problems)):
                self.assertNotEqual((), problems)
                for problem in problems:
                    self.assertEqual(1, len(str(problem).splitlines()), str(problem))
                    self.assertTrue(str(problem).isprintable(), repr(str(problem)))
