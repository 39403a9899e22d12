"""What a keeper tells of itself."""

from dataclasses import dataclass
from typing import Optional

from camphordrift.configuration._readiness import Readiness
from camphordrift.configuration._replica import Block
from camphordrift.results import Failure, ResultCode

#: When to ask a VM again that has not read the configuration yet, in seconds.
RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class KeeperStatus:
    """What the keeper knows, for readiness, the state dump and alarms."""

    #: Whether the VM may serve, and if not, why.
    readiness: Readiness

    #: The version in force; 0 if nothing is known.
    version: int

    #: The offset of the next record to apply.
    offset: int

    #: Whether everything was read that the log had at the last contact.
    caught_up: bool

    #: Time since the log last answered, in seconds; infinite if it never has.
    seconds_since_contact: float

    #: Why records cannot be applied; ``None`` while they can.
    block: Optional[Block]

    #: Whether the log has lost records that were already applied.
    lost_tail: bool

    #: The highest schema that this program reads.
    readable_schema_version: int

    #: Checkpoints that this VM appended.
    checkpoints_appended: int


def refusal_to_publish(status: KeeperStatus) -> Optional[Failure]:
    """Returns why a VM in this state cannot decide on a new record; ``None`` if it can."""
    if status.block is not None:
        return Failure(
            ResultCode.CONFIGURATION_UNKNOWN,
            f"this VM cannot apply the log from offset {status.block.offset} on"
            f" ({status.block.reason.value}); publish at another VM",
        )
    if status.lost_tail:
        return Failure(
            ResultCode.LOG_UNAVAILABLE,
            "the log has lost records that are in force; a new record would not be read",
        )
    if not status.caught_up and status.readiness is not Readiness.READY:
        return Failure(
            ResultCode.CONFIGURATION_UNKNOWN,
            "this VM has not read the configuration yet",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    return None
