"""Detects duplicate records of a stream by their ids."""

from camphordrift.platform_log._envelope import RecordId

#: Default number of record ids that a reader remembers.
REMEMBERED_RECORD_IDS = 65_536


class DuplicateFilter:
    """Remembers the latest ``capacity`` record ids of a stream.

    A copy that arrives after ``capacity`` other records is not detected. Applying a record twice
    that far apart must therefore be harmless, for example because the record names the version that
    it replaces or carries its own time.
    """

    def __init__(self, capacity: int = REMEMBERED_RECORD_IDS) -> None:
        if capacity < 1:
            raise ValueError(f"capacity must be at least 1: {capacity}")
        self._capacity = capacity
        self._seen: dict[RecordId, None] = {}

    def __len__(self) -> int:
        return len(self._seen)

    def remember_if_new(self, record_id: RecordId) -> bool:
        """Returns whether the id has not been seen before, and remembers it."""
        if record_id in self._seen:
            return False
        self._seen[record_id] = None
        if len(self._seen) > self._capacity:
            del self._seen[next(iter(self._seen))]
        return True
