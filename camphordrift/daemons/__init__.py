"""The command line and the processes that it starts."""

from camphordrift.daemons._command_line import command_line, main

__all__ = ["command_line", "main"]
