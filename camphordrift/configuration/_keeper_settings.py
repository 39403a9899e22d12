"""Numbers of the configuration's keeper."""

from dataclasses import dataclass, field

from camphordrift.platform_log import FollowerSettings

#: The stream that operators publish to.
CONFIGURATION_STREAM = "configuration"


@dataclass(frozen=True)
class KeeperSettings:
    """How a VM follows the configuration and keeps it in the log."""

    #: The stream.
    stream: str = CONFIGURATION_STREAM

    #: How the stream is read.
    follower: FollowerSettings = field(default_factory=FollowerSettings)

    #: A checkpoint is due this long after the last, in seconds; far below the log's retention.
    checkpoint_seconds: float = 6 * 3600.0

    #: A checkpoint is due after this many records.
    checkpoint_records: int = 1_000

    #: Time between looks at whether a checkpoint is due, in seconds.
    checkpoint_check_seconds: float = 5.0

    #: Each VM waits up to this long before it appends a checkpoint that is due, in seconds.
    checkpoint_jitter_seconds: float = 30.0

    #: Time given to append a checkpoint, in seconds.
    checkpoint_append_seconds: float = 30.0

    #: Longest wait for news from the log before a record is looked at, in seconds.
    refresh_seconds: float = 2.0

    #: A read of the log that began no longer ago than this shows what is in force, in seconds. If
    #: the log is slower, it takes two reads in a row.
    fresh_read_seconds: float = 1.0

    #: A VM that has a peer's state serves with it without the log only after the log has not
    #: answered for this long, in seconds; until then a peer with a newer state may turn up.
    peer_only_after_seconds: float = 3.0

    def __post_init__(self) -> None:
        if self.checkpoint_seconds <= 0 or self.checkpoint_records < 1:
            raise ValueError("checkpoints must be due after a positive time and number of records")
        if self.checkpoint_check_seconds <= 0 or self.checkpoint_jitter_seconds < 0:
            raise ValueError("the looks must be apart and the spread not negative")
