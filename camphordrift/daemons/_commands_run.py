"""Commands that run long-lived processes."""

from collections.abc import Callable
from pathlib import Path
from typing import Optional

import cyclopts

from camphordrift.daemons._exit_codes import CommandError, ExitCode


def entry(*, settings: Path) -> ExitCode:
    """Run an entry VM until SIGTERM or SIGINT, which start a graceful shutdown.

    SIGUSR1 writes the state dump to standard error, where the log is written, too.

    Parameters
    ----------
    settings:
        TOML file with the settings of the VM; see docs/reference/settings.md.

    """
    # Imported here and in the functions below to keep the startup of `--help` fast.
    from camphordrift.daemons._processes import run_entry
    from camphordrift.daemons._settings_files import (
        entry_settings_from_file,
        fleet_keys_from_settings,
    )

    loaded = entry_settings_from_file(settings)
    keys = fleet_keys_from_settings(loaded)
    return _run(lambda: run_entry(loaded, keys))


def standins(*, settings: Path) -> ExitCode:
    """Run stand-ins that simulate the platform and the backend servers, until SIGTERM or SIGINT.

    Parameters
    ----------
    settings:
        TOML file with the settings of the stand-ins; see docs/reference/settings.md.

    """
    from camphordrift.daemons._processes import run_standins
    from camphordrift.daemons._settings_files import standin_settings_from_file

    loaded = standin_settings_from_file(settings)
    return _run(lambda: run_standins(loaded))


def demo() -> ExitCode:
    """Run a fleet in one process on loopback: entry VMs, and stand-ins for everything else."""
    from camphordrift.daemons._processes import run_demo

    return _run(run_demo)


def add_run_commands(app: cyclopts.App) -> None:
    """Registers the commands of this module."""
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
    """Returns the first ``OSError``, or ``None`` if the group contains any other error."""
    if isinstance(error, OSError):
        return error
    if not isinstance(error, BaseExceptionGroup):
        return None
    causes = [_first_os_error(inner) for inner in error.exceptions]
    return None if None in causes else causes[0]
