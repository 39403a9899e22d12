"""Generates the capacity page and the reference pages below ``docs`` from the code."""

from camphordrift.documents._files import stale_pages, write_pages
from camphordrift.documents._pages import PAGES

__all__ = ["PAGES", "stale_pages", "write_pages"]
