"""The command line and the processes that it starts."""

from camphordrift.daemons._command_line import main

__all__ = ["main"]
