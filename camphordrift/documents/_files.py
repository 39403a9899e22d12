"""Writes the generated pages and finds those that are out of date."""

from pathlib import Path

from camphordrift.documents._pages import PAGES


def write_pages(directory: Path) -> list[Path]:
    """Writes the missing and outdated pages below ``directory`` and returns their paths."""
    changed = stale_pages(directory)
    for path in changed:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(_generate(directory, path), encoding="utf-8")
    return changed


def stale_pages(directory: Path) -> list[Path]:
    """Returns the paths of the pages that are missing or differ from the generated text."""
    paths = [directory / name for name in PAGES]
    return [path for path in paths if _read(path) != _generate(directory, path)]


def _generate(directory: Path, path: Path) -> str:
    return PAGES[path.relative_to(directory).as_posix()]()


def _read(path: Path) -> str:
    return path.read_text(encoding="utf-8") if path.exists() else ""
