"""Every command of the documents is run, and every link leads somewhere."""

import re
from collections.abc import Mapping

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
from camphordrift.tests.fleet_client import own_plan, with_fleet

#: The network of ``camphordrift demo``, in place of which each test uses one of its own.
DEMO_NETWORK = "127.0.30."

#: What the documents show and no test runs, since it never ends, or is the test run itself.
BY_HAND = frozenset(
    {
        "make demo",
        "make test",
        ". .venv/bin/activate",
        "camphordrift standins --settings examples/kowalczyk/standins.toml",
        "camphordrift entry --settings examples/kowalczyk/oliwa-1.toml",
        "camphordrift entry --settings examples/kowalczyk/orlowo-1.toml",
        "camphordrift entry --settings examples/kowalczyk/brzezno-1.toml",
    }
)


def commands_that_need(needs: str) -> dict[str, list[Command]]:
    """Returns the commands by document."""
    by_document = {path.name: commands_of(path) for path in document_paths()}
    chosen = {
        name: [command for command in commands if command.needs == needs]
        for name, commands in by_document.items()
    }
    return {name: commands for name, commands in chosen.items() if commands}


async def run_commands(commands: list[Command], replace: Mapping[str, str]) -> None:
    """Runs the commands of one document in one session."""
    console = Console(replace)
    for command in commands:
        await console.check(command)


class CommandsTest(testtools.TestCase):
    def test_every_block_says_what_it_needs(self) -> None:
        for path in document_paths():
            for command in commands_of(path):
                self.assertIn(command.needs, ("", "demo", "by-hand"), command.document)

    def test_commands_by_hand_are_listed(self) -> None:
        shown = {c.text for commands in commands_that_need("by-hand").values() for c in commands}
        self.assertEqual(BY_HAND, shown)

    def test_commands_that_need_nothing(self) -> None:
        for commands in commands_that_need("").values():
            trio.run(run_commands, commands, {})

    def test_commands_that_need_the_demo(self) -> None:
        for commands in commands_that_need("demo").values():

            async def test(
                fleet: DemoFleet,
                connections: HttpConnections,
                commands: list[Command] = commands,
            ) -> None:
                host = fleet.plan.entries[0].listen.callers.host
                network = host.rpartition(".")[0] + "."
                await run_commands(commands, {DEMO_NETWORK: network})

            with_fleet(test, own_plan(vm_count=3))


class LinksTest(testtools.TestCase):
    def test_relative_links_lead_to_files(self) -> None:
        for path in document_paths():
            for target in re.findall(r"\]\(([^)#\s]+)[^)]*\)", path.read_text(encoding="utf-8")):
                if "://" not in target:
                    self.assertTrue((path.parent / target).exists(), f"{path}: {target}")

    def test_files_named_in_the_documents_exist(self) -> None:
        for path in document_paths():
            text = path.read_text(encoding="utf-8")
            for name in re.findall(r"`((?:docs|examples|camphordrift)/[\w./-]+\.\w+)`", text):
                self.assertTrue((ROOT / name).exists(), f"{path}: {name}")
