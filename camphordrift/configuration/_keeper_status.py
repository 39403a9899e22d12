"""The status of a configuration keeper, and whether it permits publishing."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.configuration._readiness import Readiness
from camphordrift.configuration._replica import Block
from camphordrift.results import Failure, ResultCode

#: Seconds after which to retry publishing on a VM that has not read the configuration yet.
RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class KeeperStatus:
    """A keeper's status, for readiness, the state dump and alarms."""

    #: Whether the VM may serve requests, and if not, why.
    readiness: Readiness

    #: The version in force; 0 while the VM has no configuration.
    version: int

    #: The offset of the next record to apply.
    offset: int

    #: Whether the last successful read reached the end of the log.
    caught_up: bool

    #: Seconds since the last successful read of the log began; infinite if there was none.
    seconds_since_contact: float

    #: Where and why the replica stopped applying records; ``None`` if it did not.
    block: Optional[Block]

    #: Whether the log has lost records that were already applied.
    lost_tail: bool

    #: The highest schema version that this program can read.
    readable_schema_version: int

    #: Number of checkpoints that this VM has appended.
    checkpoints_appended: int


def refusal_to_publish(status: KeeperStatus) -> Optional[Failure]:
    """Returns why a VM with this status cannot publish a record; ``None`` if it can."""
    if status.block is not None:
        return Failure(
            ResultCode.CONFIGURATION_UNKNOWN,
            f"this VM cannot apply the log from offset {status.block.offset} on"
            f" ({status.block.reason.value}); publish on another VM",
        )
    if status.lost_tail:
        return Failure(
            ResultCode.LOG_UNAVAILABLE,
            "the log has lost records that are in force; VMs would not read a new record",
        )
    if not status.caught_up and status.readiness is not Readiness.READY:
        return Failure(
            ResultCode.CONFIGURATION_UNKNOWN,
            "this VM has not read the configuration yet",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    return None
