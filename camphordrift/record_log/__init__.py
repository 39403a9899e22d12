"""Access to the log for idempotency claims and leases: append, follow a stream, read one record.

An idempotency claim is the record that reserves an idempotency key for one attempt of a call.
"""

from camphordrift.record_log._access import GapHandler, RecordHandler, RecordLog
from camphordrift.record_log._platform import PlatformRecordLog

__all__ = ["GapHandler", "PlatformRecordLog", "RecordHandler", "RecordLog"]
