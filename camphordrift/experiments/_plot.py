"""Plots measurements of routing policies."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Optional

from camphordrift.experiments._measure import Measurement

Value = Callable[[Measurement], Optional[float]]

_PANELS: tuple[tuple[str, Value], ...] = (
    ("short: p99 slowdown", lambda each: each.figures.short_slowdown.p99),
    ("short: p95 time to first token (s)", lambda each: each.figures.first_token["short"].p95),
    ("long: p95 slowdown", lambda each: each.figures.long_slowdown.p95),
    ("completed requests per second", lambda each: each.figures.goodput),
)


def draw_plot(measurements: Sequence[Measurement], path: Path) -> None:
    """Writes a PNG: one row of plots per deployment, one line per policy over the load."""
    from matplotlib.figure import Figure

    deployments = sorted({each.case.deployment for each in measurements})
    figure = Figure(figsize=(4.2 * len(_PANELS), 3.6 * len(deployments)))
    axes = figure.subplots(len(deployments), len(_PANELS), squeeze=False)
    for row, deployment in enumerate(deployments):
        selected = [each for each in measurements if each.case.deployment == deployment]
        for column, (title, value) in enumerate(_PANELS):
            _draw_panel(axes[row][column], f"{deployment} - {title}", selected, value)
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _draw_panel(axes: Any, title: str, selected: Sequence[Measurement], value: Value) -> None:
    policies = dict.fromkeys(each.case.policy for each in selected)
    for policy in policies:
        points = sorted(
            (each.case.load, number)
            for each in selected
            if each.case.policy is policy and (number := value(each)) is not None
        )
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", label=policy.value)
    axes.set_title(title, fontsize=8)
    axes.set_xlabel("load as a share of the token capacity", fontsize=7)
    if "completed" not in title:
        axes.set_yscale("log")
