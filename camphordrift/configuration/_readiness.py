"""Decides whether a VM may serve with its configuration, and when a checkpoint is due."""

from dataclasses import dataclass
from enum import Enum

from camphordrift.configuration._keeper_settings import KeeperSettings
from camphordrift.configuration._replica import ConfigurationReplica
from camphordrift.configuration._state import ConfigurationState


class Readiness(Enum):
    """Whether a VM may serve requests, and if not, why."""

    #: The VM has an up-to-date configuration and may serve requests.
    READY = "ready"

    #: The VM has received no configuration yet.
    KNOWS_NOTHING = "knows_nothing"

    #: The VM may lack records that other VMs have applied already.
    NOT_CAUGHT_UP = "not_caught_up"

    #: The VM cannot apply a record that another VM has applied.
    BEHIND_A_PEER = "behind_a_peer"


def readiness_of(replica: ConfigurationReplica, was_current: bool) -> Readiness:
    """Returns whether a VM may serve requests, and if not, why.

    ``was_current`` is whether :func:`is_current` has ever been true. A VM that was ready stays
    ready while the log is unavailable. A VM that is blocked keeps serving with its last complete
    configuration as long as no peer is known to be ahead of it: then no VM has applied the
    unreadable record, and making every blocked VM unready would stop the whole fleet.
    """
    if replica.state.version == 0:
        return Readiness.KNOWS_NOTHING
    if not was_current:
        return Readiness.NOT_CAUGHT_UP
    if replica.is_behind_a_peer:
        return Readiness.BEHIND_A_PEER
    return Readiness.READY


@dataclass(frozen=True)
class SourceFreshness:
    """How recently the log and the peers have provided a VM with the configuration."""

    #: Seconds since the keeper was created.
    seconds_since_start: float

    #: Seconds since the last successful read of the log began; infinite if there was none.
    seconds_since_contact: float

    #: Number of consecutive successful reads that ended at the end of the log.
    consecutive_caught_up_reads: int

    #: Whether a peer's state has been adopted.
    has_peer_state: bool


def is_current(
    replica: ConfigurationReplica, freshness: SourceFreshness, settings: KeeperSettings
) -> bool:
    """Returns whether the replica is up to date, as far as the VM can tell.

    A VM whose process stalled during a read could take an old response for a current one, so the
    read must be recent or be confirmed by a second one. A blocked VM waits, so that peers have time
    to report that they are ahead. A peer's state may be outdated as well, so it is sufficient only
    after the log has not responded for long enough that every live peer could send its own state.
    """
    if replica.block is not None:
        return freshness.seconds_since_start >= settings.peer_only_after_seconds
    if freshness.consecutive_caught_up_reads > 1:
        return True
    if (
        freshness.consecutive_caught_up_reads == 1
        and freshness.seconds_since_contact <= settings.fresh_read_seconds
    ):
        return True
    unreachable_seconds = min(freshness.seconds_since_contact, freshness.seconds_since_start)
    return freshness.has_peer_state and unreachable_seconds >= settings.peer_only_after_seconds


def is_checkpoint_due(state: ConfigurationState, settings: KeeperSettings, wall_now: float) -> bool:
    """Returns whether a checkpoint is due; ``wall_now`` is the time in seconds since 1970."""
    if state.version == 0:
        return False
    newest = state.checkpoint
    if newest is None:
        return True
    if state.offset - newest.offset > settings.checkpoint_records:
        return True
    return wall_now - newest.appended_at >= settings.checkpoint_seconds
