"""Formatting of Markdown tables."""

from collections.abc import Iterable, Sequence


def table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table that ends with a line break."""
    lines = [_row(headings), _row(["---"] * len(headings))]
    lines += [_row(row) for row in rows]
    return "\n".join(lines) + "\n"


def _row(cells: Sequence[str]) -> str:
    escaped = [" ".join(cell.split()).replace("|", "\\|") for cell in cells]
    return "| " + " | ".join(escaped) + " |"
