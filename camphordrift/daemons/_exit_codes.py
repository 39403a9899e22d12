"""Exit codes of the command line, and the error that carries one."""

from enum import IntEnum

from camphordrift.results import RunState


class ExitCode(IntEnum):
    """Exit codes of every command; shown by ``camphordrift --help``."""

    #: The command succeeded.
    DONE = 0

    #: The command failed: a bug, a backend failure, a timeout or a failed check.
    FAILED = 1

    #: The command line, a settings file or a record is invalid; nothing was done.
    BAD_INPUT = 2

    #: The VM or the log refused the request; nothing was changed.
    REFUSED = 3

    #: The VM could not be reached or did not respond; nothing was changed.
    UNREACHABLE = 4

    #: It is unknown whether the change took effect: check before retrying.
    OUTCOME_UNKNOWN = 5


#: The exit codes in one line, for the help text.
EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 failure; 2 invalid input, nothing done; 3 refused, nothing changed; "
    "4 VM unreachable, nothing changed; 5 outcome unknown, check before retrying."
)


class CommandError(Exception):
    """Ends a command with error lines on standard error and an exit code."""

    def __init__(self, exit_code: ExitCode, detail: str) -> None:
        super().__init__(detail)
        self.exit_code = exit_code


def exit_code_for(run_state: RunState) -> ExitCode:
    """Returns the exit code for the run state in a VM's error response."""
    match run_state:
        case RunState.NOT_RUN:
            return ExitCode.REFUSED
        case RunState.FAILED:
            return ExitCode.FAILED
        case RunState.OUTCOME_UNKNOWN:
            return ExitCode.OUTCOME_UNKNOWN
