"""The capacity page, generated from the committed measurements."""

from collections.abc import Sequence
from pathlib import Path

from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, format_size, number
from camphordrift.documents._capacity_fleet import limits_role, membership_role
from camphordrift.documents._capacity_log import claims_role, configuration_role, operator_role
from camphordrift.documents._capacity_requests import entry_role, pool_role
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.documents._tables import table
from camphordrift.experiments import Measurements, measurements_from_json

#: File of the committed measurements from which the page is generated.
MEASUREMENTS_PATH = Path(__file__).parents[2] / "docs" / "capacity" / "measurements.json"

_TITLE = "# Capacity"


def committed_measurements() -> Measurements:
    """Reads the committed measurements."""
    return measurements_from_json(MEASUREMENTS_PATH.read_text(encoding="utf-8"))


def capacity_text(measurements: Measurements) -> str:
    """Returns the page in Markdown, without the note that it is generated."""
    figures = Figures(measurements)
    roles = (
        entry_role(figures),
        pool_role(figures),
        limits_role(figures),
        claims_role(figures),
        configuration_role(figures),
        membership_role(figures),
        operator_role(figures),
    )
    parts = [
        _TITLE,
        _introduction(measurements),
        _sizes_section(),
        _summary_section(roles),
        _control_total_section(figures),
        _memory_section(figures),
        *(role.section for role in roles),
        _failures_section(),
        _not_measured_section(),
        _lines_section(figures),
    ]
    return "\n\n".join(part.strip() for part in parts)


def _introduction(measurements: Measurements) -> str:
    machine = measurements.machine
    return (
        f"Resources that each role needs at the size expected within two years, computed from "
        f"fitted lines. The measured points are in `docs/capacity/measurements.json`, written by "
        f"`{measurements.command}` on {measurements.date}: {machine.cores} cores, "
        f"{machine.system}, Python {machine.python}. The machine was shared with other work (load "
        f"average {machine.load_average:g}), so times are CPU time of the process, each the median "
        f"of five runs; memory is what Python allocates (`tracemalloc`) unless it is called "
        f"*resident*; bytes are counted. A figure after `=` is calculated, with a note whether it "
        f"is inside the measured range or extrapolated; ± is the sum of the standard errors of the "
        f"fitted line's two parameters. It covers neither nonlinear costs beyond the points nor "
        f"other machines."
    )


def _sizes_section() -> str:
    rows = [
        ("Entry VMs", f"{sizes.VMS:,}"),
        ("Engines", f"{sizes.ENGINES:,}, {number(sizes.ENGINES_PER_SERVICE)} per model"),
        (
            "Requests per second",
            f"{sizes.REQUESTS_PER_SECOND:,}, {number(sizes.REQUESTS_PER_VM)} per VM",
        ),
        ("Tokens per second", f"{sizes.TOKENS_PER_SECOND:,}, {number(sizes.TOKENS_PER_VM)} per VM"),
        ("Client accounts, models", f"{sizes.ACCOUNTS}, {sizes.MODELS}"),
        (
            "Regions, zones",
            f"{sizes.REGIONS}, {sizes.ZONES}: {number(sizes.VMS_PER_ZONE)} VMs per zone",
        ),
        ("Configuration changes", f"{sizes.CHANGES_PER_DAY:,} per day, in force within 3 s"),
        (
            "Control budget of one VM",
            f"{sizes.BUDGET_CPU_MS:g} ms/s (1.3% of a core), {format_size(sizes.BUDGET_BYTES)}, "
            f"{format_size(sizes.BUDGET_BYTES_PER_SECOND)}/s",
        ),
        (
            "VMs that fail, that are restarted or replaced",
            f"{sizes.FAILURES_PER_DAY}, {sizes.REPLACEMENTS_PER_DAY:,} per day",
        ),
        ("Appends per second to the log", f'{sizes.LOG_APPENDS_PER_SECOND} ("several hundred")'),
    ]
    return "## Expected size\n\n" + table(["Quantity", "Value"], rows)


def _summary_section(roles: Sequence[RoleReport]) -> str:
    headings = ["Role", "Mechanism today", "State", "Messages", "CPU time", "At that size"]
    return "## Summary\n\n" + table(headings, [role.row for role in roles])


