"""Commands that need no process running: keys, settings and result codes."""

from pathlib import Path
from typing import Literal, Optional

import cyclopts

from camphordrift.daemons._exit_codes import CommandError, ExitCode
from camphordrift.results import CodeMeaning, ResultCode, code_table, meaning_of


def keygen(kind: Literal["account", "operator", "fleet"], /) -> ExitCode:
    """Make a new random key, and print it with its hash.

    The key of a client account goes to its callers and the hash into a configuration record; the
    key of an operator goes to the operator and the hash into settings; the key of a fleet goes into
    the key file of every VM. Nothing is kept: print it once, store it safely.

    Parameters
    ----------
    kind:
        Whom the key is for.

    """
    # Imported here, as below, so that the help of all commands is quick.
    from camphordrift.security import KeyKind, generate_key, hash_key

    key = generate_key(KeyKind(kind))
    print(f"key  {key}")
    print(f"hash {hash_key(key)}")
    return ExitCode.DONE


def idempotency_key() -> ExitCode:
    """Make a new idempotency key for a call that may not be repeated: a UUID of version 7.

    The key carries its own time. A repetition of the call is sent under the same key.
    """
    import uuid6

    print(uuid6.uuid7())
    return ExitCode.DONE


def check_settings(*files: Path, standins: bool = False) -> ExitCode:
    """Check settings files without starting anything.

    Parameters
    ----------
    files:
        The settings files.
    standins:
        They are settings of stand-ins, not of entry VMs.

    """
    from camphordrift.daemons._settings_files import problems_of_files

    if not files:
        raise CommandError(ExitCode.BAD_INPUT, "no settings file is named")
    problems = problems_of_files(files, standins)
    for file in files:
        if file not in problems:
            print(f"{file}: good")
    if problems:
        raise CommandError(ExitCode.BAD_INPUT, "\n".join(problems.values()))
    return ExitCode.DONE


def validate(*records: Path) -> ExitCode:
    """Check configuration records as far as that goes without a VM.

    Whether a record fits the configuration in force is told by `camphordrift publish --dry-run`.

    Parameters
    ----------
    records:
        The records, .toml or .json files.

    """
    from camphordrift.daemons._record_files import problem_of_record

    if not records:
        raise CommandError(ExitCode.BAD_INPUT, "no record is named")
    problems = {file: problem_of_record(file) for file in records}
    for file in records:
        if problems[file] is None:
            print(f"{file}: good")
    lines = [f"{file}: {problem}" for file, problem in problems.items() if problem is not None]
    if lines:
        raise CommandError(ExitCode.BAD_INPUT, "\n".join(lines))
    return ExitCode.DONE


def codes(code: Optional[int] = None, /) -> ExitCode:
    """Print the table of result codes, or explain one.

    Parameters
    ----------
    code:
        The code to explain.

    """
    if code is None:
        for row in code_table():
            print(_code_line(row))
        return ExitCode.DONE
    if code not in ResultCode.__members__.values():
        raise CommandError(ExitCode.BAD_INPUT, f"there is no result code {code}")
    print(_code_line(meaning_of(ResultCode(code))))
    return ExitCode.DONE


def explain(request: str, /, *files: Path) -> ExitCode:
    """Show what the logs of several VMs say about one request, and which line decided its end.

    Parameters
    ----------
    request:
        The id of the request, as the caller sent it.
    files:
        Files with log lines; what stands before the time in a line is ignored.

    """
    from camphordrift.event_log import explain_request

    if not files:
        raise CommandError(ExitCode.BAD_INPUT, "no log file is named")
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise CommandError(ExitCode.BAD_INPUT, f"{file}: {error.strerror}") from error
    found = explain_request(request, texts)
    if found.deciding is None:
        raise CommandError(ExitCode.BAD_INPUT, f"no line names the request {request}")
    lines = sorted((*found.lines, *found.background), key=lambda line: line.time)
    for line in lines:
        mark = ">" if line is found.deciding else " " if line in found.lines else "."
        print(f"{mark} {line.text}")
    return ExitCode.DONE


def add_local_commands(app: cyclopts.App) -> None:
    """Adds the commands of this module."""
    group = cyclopts.Group("Without a VM", sort_key=3)
    settings = cyclopts.App(name="settings", help="Work with settings files.", group=group)
    settings.command(check_settings, name="check")
    app.command(settings)
    app.command(validate, group=group)
    app.command(keygen, group=group)
    app.command(idempotency_key, group=group)
    app.command(codes, group=group)
    app.command(explain, group=group)


def _code_line(row: CodeMeaning) -> str:
    return (
        f"{int(row.code):4} {row.code.name:28} HTTP {row.http_status} "
        f"{row.run_state.value:15} {row.summary}"
    )
