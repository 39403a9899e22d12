"""Tests of showing and publishing the configuration, over an in-memory log service."""

import time
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Any

import testtools
import trio

from camphordrift.configuration import ConfigurationKeeper, KeeperSettings
from camphordrift.identifiers import VmId
from camphordrift.operations import ConfigurationOperations, Refusal
from camphordrift.platform_log import LogWriter, WriterSettings
from camphordrift.results import ResultCode
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.telemetry import to_json_types
from camphordrift.testing import run_in_virtual_time

TIMEOUTS = {"default_timeout_seconds": 30.0, "maximum_timeout_seconds": 120.0}


def record(replaces: int = 0, maximum_timeout: float = 120.0) -> dict[str, Any]:
    """Returns a record without a schema version that changes one service."""
    value = {"type": "model", **TIMEOUTS, "maximum_timeout_seconds": maximum_timeout}
    change = {"kind": "service", "key": "assistant", "replaces": replaces, "value": value}
    return {"author": "ala", "note": "spring", "changes": [change]}


def run_with_operations(
    check: Callable[[ConfigurationOperations], Awaitable[None]],
    schema_versions: Mapping[str, int],
) -> None:
    """Runs ``check`` with a keeper whose peers read the given schema versions."""

    async def main() -> None:
        log = InMemoryLogService(trio.current_time, LogLimits())
        writer = LogWriter(log, "oliwa-1", WriterSettings(), trio.current_time, Random(1))
        live = {VmId(name): version for name, version in schema_versions.items()}
        keeper = ConfigurationKeeper(
            log, writer, KeeperSettings(), trio.current_time, time.time, Random(2), lambda: live
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            nursery.start_soon(keeper.run)
            await check(ConfigurationOperations(keeper, lambda: live))
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


class ConfigurationOperationsTest(testtools.TestCase):
    def run_check(
        self, check: Callable[[ConfigurationOperations], Awaitable[None]], **versions: int
    ) -> None:
        run_with_operations(check, versions)

    def assert_refused(self, code: ResultCode, refused: Any) -> Any:
        refusal = refused.failure()
        assert isinstance(refusal, Refusal)
        self.assertIs(code, refusal.failure.code)
        return to_json_types(refusal.details)

    def test_published_record_is_shown(self) -> None:
        async def check(operations: ConfigurationOperations) -> None:
            published = await operations.publish(record(), dry_run=False)
            self.assertEqual({"version": 1, "offset": 0, "dry_run": False}, published.unwrap())
            shown = to_json_types(operations.show("service").unwrap())
            self.assertEqual(1, shown["version"])
            entry = shown["entries"][0]
            self.assertEqual(("service", "assistant", 1), tuple(entry.values())[:3])
            self.assertEqual(record()["changes"][0]["value"], entry["value"])
            history = to_json_types(operations.history(5).unwrap())
            self.assertEqual(["service assistant"], history["records"][0]["changes"])

        self.run_check(check)

    def test_dry_run_changes_nothing(self) -> None:
        async def check(operations: ConfigurationOperations) -> None:
            published = (await operations.publish(record(), dry_run=True)).unwrap()
            self.assertEqual({"version": 1, "offset": None, "dry_run": True}, published)
            self.assertEqual([], to_json_types(operations.show(None).unwrap())["entries"])

        self.run_check(check)

    def test_version_conflict_lists_the_differing_fields(self) -> None:
        async def check(operations: ConfigurationOperations) -> None:
            await operations.publish(record(), dry_run=False)
            await operations.publish(record(replaces=1, maximum_timeout=90.0), dry_run=False)
            refused = await operations.publish(
                record(replaces=1, maximum_timeout=60.0), dry_run=False
            )
            details = self.assert_refused(ResultCode.RECORD_VERSION_CONFLICT, refused)
            conflict = details["conflicts"][0]
            self.assertEqual(("assistant", 1, 2), tuple(conflict.values())[1:4])
            expected = {"field": "maximum_timeout_seconds", "in_force": 90.0, "wanted": 60.0}
            self.assertEqual([expected], conflict["differences"])

        self.run_check(check)

    def test_diff_lists_the_fields_that_a_record_changes(self) -> None:
        async def check(operations: ConfigurationOperations) -> None:
            await operations.publish(record(), dry_run=False)
            found = to_json_types(
                operations.diff(record(replaces=1, maximum_timeout=60.0)).unwrap()
            )
            self.assertEqual(["maximum_timeout_seconds"], [f["field"] for f in found[0]["fields"]])

        self.run_check(check)

    def test_record_without_schema_version_uses_one_that_all_vms_read(self) -> None:
        async def check(operations: ConfigurationOperations) -> None:
            self.assertTrue((await operations.publish(record(), dry_run=True)).unwrap())
            newer = {**record(), "schema_version": 2}
            refused = await operations.publish(newer, dry_run=True)
            self.assert_refused(ResultCode.RECORD_SCHEMA_TOO_NEW, refused)

        self.run_check(check, old=1, new=2)

    def test_malformed_input(self) -> None:
        async def check(operations: ConfigurationOperations) -> None:
            self.assert_refused(ResultCode.MALFORMED_REQUEST, operations.show("nothing"))
            self.assert_refused(ResultCode.RECORD_MALFORMED, operations.diff({"author": "ala"}))
            refused = await operations.publish({"changes": 3}, dry_run=False)
            self.assert_refused(ResultCode.RECORD_MALFORMED, refused)

        self.run_check(check)
