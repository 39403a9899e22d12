"""The process of one entry VM: creates its components, connects them and runs them."""

from camphordrift.entry._configuration_sharing import CONFIGURATION_PART_BYTES
from camphordrift.entry._log_access import RECORD_POLL_SECONDS
from camphordrift.entry._process import EntryProcess

__all__ = ["CONFIGURATION_PART_BYTES", "RECORD_POLL_SECONDS", "EntryProcess"]
