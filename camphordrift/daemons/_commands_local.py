"""Commands that contact no VM: keys, settings and record files, result codes and log files."""

from pathlib import Path
from typing import Literal, Optional

import cyclopts

from camphordrift.daemons._exit_codes import CommandError, ExitCode
from camphordrift.results import CodeMeaning, ResultCode, code_table, meaning_of


def keygen(kind: Literal["account", "operator", "fleet"], /) -> ExitCode:
    """Generate a random key and print it with its hash.

    Give the key of a client account to its callers and put its hash into a configuration record.
    Give the key of an operator to the operator and put its hash into the settings. Put the key of
    a fleet into the key file of every VM. The key is not stored anywhere and cannot be printed
    again.

    Parameters
    ----------
    kind:
        Kind of the key's owner.

    """
    # Imported here and in the functions below to keep the startup of `--help` fast.
    from camphordrift.security import KeyKind, generate_key, hash_key

    key = generate_key(KeyKind(kind))
    print(f"key  {key}")
    print(f"hash {hash_key(key)}")
    return ExitCode.DONE


def idempotency_key() -> ExitCode:
    """Generate an idempotency key, a version 7 UUID, for a call that must run at most once.

    The key contains its creation time. Send every retry of the call with the same key.
    """
    import uuid6

    print(uuid6.uuid7())
    return ExitCode.DONE


def check_settings(*files: Path, standins: bool = False) -> ExitCode:
    """Validate settings files without starting a process.

    Parameters
    ----------
    files:
        The settings files.
    standins:
        Validate the files as settings of stand-ins instead of entry VMs.

    """
    from camphordrift.daemons._settings_files import problems_by_file

    if not files:
        raise CommandError(ExitCode.BAD_INPUT, "no settings file given")
    problems = problems_by_file(files, standins)
    for file in files:
        if file not in problems:
            print(f"{file}: good")
    if problems:
        raise CommandError(ExitCode.BAD_INPUT, "\n".join(problems.values()))
    return ExitCode.DONE


def validate(*records: Path) -> ExitCode:
    """Validate the format of configuration records without contacting a VM.

    To validate a record against the configuration in force, use `camphordrift publish --dry-run`.

    Parameters
    ----------
    records:
        The record files, .toml or .json.

    """
    from camphordrift.daemons._record_files import find_record_problem

    if not records:
        raise CommandError(ExitCode.BAD_INPUT, "no record file given")
    problems = {file: find_record_problem(file) for file in records}
    for file in records:
        if problems[file] is None:
            print(f"{file}: good")
    lines = [f"{file}: {problem}" for file, problem in problems.items() if problem is not None]
    if lines:
        raise CommandError(ExitCode.BAD_INPUT, "\n".join(lines))
    return ExitCode.DONE


def codes(code: Optional[int] = None, /) -> ExitCode:
    """Print the table of result codes, or the entry of one code.

    Parameters
    ----------
    code:
        The code whose entry is printed.

    """
    if code is None:
        for row in code_table():
            print(_format_code(row))
        return ExitCode.DONE
    if code not in ResultCode.__members__.values():
        raise CommandError(ExitCode.BAD_INPUT, f"unknown result code {code}")
    print(_format_code(meaning_of(ResultCode(code))))
    return ExitCode.DONE


def explain(request: str, /, *files: Path) -> ExitCode:
    """Print several VMs' log lines on one request, and mark the line that decided its outcome.

    Parameters
    ----------
    request:
        The request id, as sent by the caller.
    files:
        Log files; text before the timestamp of a line is ignored.

    """
    from camphordrift.event_log import explain_request

    if not files:
        raise CommandError(ExitCode.BAD_INPUT, "no log file given")
    log_lines: list[str] = []
    for file in files:
        try:
            log_lines += file.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise CommandError(ExitCode.BAD_INPUT, f"{file}: {error.strerror}") from error
    explanation = explain_request(request, log_lines)
    if explanation.deciding is None:
        raise CommandError(ExitCode.BAD_INPUT, f"no log line contains the request id {request}")
    lines = sorted((*explanation.lines, *explanation.background), key=lambda line: line.time)
    for line in lines:
        marker = ">" if line is explanation.deciding else " " if line in explanation.lines else "."
        print(f"{marker} {line.text}")
    return ExitCode.DONE


def add_local_commands(app: cyclopts.App) -> None:
    """Registers the commands of this module."""
    group = cyclopts.Group("Without a VM", sort_key=3)
    settings = cyclopts.App(name="settings", help="Work with settings files.", group=group)
    settings.command(check_settings, name="check")
    app.command(settings)
    app.command(validate, group=group)
    app.command(keygen, group=group)
    app.command(idempotency_key, group=group)
    app.command(codes, group=group)
    app.command(explain, group=group)


def _format_code(row: CodeMeaning) -> str:
    return (
        f"{int(row.code):4} {row.code.name:28} HTTP {row.http_status} "
        f"{row.run_state.value:15} {row.summary}"
    )
