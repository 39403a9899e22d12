"""One entry VM's process: all its parts, put together."""

from camphordrift.entry._process import EntryProcess

__all__ = ["EntryProcess"]
