"""The log as the folds over it use it: append one record, follow a stream, read one record."""

from camphordrift.record_log._access import GapHandler, RecordHandler, RecordLog
from camphordrift.record_log._platform import PlatformRecordLog

__all__ = ["GapHandler", "PlatformRecordLog", "RecordHandler", "RecordLog"]
