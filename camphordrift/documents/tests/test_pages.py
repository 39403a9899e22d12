"""Tests that the committed pages match the generated text, and of writing the pages."""

import tempfile
from pathlib import Path

import testtools

from camphordrift.documents import PAGES, stale_pages, write_pages

DOCS = Path(__file__).parents[3] / "docs"


class PagesTest(testtools.TestCase):
    def test_committed_pages_are_current(self) -> None:
        stale = [str(path) for path in stale_pages(DOCS)]
        self.assertEqual([], stale, "run: python -m camphordrift.documents")

    def test_current_pages_are_not_written_again(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            self.assertEqual(len(PAGES), len(write_pages(Path(directory))))
            self.assertEqual([], write_pages(Path(directory)))

    def test_a_changed_page_is_stale(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            write_pages(Path(directory))
            page = Path(directory) / "reference" / "metrics.md"
            page.write_text(page.read_text(encoding="utf-8") + "more\n", encoding="utf-8")
            self.assertEqual([page], stale_pages(Path(directory)))

    def test_table_rows_are_complete(self) -> None:
        for name, page in PAGES.items():
            rows = [line for line in page().splitlines() if line.startswith("|")]
            for row in rows:
                self.assertTrue(row.endswith(" |"), f"{name}: {row}")
