"""The log as the folds over it use it: append one record, follow a stream, read one record."""

from camphordrift.record_log._access import GapHandler, RecordHandler, RecordLog

__all__ = ["GapHandler", "RecordHandler", "RecordLog"]