def _control_total_section(figures: Figures) -> str:
    """Returns the total of state and CPU time for control on one VM today, without claims."""
    state = [
        figures.at(name, size).value
        for name, size in (
            ("configuration_state_by_engines", sizes.ENGINES),
            ("configuration_state_by_accounts", sizes.ACCOUNTS),
            ("snapshot_state_by_engines", sizes.ENGINES),
            ("membership_state_by_vms", sizes.VMS),
            ("server_state_by_servers", sizes.ENGINES),
            ("limits_state_by_accounts", sizes.ACCOUNTS),
            ("scheduler_state_by_engines", sizes.ENGINES),
        )
    ]
    cpu_times = [
        figures.at(name, size).value
        for name, size in (
            ("membership_cpu_by_vms", sizes.VMS),
            ("server_cpu_by_servers", sizes.ENGINES),
            ("limits_cpu_by_accounts", sizes.ACCOUNTS),
        )
    ]
    return (
        f"State of one VM that stores the whole fleet, without claims (configuration of engines "
        f"and of accounts, snapshot, VMs, backend servers, limits, scheduler of all engines): "
        f"{' + '.join(format_size(item) for item in state)} = **{format_size(sum(state))}** of "
        f"{format_size(sizes.BUDGET_BYTES)}. CPU time of decisions (VMs, backend servers, limits): "
        f"{' + '.join(number(item) for item in cpu_times)} = **{number(sum(cpu_times))} ms/s** "
        f"of {sizes.BUDGET_CPU_MS:g} ms/s. Both exceed the budget, so no VM may store the whole "
        f"fleet: the proposals below divide it into zones, pools and partitions."
    )


def _memory_section(figures: Figures) -> str:
    steps = figures.measurements.memory
    rows = []
    previous_bytes = 0
    for step in steps:
        growth = step.resident_bytes - previous_bytes
        rows.append((step.imported, format_size(step.resident_bytes), format_size(growth)))
        previous_bytes = step.resident_bytes
    text = (
        f"{format_size(sizes.BUDGET_BYTES)} for control cannot include the process itself: an idle "
        f"process with all imports has {format_size(figures.resident_bytes)} resident. So the "
        f"budget is taken as state in addition to an idle process. Imports take this memory in "
        f"each process, so several event loops on a VM need it several times."
    )
    return "\n\n".join(
        ["## The idle process", text, table(["After importing", "Resident", "Growth"], rows)]
    )


def _failures_section() -> str:
    changes = sizes.FAILURES_PER_DAY + sizes.REPLACEMENTS_PER_DAY
    pools_per_vm = sizes.ENGINES / 32 / sizes.VMS
    lines = [
        f"**{changes:,} VMs per day** fail, are restarted or are replaced, one every "
        f"{number(sizes.SECONDS_PER_DAY / changes)} s. With home VMs chosen by rendezvous "
        f"hashing and {number(pools_per_vm)} pools per VM, pools move "
        f"{number(changes * pools_per_vm)} times per day in the whole fleet; a new home VM must "
        f"collect the running requests from the VMs that hold grants.",
        "**One rack or switch per week** fails with tens of VMs at once: their pools and "
        "partitions move at the same time, and their callers retry at the same time.",
        f"**One availability zone every two months** fails with 1/{sizes.ZONES} of the VMs and "
        f"engines: the others get {number(100 * sizes.ZONES / (sizes.ZONES - 1) - 100)}% more "
        f"load.",
        "**A region disconnected for an hour** continues with its own engines, its last "
        "configuration and its accounts' safe shares; it refuses calls that run at most once as "
        "not run if it cannot reach the log.",
    ]
    return "## Regular failures\n\n" + "\n".join(f"- {line}" for line in lines)


def _not_measured_section() -> str:
    lines = [
        "Sockets, TLS and the HTTP server: the measurements call the code without them, so CPU "
        "times of requests and tokens are lower bounds.",
        "Any fleet larger than the largest point; no run had 2,700 VMs or 10,000 engines. "
        "Fleets of whole VMs ran in one process with in-memory connections.",
        "The slowdown caused by choosing from a subset of pools; the time in which a tree of "
        "followers distributes a change; all mechanisms under *Proposed mechanism*.",
        "The home VM of one account with thousands of requesting VMs.",
        "The scheduler that orders by bands and the home VMs of pools: both were added after this "
        "run, whose scheduler series measure a scheduler that examines its whole queue in each "
        "round, on a VM with local scheduling. Run the command again before relying on that "
        "section.",
        "The stored state of the engines' prefix caches, by blocks.",
        "Resident memory under load, and fragmentation: only the size of live Python objects was "
        "measured.",
        f"The share of calls that run at most once: {sizes.CLAIMED_SHARE:.0%} is assumed.",
    ]
    return "## Not measured\n\n" + "\n".join(f"- {line}" for line in lines)


def _lines_section(figures: Figures) -> str:
    rows = []
    for series in figures.measurements.series:
        line = figures.line(series.name)
        points = "; ".join(f"{number(p.size)}: {number(p.cost)}" for p in series.points)
        rows.append(
            (
                f"`{series.name}`",
                series.what,
                series.size_unit,
                series.cost_unit.replace("us ", "µs "),
                points,
                f"{number(line.base)} ± {number(line.base_error)}",
                f"{number(line.slope)} ± {number(line.slope_error)}",
            )
        )
    headings = ["Series", "What was measured", "Size", "Cost", "Points", "Base", "Slope"]
    text = (
        f"Each line is fitted by least squares to all points; ± is the standard error. All "
        f"points are measured by `{figures.measurements.command}`; `--only NAME` repeats one "
        f"experiment."
    )
    return "\n\n".join(["## Fitted lines", text, table(headings, rows)])
