"""Formats measurements as a text table and as JSON."""

import json
from collections.abc import Sequence
from dataclasses import asdict
from enum import Enum
from typing import Optional

from camphordrift.experiments._figures import Figures, Percentiles
from camphordrift.experiments._measure import Measurement

_HEADINGS = (
    "deployment",
    "load",
    "policy",
    "short TTFT p50/p95/p99",
    "medium TTFT p50/p95",
    "long TTFT p50/p95",
    "short slowdown p50/p99",
    "long slowdown p50/p95",
    "good/s",
    "ktok/s",
    "done",
    "refused",
    "failed",
    "fair",
    "msg/s",
    "B/s/VM",
)


def as_table(measurements: Sequence[Measurement]) -> str:
    """Returns a text table with one line per measurement; times are in seconds."""
    rows = [_HEADINGS] + [_row(measurement) for measurement in measurements]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADINGS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


def as_json(measurements: Sequence[Measurement]) -> str:
    """Returns all measurements as a JSON array."""
    return json.dumps([asdict(each) for each in measurements], default=_enum_value, indent=1)


def _enum_value(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"{value!r} has no JSON form")


def _row(measurement: Measurement) -> tuple[str, ...]:
    case, figures = measurement.case, measurement.figures
    short, medium, long = (figures.first_token[name] for name in ("short", "medium", "long"))
    return (
        case.deployment,
        f"{case.load:.0%}" if case.shape.value == "steady" else f"{case.load:.0%} rush",
        case.policy.value,
        _numbers(short.p50, short.p95, short.p99),
        _numbers(medium.p50, medium.p95),
        _numbers(long.p50, long.p95),
        _slowdown(figures.short_slowdown, tail=figures.short_slowdown.p99),
        _slowdown(figures.long_slowdown, tail=figures.long_slowdown.p95),
        f"{figures.goodput:.2f}",
        f"{figures.goodput_tokens / 1000:.0f}",
        f"{figures.completed}/{figures.offered}",
        _format_counts(figures.refusals),
        _format_counts(figures.failures),
        _fairness(figures),
        f"{figures.control_messages:.0f}",
        f"{figures.control_bytes_per_vm:.0f}",
    )


def _numbers(*values: Optional[float]) -> str:
    return "/".join("-" if value is None else f"{value:.2f}" for value in values)


def _slowdown(slowdown: Percentiles, tail: Optional[float]) -> str:
    return _numbers(slowdown.p50, tail)


def _format_counts(counts: dict[str, int]) -> str:
    return ",".join(f"{name}:{count}" for name, count in counts.items()) or "0"


def _fairness(figures: Figures) -> str:
    return f"{figures.account_fairness:.3f} min {figures.account_completion[0]:.2f}"
