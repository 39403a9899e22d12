"""One entry VM's process: all its parts, put together."""

from camphordrift.entry._configuration_sharing import CONFIGURATION_PART_BYTES
from camphordrift.entry._log_access import RECORD_POLL_SECONDS
from camphordrift.entry._process import EntryProcess

__all__ = ["CONFIGURATION_PART_BYTES", "RECORD_POLL_SECONDS", "EntryProcess"]
