"""Settings of the configuration keeper."""

from dataclasses import dataclass, field

from camphordrift.platform_log import FollowerSettings

#: The stream that operators publish to.
CONFIGURATION_STREAM = "configuration"


@dataclass(frozen=True)
class KeeperSettings:
    """How a VM follows the configuration stream and appends checkpoints to it."""

    #: Name of the stream.
    stream: str = CONFIGURATION_STREAM

    #: How the stream is read.
    follower: FollowerSettings = field(default_factory=FollowerSettings)

    #: Maximum age of the newest checkpoint before another is due, in seconds. It has to be far
    #: below the log's retention time.
    checkpoint_seconds: float = 6 * 3600.0

    #: Number of records after the newest checkpoint beyond which another is due.
    checkpoint_records: int = 1_000

    #: Interval between checks whether a checkpoint is due, in seconds.
    checkpoint_check_seconds: float = 5.0

    #: Upper bound of the random delay before a VM appends a checkpoint that is due, in seconds.
    checkpoint_jitter_seconds: float = 30.0

    #: Timeout for appending a checkpoint, in seconds.
    checkpoint_append_seconds: float = 30.0

    #: Timeout for reading the log before a record is checked, in seconds.
    refresh_seconds: float = 2.0

    #: A single read to the end of the log counts as current only if it began at most this long ago,
    #: in seconds. If the log is slower, two reads in a row are required.
    fresh_read_seconds: float = 1.0

    #: A VM with a peer's state may serve without the log only after the log has not responded for
    #: this long, in seconds. Until then, a peer with a newer state may still send it.
    peer_only_after_seconds: float = 3.0

    def __post_init__(self) -> None:
        if self.checkpoint_seconds <= 0 or self.checkpoint_records < 1:
            raise ValueError("checkpoint_seconds and checkpoint_records must be above 0")
        if self.checkpoint_check_seconds <= 0 or self.checkpoint_jitter_seconds < 0:
            raise ValueError(
                "checkpoint_check_seconds must be above 0, checkpoint_jitter_seconds 0 or more"
            )
