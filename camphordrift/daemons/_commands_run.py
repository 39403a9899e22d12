"""Commands that run long-lived processes."""

from collections.abc import Callable
from pathlib import Path
from typing import Optional

import cyclopts

from camphordrift.daemons._exit_codes import CommandError, ExitCode


def entry(*, settings: Path) -> ExitCode:
    """Run an entry VM's process until SIGTERM or SIGINT, which start a graceful shutdown.

    SIGUSR1 writes the state dump to standard error, where the log goes as well.

    Parameters
    ----------
    settings:
        The TOML file with its settings; see docs/reference/settings.md.

    """
    # Imported here, as below, so that the help of all commands is quick.
    from camphordrift.daemons._processes import run_entry
    from camphordrift.daemons._settings_files import entry_settings_of, fleet_keys_of

    loaded = entry_settings_of(settings)
    keys = fleet_keys_of(loaded)
    return _run(lambda: run_entry(loaded, keys))


def standins(*, settings: Path) -> ExitCode:
    """Run stand-ins for the platform and the backend servers, until SIGTERM or SIGINT.

    Parameters
    ----------
    settings:
        The TOML file with their settings; see docs/reference/settings.md.

    """
    from camphordrift.daemons._processes import run_standins
    from camphordrift.daemons._settings_files import standin_settings_of

    loaded = standin_settings_of(settings)
    return _run(lambda: run_standins(loaded))


def demo() -> ExitCode:
    """Run a whole fleet on loopback in one process: entry VMs, and stand-ins for all else."""
    from camphordrift.daemons._processes import run_demo

    return _run(run_demo)


def add_run_commands(app: cyclopts.App) -> None:
    """Adds the commands of this module."""
    group = cyclopts.Group("Running processes", sort_key=1)
    for command in (demo, entry, standins):
        app.command(command, group=group)


def _run(process: Callable[[], int]) -> ExitCode:
    try:
        return ExitCode(process())
    except (OSError, BaseExceptionGroup) as error:
        cause = _first_os_error(error)
        if cause is None:
            raise
        raise CommandError(ExitCode.FAILED, f"cannot start: {cause}") from error


def _first_os_error(error: BaseException) -> Optional[OSError]:
    """Returns the operating system's error if there is nothing but such errors."""
    if isinstance(error, OSError):
        return error
    if not isinstance(error, BaseExceptionGroup):
        return None
    causes = [_first_os_error(inner) for inner in error.exceptions]
    return None if None in causes else causes[0]
