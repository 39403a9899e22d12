"""The ``camphordrift`` command line and the processes that it starts."""

from camphordrift.daemons._command_line import command_line, main
from camphordrift.daemons._exit_codes import EXIT_CODES_HELP

__all__ = ["EXIT_CODES_HELP", "command_line", "main"]
