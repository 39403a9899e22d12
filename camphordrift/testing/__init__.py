"""Helpers for the tests of every package."""

from camphordrift.testing._virtual_time import run_in_virtual_time

__all__ = ["run_in_virtual_time"]
