"""The sections of the command-line reference page."""

import inspect
from collections.abc import Iterator

import cyclopts

from camphordrift.documents._tables import table


def command_sections(app: cyclopts.App) -> str:
    """Returns a Markdown section for each command, in the order of registration."""
    return "\n\n".join(_section(name, command) for name, command in _commands(app, ""))


def _commands(app: cyclopts.App, prefix: str) -> Iterator[tuple[str, cyclopts.App]]:
    for name in app:
        if name.startswith("-"):
            continue
        command = app[name]
        if command.default_command is not None:
            yield f"{prefix}{name}", command
        yield from _commands(command, f"{prefix}{name} ")


def _section(name: str, command: cyclopts.App) -> str:
    parts = [f"## camphordrift {name}", _description(command)]
    rows = [
        (" ".join(f"`{option}`" for option in argument.names), argument.parameter.help or "",
         "yes" if argument.required else "no")
        for argument in command.assemble_argument_collection(parse_docstring=True)
        if not any(option.startswith("*") for option in argument.names)
    ]  # fmt: skip
    if rows:
        parts.append(table(["Option", "Description", "Required"], rows))
    return "\n\n".join(part.strip() for part in parts)


def _description(command: cyclopts.App) -> str:
    text = inspect.cleandoc(command.help or "")
    return text.partition("\nParameters\n")[0].strip()
