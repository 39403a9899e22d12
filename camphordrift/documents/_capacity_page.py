"""The capacity page, made of the committed measurements."""

from collections.abc import Sequence
from pathlib import Path

from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, number, size_text
from camphordrift.documents._capacity_fleet import limits_role, membership_role
from camphordrift.documents._capacity_log import claims_role, configuration_role, operator_role
from camphordrift.documents._capacity_requests import entry_role, pool_role
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.documents._tables import table
from camphordrift.experiments import Measurements, measurements_from_json

#: The measurements that the committed page is made of.
MEASUREMENTS_PATH = Path(__file__).parents[2] / "docs" / "capacity" / "measurements.json"

_TITLE = "# Capacity"


def committed_measurements() -> Measurements:
    """Returns the committed measurements."""
    return measurements_from_json(MEASUREMENTS_PATH.read_text(encoding="utf-8"))


def capacity_text(measurements: Measurements) -> str:
    """Returns the page, without its note."""
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
        _reading(measurements),
        _sizes_section(),
        _summary(roles),
        _control_sum(figures),
        _memory_section(figures),
        *(role.section for role in roles),
        _events_section(),
        _not_measured(),
        _slopes_section(figures),
    ]
    return "\n\n".join(part.strip() for part in parts)


def _reading(measurements: Measurements) -> str:
    machine = measurements.machine
    return (
        f"What each role needs at the size expected within two years, worked out from slopes. "
        f"The points are in `docs/capacity/measurements.json`, written by "
        f"`{measurements.command}` on {measurements.date}: {machine.cores} cores, "
        f"{machine.system}, Python {machine.python}. Other work shared the machine (load average "
        f"{machine.load_average:g}), so times are processor time of the process, each the median "
        f"of five runs; memory is what Python allocates (`tracemalloc`) unless it says "
        f"*resident*; bytes are counted. A figure after `=` is arithmetic, and says whether it "
        f"lies inside the measured range or is extrapolated; ± is the standard error of the "
        f"fitted line's two numbers, added. It covers neither a bend of the line beyond the "
        f"points nor another machine."
    )


def _sizes_section() -> str:
    rows = [
        ("Entry VMs", f"{sizes.VMS:,}"),
        ("Engines", f"{sizes.ENGINES:,}, {number(sizes.ENGINES_PER_SERVICE)} for each model"),
        (
            "Requests a second",
            f"{sizes.REQUESTS_PER_SECOND:,}, {number(sizes.REQUESTS_PER_VM)} a VM",
        ),
        ("Tokens a second", f"{sizes.TOKENS_PER_SECOND:,}, {number(sizes.TOKENS_PER_VM)} a VM"),
        ("Client accounts, models", f"{sizes.ACCOUNTS}, {sizes.MODELS}"),
        (
            "Regions, zones",
            f"{sizes.REGIONS}, {sizes.ZONES}: {number(sizes.VMS_PER_ZONE)} VMs a zone",
        ),
        ("Changes of configuration", f"{sizes.CHANGES_PER_DAY:,} a day, in force within 3 s"),
        (
            "Control of one VM",
            f"{sizes.BUDGET_CPU_MS:g} ms/s (1.3% of a core), {size_text(sizes.BUDGET_BYTES)}, "
            f"{size_text(sizes.BUDGET_BYTES_PER_SECOND)}/s",
        ),
        (
            "VMs that fail, are replaced",
            f"{sizes.FAILURES_PER_DAY}, {sizes.REPLACEMENTS_PER_DAY:,} a day",
        ),
        ("Appends a second of the log", f'{sizes.LOG_APPENDS_PER_SECOND} ("several hundred")'),
    ]
    return "## The size\n\n" + table(["What", "How much"], rows)


def _summary(roles: Sequence[RoleReport]) -> str:
    headings = ["Role", "Mechanism today", "State", "Messages", "Processor", "At that size"]
    return "## Summary\n\n" + table(headings, [role.row for role in roles])


