"""The command-line application: registers all commands and maps errors to exit codes."""

import sys
from collections.abc import Sequence
from typing import Optional

import cyclopts

import camphordrift
from camphordrift.daemons._commands_local import add_local_commands
from camphordrift.daemons._commands_measure import add_measure_commands
from camphordrift.daemons._commands_operator import add_operator_commands
from camphordrift.daemons._commands_run import add_run_commands
from camphordrift.daemons._exit_codes import EXIT_CODES_HELP, CommandError, ExitCode


def command_line() -> cyclopts.App:
    """Returns the application with all commands registered."""
    app = cyclopts.App(
        name="camphordrift",
        version=camphordrift.__version__,
        help="A serving layer for prompts of widely differing lengths.",
        help_epilogue=EXIT_CODES_HELP,
    )
    add_run_commands(app)
    add_operator_commands(app)
    add_local_commands(app)
    add_measure_commands(app)
    return app


def run_command(tokens: Optional[Sequence[str]] = None) -> ExitCode:
    """Runs one command and returns its exit code; errors are printed to standard error."""
    app = command_line()
    try:
        code = app(tokens, exit_on_error=False, print_error=False, result_action="return_value")
    except cyclopts.CycloptsError as error:
        _print_error(f"{_join_lines(str(error))} Try --help.")
        return ExitCode.BAD_INPUT
    except CommandError as error:
        for line in str(error).splitlines():
            _print_error(line)
        return error.exit_code
    return ExitCode.DONE if code is None else ExitCode(code)


def main() -> None:
    """Runs the command in ``sys.argv`` and exits the process with its exit code."""
    sys.exit(run_command())


def _join_lines(text: str) -> str:
    return " ".join(text.split())


def _print_error(line: str) -> None:
    printable = "".join(character if character.isprintable() else "?" for character in line)
    print(f"camphordrift: {printable}", file=sys.stderr)
