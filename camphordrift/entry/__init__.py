"""The process of one entry VM: creates its components, connects them and runs them.

An entry VM is a VM of the serving layer. It accepts the requests of callers, and it sends them to
backend servers.
"""

from camphordrift.entry._configuration_sharing import CONFIGURATION_PART_BYTES
from camphordrift.entry._log_access import RECORD_POLL_SECONDS
from camphordrift.entry._process import EntryProcess

__all__ = ["CONFIGURATION_PART_BYTES", "RECORD_POLL_SECONDS", "EntryProcess"]