def _control_sum(figures: Figures) -> str:
    """Adds up what every VM spends on control today, claims left out."""
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
    processor = [
        figures.at(name, size).value
        for name, size in (
            ("membership_cpu_by_vms", sizes.VMS),
            ("server_cpu_by_servers", sizes.ENGINES),
            ("limits_cpu_by_accounts", sizes.ACCOUNTS),
        )
    ]
    return (
        f"State of one VM that knows everything, claims left out (configuration of engines and "
        f"of accounts, snapshot, VMs, backend servers, limits, scheduler of all engines): "
        f"{' + '.join(size_text(item) for item in state)} = **{size_text(sum(state))}** of "
        f"{size_text(sizes.BUDGET_BYTES)}. Processor time of decisions (VMs, backend servers, "
        f"limits): {' + '.join(number(item) for item in processor)} = "
        f"**{number(sum(processor))} ms/s** of {sizes.BUDGET_CPU_MS:g} ms/s. Neither fits, so no "
        f"VM may know everything: what follows cuts the fleet into zones, pools and partitions."
    )


def _memory_section(figures: Figures) -> str:
    steps = figures.measurements.memory
    rows = []
    before = 0
    for step in steps:
        growth = step.resident_bytes - before
        rows.append((step.imported, size_text(step.resident_bytes), size_text(growth)))
        before = step.resident_bytes
    text = (
        f"{size_text(sizes.BUDGET_BYTES)} for control cannot include the process itself: with "
        f"everything imported and nothing done, {size_text(figures.resident_bytes)} are resident. "
        f"So the bound is read as state above a bare process. What is imported counts once for "
        f"each process, so several loops on a VM pay it several times."
    )
    return "\n\n".join(
        ["## The bare process", text, table(["After importing", "Resident", "Growth"], rows)]
    )


def _events_section() -> str:
    changes = sizes.FAILURES_PER_DAY + sizes.REPLACEMENTS_PER_DAY
    pools_a_vm = sizes.ENGINES / 32 / sizes.VMS
    lines = [
        f"**{changes:,} VMs a day** fail or are replaced, one every "
        f"{number(sizes.SECONDS_PER_DAY / changes)} s. With homes by rendezvous hash and "
        f"{number(pools_a_vm)} pools a VM, a pool moves {number(changes * pools_a_vm)} times a "
        f"day in the whole fleet; a new home has to learn what runs from the VMs that hold grants.",
        "**A rack or switch a week** is tens of VMs at once: their pools and partitions move in "
        "one step, and their callers ask again at once.",
        f"**An availability zone every other month** takes 1/{sizes.ZONES} of the VMs and "
        f"engines: the rest carries {number(100 * sizes.ZONES / (sizes.ZONES - 1) - 100)}% more.",
        "**A region cut off for an hour** goes on with its own engines, its last configuration "
        "and its accounts' safe shares; it refuses calls that may not be repeated as not run if "
        "the log lies on the other side.",
    ]
    return "## Failures of an ordinary week\n\n" + "\n".join(f"- {line}" for line in lines)


def _not_measured() -> str:
    lines = [
        "Sockets, TLS and the HTTP server: the runs call the code without them, so processor "
        "times of requests and tokens are lower bounds.",
        "Any fleet larger than the largest point; no run held 2,700 VMs or 10,000 engines. "
        "Fleets of whole VMs ran in one process over streams in memory.",
        "What a subset of pools costs in slowdown; how fast a tree of followers spreads a change; "
        "all mechanisms under *What carries it instead*.",
        "The home of one account asked by thousands of VMs.",
        "The scheduler that orders by bands and the home VMs of pools: both came after this run, "
        "whose scheduler series show a scheduler that looks at its whole queue in each round, "
        "on a VM that decides alone. Run the command again before relying on that section.",
        "What is remembered of the engines' prefix caches, by blocks.",
        "Resident memory under load, and fragmentation: Python's own count of live objects was "
        "taken.",
        f"The share of calls that may not be repeated: {sizes.CLAIMED_SHARE:.0%} is assumed.",
    ]
    return "## Not measured\n\n" + "\n".join(f"- {line}" for line in lines)


def _slopes_section(figures: Figures) -> str:
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
    headings = ["Series", "What was run", "Size", "Cost", "Points", "Base", "Slope"]
    text = (
        f"Each line is fitted by least squares to all points; ± is the standard error. All come "
        f"from `{figures.measurements.command}`; `--only NAME` runs one experiment again."
    )
    return "\n\n".join(["## Slopes", text, table(headings, rows)])
