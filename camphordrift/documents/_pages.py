"""The pages that are generated from the code, by path."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from camphordrift.documents._commands import command_sections
from camphordrift.documents._models import model_reference
from camphordrift.documents._records import record_sections
from camphordrift.documents._tables import table
from camphordrift.results import code_table
from camphordrift.settings import EntryModel, StandinsModel
from camphordrift.telemetry import Metrics

_NOTE = "<!-- Generated from the code by `python -m camphordrift.documents`; do not edit. -->"


def result_codes_page() -> str:
    """Returns the reference page of result codes."""
    rows = [
        (str(int(row.code)), f"`{row.code.name}`", str(row.http_status), f"`{row.run_state.value}`",
         row.summary)
        for row in code_table()
    ]  # fmt: skip
    introduction = (
        "The JSON body of every refusal and failure contains one of these numbers in the field "
        "`code`. The meaning of a number never changes.\n\n"
        "`not_run` means that no byte of the request can have reached a backend server; `failed` "
        "that it reached one and is known not to have completed; `outcome_unknown` that it may or "
        "may not have run. The field `run_state` of an error takes precedence over this table, "
        "since some failures can occur both before and after a run."
    )
    return _page(
        "Result codes", introduction, table(["Code", "Name", "HTTP", "Run state", "Meaning"], rows)
    )


def settings_page() -> str:
    """Returns the reference page of settings files."""
    introduction = (
        "Settings are TOML files, read once at startup. Unknown keys are rejected. Addresses are "
        "IP addresses; host names are rejected, so that a process can start while DNS is "
        "unavailable. `camphordrift settings check FILE` validates a file without starting a "
        "process. Relative paths are resolved against the directory of the settings file."
    )
    parts = [
        model_reference(EntryModel, "File of an entry VM"),
        model_reference(StandinsModel, "File of stand-ins"),
    ]
    return _page("Settings", introduction, "\n".join(parts))


def configuration_page() -> str:
    """Returns the reference page of configuration records."""
    introduction = (
        "A record is a TOML or JSON file. `camphordrift validate FILE` checks its format without "
        "a VM, `camphordrift publish --dry-run FILE` validates it against the configuration in "
        "force, and `camphordrift publish FILE` publishes it. Unknown keys are rejected. A "
        "change contains the version of the entry that it replaces, so that of two concurrent "
        "changes to an entry one is refused; `camphordrift show` prints the versions. Examples "
        "are `examples/kowalczyk/configuration.toml` and `examples/bazarnik/configuration.toml`."
    )
    return _page("Configuration records", introduction, record_sections())


def metrics_page() -> str:
    """Returns the reference page of metrics."""
    metrics = Metrics("documents")
    try:
        rows = [
            (f"`camphordrift_{item.name}`", item.kind, item.description)
            for item in metrics.descriptions
        ]
    finally:
        metrics.close()
    introduction = (
        "The operators' port serves these metrics at `/metrics`, in the Prometheus text format. "
        "Counters have the suffix `_total`, histograms `_bucket`, `_sum` and `_count`."
    )
    return _page("Metrics", introduction, table(["Name", "Kind", "Description"], rows))


def command_line_page() -> str:
    """Returns the reference page of the command line."""
    # Imported here, so that only this page loads the command line.
    from camphordrift.daemons import EXIT_CODES_HELP, command_line

    introduction = f"Parameters without dashes are positional. {EXIT_CODES_HELP}"
    return _page("Command line", introduction, command_sections(command_line()))


def capacity_page() -> str:
    """Returns the capacity page, computed from the committed measurements."""
    # Imported here, since it needs the libraries of the measuring tool.
    from camphordrift.documents._capacity_page import capacity_text, committed_measurements

    text = capacity_text(committed_measurements())
    return "\n".join(line.rstrip() for line in f"{_NOTE}\n\n{text}".splitlines()) + "\n"


#: The functions that generate the pages, by path below ``docs/``.
PAGES: Mapping[str, Callable[[], str]] = MappingProxyType(
    {
        "CAPACITY.md": capacity_page,
        "reference/result-codes.md": result_codes_page,
        "reference/settings.md": settings_page,
        "reference/configuration.md": configuration_page,
        "reference/metrics.md": metrics_page,
        "reference/command-line.md": command_line_page,
    }
)


def _page(title: str, introduction: str, body: str) -> str:
    parts = [_NOTE, f"# {title}", introduction, body]
    text = "\n\n".join(part.strip() for part in parts if part.strip())
    return "\n".join(line.rstrip() for line in text.splitlines()) + "\n"
