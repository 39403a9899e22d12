"""Tests that commands in the documents work and that links and names refer to existing things."""

import re
from collections.abc import Mapping
from typing import Any

import testtools
import trio

from camphordrift.backend_http import HttpConnections
from camphordrift.demo import DemoFleet
from camphordrift.documents.tests.console import (
    ROOT,
    Command,
    Console,
    commands_of,
    document_paths,
)
from camphordrift.results import ResultCode
from camphordrift.telemetry import Metrics
from camphordrift.tests.fleet_client import isolated_plan, run_with_fleet

#: The network of ``camphordrift demo``, replaced by another network in each test.
DEMO_NETWORK = "127.0.30."

#: Commands in the documents that no test runs: they do not end, or they start the tests.
UNTESTED_COMMANDS = frozenset(
    {
        "make demo",
        "make test",
        "make processes",
        "python -m camphordrift.platform.soak --first 1 --seeds 50",
        "python -m camphordrift.platform.soak --first 1 --seeds 10"
        " --kinds store_restore server_replace vm_kill",
        "python -m camphordrift.platform.soak --first 1 --seeds 6 --former ../former",
        ". .venv/bin/activate",
        "camphordrift standins --settings examples/kowalczyk/standins.toml",
        "camphordrift entry --settings examples/kowalczyk/oliwa-1.toml",
        "camphordrift entry --settings examples/kowalczyk/orlowo-1.toml",
        "camphordrift entry --settings examples/kowalczyk/brzezno-1.toml",
    }
)


def commands_requiring(needs: str) -> dict[str, list[Command]]:
    """Returns the commands with the requirement ``needs``, by document."""
    by_document = {path.name: commands_of(path) for path in document_paths()}
    chosen = {
        name: [command for command in commands if command.needs == needs]
        for name, commands in by_document.items()
    }
    return {name: commands for name, commands in chosen.items() if commands}


async def run_commands(commands: list[Command], replace: Mapping[str, str]) -> None:
    """Runs the commands of one document in one console session."""
    console = Console(replace)
    for command in commands:
        await console.check(command)


class CommandsTest(testtools.TestCase):
    def test_requirements_of_all_blocks_are_valid(self) -> None:
        for path in document_paths():
            for command in commands_of(path):
                self.assertIn(command.needs, ("", "demo", "by-hand"), command.document)

    def test_untested_commands_are_listed(self) -> None:
        shown = {c.text for commands in commands_requiring("by-hand").values() for c in commands}
        self.assertEqual(UNTESTED_COMMANDS, shown)

    def test_commands_without_requirements(self) -> None:
        for commands in commands_requiring("").values():
            trio.run(run_commands, commands, {})

    def test_commands_that_need_the_demo(self) -> None:
        for commands in commands_requiring("demo").values():

            async def test(
                fleet: DemoFleet,
                connections: HttpConnections,
                commands: list[Command] = commands,
            ) -> None:
                host = fleet.plan.entries[0].listen.callers.host
                network = host.rpartition(".")[0] + "."
                await run_commands(commands, {DEMO_NETWORK: network})

            run_with_fleet(test, isolated_plan(vm_count=3))


class LinksTest(testtools.TestCase):
    def test_targets_of_relative_links_exist(self) -> None:
        for path in document_paths():
            for target in re.findall(r"\]\(([^)#\s]+)[^)]*\)", path.read_text(encoding="utf-8")):
                if "://" not in target:
                    self.assertTrue((path.parent / target).exists(), f"{path}: {target}")

    def test_files_named_in_the_documents_exist(self) -> None:
        for path in document_paths():
            text = path.read_text(encoding="utf-8")
            for name in re.findall(r"`((?:docs|examples|camphordrift)/[\w./-]+\.\w+)`", text):
                self.assertTrue((ROOT / name).exists(), f"{path}: {name}")


class OperatorsGuideTest(testtools.TestCase):
    """Metrics, codes, dump paths and events named in the operators' guide exist."""

    text = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")

    def test_metrics_exist(self) -> None:
        metrics = Metrics("documents")
        self.addCleanup(metrics.close)
        known = {f"camphordrift_{item.name}" for item in metrics.descriptions}
        named = set(re.findall(r"camphordrift_[a-z_]+", self.text))
        stripped = {re.sub(r"_(total|bucket|sum|count)$", "", name) for name in named}
        self.assertEqual(set(), stripped - known)

    def test_codes_in_alarms_exist(self) -> None:
        codes = {code.name.lower() for code in ResultCode}
        for selected in re.findall(r'code=~?"([a-z_|]+)"', self.text):
            self.assertEqual(set(), set(selected.split("|")) - codes)

    def test_paths_in_the_dump_exist(self) -> None:
        paths = set(re.findall(r"`dump:([\w.*]+)`", self.text))
        self.assertTrue(paths)

        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            dump = fleet.entries[0].dump.collect()
            missing = {path for path in paths if not has_path(dump, path.split("."))}
            self.assertEqual(set(), missing)

        run_with_fleet(test)

    def test_events_exist(self) -> None:
        sources = "".join(
            path.read_text(encoding="utf-8")
            for path in (ROOT / "camphordrift").rglob("*.py")
            if "tests" not in path.parts
        )
        for event in re.findall(r"event=(\w+)", self.text):
            self.assertTrue(f'"{event}"' in sources, event)


class PromisesTest(testtools.TestCase):
    def test_named_tests_exist(self) -> None:
        text = (ROOT / "docs" / "promises.md").read_text(encoding="utf-8")
        named = re.findall(r"`([\w/]+\.py)::(test_\w+)`", text)
        self.assertTrue(named)
        for file, test in named:
            source = (ROOT / "camphordrift" / file).read_text(encoding="utf-8")
            self.assertTrue(f"def {test}(" in source, f"{file}::{test}")


def has_path(value: Any, steps: list[str]) -> bool:
    """Returns whether a dump contains a path; a step ``*`` matches any key."""
    if not steps:
        return True
    if not isinstance(value, dict):
        return False
    inner = value.values() if steps[0] == "*" else [value[steps[0]]] if steps[0] in value else []
    return any(has_path(item, steps[1:]) for item in inner)
