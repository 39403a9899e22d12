"""Access to the log for claims and leases: append, follow a stream, read one record."""

from camphordrift.record_log._access import GapHandler, RecordHandler, RecordLog
from camphordrift.record_log._platform import PlatformRecordLog

__all__ = ["GapHandler", "PlatformRecordLog", "RecordHandler", "RecordLog"]
