"""Parses the console blocks of the documentation and runs their commands.

A block is fenced by ``console``, optionally followed by its requirement: ``demo`` for a running
demo fleet, or ``by-hand`` for commands that no test runs. A line that begins with ``$`` is a
command; the lines up to the next command are its expected output, in which ``...`` matches any text
and white space is ignored.

``curl`` is emulated, so that results do not depend on an installed program.
"""

import argparse
import os
import re
import shlex
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Optional

import httpcore
import trio

ROOT = Path(__file__).parents[3]

_FENCE = re.compile(
    r"^```console *(?P<needs>[a-z-]*)\n(?P<body>.*?)^```$", re.MULTILINE | re.DOTALL
)
_ASSIGNMENT = re.compile(r"([A-Z_]+)=(.*)", re.DOTALL)
_SUBSTITUTION = re.compile(r"\$\((.*)\)")


@dataclass(frozen=True)
class Command:
    """One command in a document, with its expected output."""

    #: Path of the document, relative to the root of the repository.
    document: str

    #: Requirement of the block: empty, ``demo`` or ``by-hand``.
    needs: str

    #: The command line, with joined continuation lines.
    text: str

    #: The expected output; empty if any output is accepted.
    output: str


def document_paths() -> list[Path]:
    """Returns the paths of README.md and all documents."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def commands_of(path: Path) -> list[Command]:
    """Returns the commands of one document, in the order in which they appear."""
    name = path.relative_to(ROOT).as_posix()
    found = []
    for fence in _FENCE.finditer(path.read_text(encoding="utf-8")):
        for part in re.split(r"^\$ ", fence["body"], flags=re.MULTILINE)[1:]:
            joined = part.replace("\\\n", " ")
            text, _, output = joined.partition("\n")
            found.append(Command(name, fence["needs"], text.strip(), output.strip()))
    return found


class Console:
    """Runs the commands of one document in sequence, with the variables of one shell session."""

    def __init__(self, replace: Mapping[str, str]) -> None:
        self._replace = replace
        self._variables = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("CAMPHORDRIFT_")
        }

    async def check(self, command: Command) -> None:
        """Runs a command and raises ``AssertionError`` if its output differs from the document."""
        printed = await self._run(self._replace_all(command.text))
        expected = self._replace_all(command.output)
        if expected and not _output_pattern(expected).fullmatch(_normalize_space(printed)):
            raise AssertionError(
                f"{command.document}: {command.text}\nprinted:\n{printed}\nexpected:\n{expected}"
            )

    def _replace_all(self, text: str) -> str:
        for old, new in self._replace.items():
            text = text.replace(old, new)
        return text

    async def _run(self, text: str) -> str:
        words = shlex.split(text)
        if words[0] == "export":
            words = words[1:]
        if all(_ASSIGNMENT.fullmatch(word) for word in words):
            for word in words:
                await self._assign(word)
            return ""
        expanded = [self._expand(word) for word in shlex.split(text)]
        return await self._programs()[expanded[0]](expanded[1:])

    async def _assign(self, word: str) -> None:
        name, _, value = word.partition("=")
        inner = _SUBSTITUTION.fullmatch(value)
        if inner is not None:
            self._variables[name] = (await self._run(inner[1])).strip()
        else:
            self._variables[name] = self._expand(value)

    def _expand(self, word: str) -> str:
        return re.sub(r"\$([A-Z_]+)", lambda match: self._variables[match[1]], word)

    def _programs(self) -> Mapping[str, Callable[[list[str]], Awaitable[str]]]:
        return {"camphordrift": self._camphordrift, "python": self._python, "curl": _curl}

    async def _camphordrift(self, arguments: list[str]) -> str:
        return await self._python(["-m", "camphordrift", *arguments])

    async def _python(self, arguments: list[str]) -> str:
        done = await trio.run_process(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=self._variables,
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        return (done.stdout + done.stderr).decode()


async def _curl(arguments: list[str]) -> str:
    """Emulates ``curl -s`` with the options that are used in the documents."""
    parser = argparse.ArgumentParser(prog="curl", allow_abbrev=False)
    parser.add_argument("-s", action="store_true")
    parser.add_argument("-N", action="store_true")
    parser.add_argument("-i", action="store_true")
    parser.add_argument("-f", action="store_true")
    parser.add_argument("--retry", type=int, default=0)
    parser.add_argument("--retry-delay", type=float, default=1.0)
    parser.add_argument("--retry-all-errors", action="store_true")
    parser.add_argument("-X", default=None)
    parser.add_argument("-H", action="append", default=[])
    parser.add_argument("-d", default=None)
    parser.add_argument("url")
    options = parser.parse_args(arguments)
    headers = [tuple(header.split(": ", 1)) for header in options.H]
    content: Optional[bytes] = None if options.d is None else options.d.encode()
    method = options.X or ("GET" if content is None else "POST")
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(method, options.url, headers=headers, content=content)
        for _ in range(options.retry):
            if response.status < 400:
                break
            await trio.sleep(options.retry_delay)
            response = await pool.request(method, options.url, headers=headers, content=content)
    head = f"HTTP/1.1 {response.status}\n" if options.i else ""
    body = "" if options.f and response.status >= 400 else response.content.decode()
    return head + body


def _output_pattern(expected: str) -> re.Pattern[str]:
    parts = [re.escape(part.strip()) for part in _normalize_space(expected).split("...")]
    return re.compile(".*".join(parts), re.DOTALL)


def _normalize_space(text: str) -> str:
    """Replaces each run of white space by one space, since the documents wrap lines."""
    return " ".join(text.split())
