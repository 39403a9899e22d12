"""Writes the pages, and tells which are out of date."""

from pathlib import Path

from camphordrift.documents._pages import PAGES


def write_pages(directory: Path) -> list[Path]:
    """Writes all pages below ``directory`` and returns those that have changed."""
    changed = stale_pages(directory)
    for path in changed:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(_content(directory, path), encoding="utf-8")
    return changed


def stale_pages(directory: Path) -> list[Path]:
    """Returns the pages that are missing or differ from what the code says."""
    paths = [directory / name for name in PAGES]
    return [path for path in paths if _read(path) != _content(directory, path)]


def _content(directory: Path, path: Path) -> str:
    return PAGES[path.relative_to(directory).as_posix()]()


def _read(path: Path) -> str:
    return path.read_text(encoding="utf-8") if path.exists() else ""
