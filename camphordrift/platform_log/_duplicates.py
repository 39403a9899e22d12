"""Recognizes the second copy of a record."""

from camphordrift.platform_log._envelope import RecordId

#: How many record ids a reader remembers unless told otherwise.
REMEMBERED_RECORD_IDS = 65_536


class DuplicateFilter:
    """Remembers the newest record ids of a stream.

    It is bounded, so a copy that arrives after ``capacity`` other records passes for new. What a
    record says must therefore not take effect twice that far apart, for example because it names
    the version that it replaces or carries its own time.
    """

    def __init__(self, capacity: int = REMEMBERED_RECORD_IDS) -> None:
        if capacity < 1:
            raise ValueError(f"capacity must be at least 1: {capacity}")
        self._capacity = capacity
        self._seen: dict[RecordId, None] = {}

    def __len__(self) -> int:
        return len(self._seen)

    def is_first(self, record_id: RecordId) -> bool:
        """Returns whether the id is new, and remembers it."""
        if record_id in self._seen:
            return False
        self._seen[record_id] = None
        if len(self._seen) > self._capacity:
            del self._seen[next(iter(self._seen))]
        return True
