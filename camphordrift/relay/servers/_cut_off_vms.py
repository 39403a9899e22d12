"""Remembers which VMs are cut off from the servers, so that no other VM asks them for a path.

Each VM states its own condition. What is new to a VM is passed on to its leader and its followers.
All points in time are seconds of one monotonic clock and are passed in by the caller.
"""

import msgspec

#: Seconds after which a VM no longer counts as cut off unless it has repeated that it is.
STATEMENT_LIFETIME = 6.0

#: Seconds between two statements of a VM that is cut off.
STATEMENT_INTERVAL = 2.0


class PathStatement(msgspec.Struct, frozen=True, tag=True):
    """States whether a VM is cut off from the servers."""

    #: Id of the VM.
    vm: str
    #: Milliseconds since the epoch at which its process started.
    started_ms: int
    #: Number of the statement; later ones of a process have higher numbers.
    number: int
    is_cut_off: bool


class CutOffVms:
    """The latest statement of each VM."""

    def __init__(self) -> None:
        self._statements: dict[str, PathStatement] = {}
        self._received_at: dict[str, float] = {}

    def merge(self, statement: PathStatement, now: float) -> bool:
        """Records a statement; returns whether it is new."""
        known = self._statements.get(statement.vm)
        if known is not None and _order(known) >= _order(statement):
            return False
        self._statements[statement.vm] = statement
        self._received_at[statement.vm] = now
        return True

    def is_cut_off(self, vm: str, now: float) -> bool:
        """Returns whether a VM is cut off from the servers, as far as this one knows."""
        statement = self._statements.get(vm)
        return (
            statement is not None
            and statement.is_cut_off
            and now < self._received_at[vm] + STATEMENT_LIFETIME
        )

    def current(self, now: float) -> list[PathStatement]:
        """Returns the statements of VMs that are cut off."""
        return [item for item in self._statements.values() if self.is_cut_off(item.vm, now)]


def _order(statement: PathStatement) -> tuple[int, int]:
    return statement.started_ms, statement.number
