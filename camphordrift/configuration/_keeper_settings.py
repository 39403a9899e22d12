"""Settings of the configuration keeper."""

from dataclasses import dataclass, field

from camphordrift.platform_log import FollowerSettings

#: Name of the log stream to which operators publish.
CONFIGURATION_STREAM = "configuration"


@dataclass(frozen=True)
class KeeperSettings:
    """How a VM follows the configuration stream and appends checkpoints to it."""

    #: Name of the log stream that holds the configuration.
    stream: str = CONFIGURATION_STREAM

    #: Poll interval, timeouts and backoff for reading the stream.
    follower: FollowerSettings = field(default_factory=FollowerSettings)

    #: Age in seconds of the newest checkpoint at which another is due. It has to be far below the
    #: log's retention time.
    checkpoint_seconds: float = 6 * 3600.0

    #: Another checkpoint is due once more than this number of records follow the newest one.
    checkpoint_records: int = 1_000

    #: Seconds between two checks whether a checkpoint is due.
    checkpoint_check_seconds: float = 5.0

    #: Maximum seconds of the random delay before a VM appends a checkpoint that is due.
    checkpoint_jitter_seconds: float = 30.0

    #: Timeout in seconds for appending a checkpoint.
    checkpoint_append_seconds: float = 30.0

    #: Timeout in seconds for reading the log before a record is checked.
    refresh_seconds: float = 2.0

    #: A single read to the end of the log shows that the VM is up to date only if the read began at
    #: most this number of seconds ago. If the log is slower, two such reads in a row are required.
    fresh_read_seconds: float = 1.0

    #: Seconds without a response of the log after which a VM may serve with a peer's state alone.
    #: Until then, a peer with a newer state may still send it.
    peer_only_after_seconds: float = 3.0

    def __post_init__(self) -> None:
        if self.checkpoint_seconds <= 0 or self.checkpoint_records < 1:
            raise ValueError("checkpoint_seconds and checkpoint_records must be above 0")
        if self.checkpoint_check_seconds <= 0 or self.checkpoint_jitter_seconds < 0:
            raise ValueError(
                "checkpoint_check_seconds must be above 0, checkpoint_jitter_seconds 0 or more"
            )
