"""Whether a VM may serve with the configuration that it has, and when a checkpoint is due."""

from dataclasses import dataclass
from enum import Enum

from camphordrift.configuration._keeper_settings import KeeperSettings
from camphordrift.configuration._replica import ConfigurationReplica
from camphordrift.configuration._state import ConfigurationState


class Readiness(Enum):
    """Whether a VM may serve, and if not, why."""

    #: It may.
    READY = "ready"

    #: It knows no configuration.
    KNOWS_NOTHING = "knows_nothing"

    #: It is still reading what other VMs have long applied.
    NOT_CAUGHT_UP = "not_caught_up"

    #: It cannot apply what another VM has applied.
    BEHIND_A_PEER = "behind_a_peer"


def readiness_of(replica: ConfigurationReplica, was_current: bool) -> Readiness:
    """Returns whether a VM may serve.

    ``was_current`` tells whether it has once read to the end of the log, or has served without the
    log on a peer's state. A VM that was ready stays so while the log is down. One whose fold has
    stopped serves on with its last whole configuration as long as no peer is known to be further:
    then no VM has the unreadable record in force, and turning all of them away would stop the
    fleet.
    """
    if replica.state.version == 0:
        return Readiness.KNOWS_NOTHING
    if not was_current:
        return Readiness.NOT_CAUGHT_UP
    if replica.is_behind_a_peer:
        return Readiness.BEHIND_A_PEER
    return Readiness.READY


@dataclass(frozen=True)
class SourceAges:
    """How old a VM's sources of the configuration are."""

    #: Time since the keeper was made, in seconds.
    running_seconds: float

    #: Time since the newest read of the log that was answered began, in seconds.
    contact_seconds: float

    #: How many reads in a row have found nothing further.
    caught_up_reads: int

    #: Whether a peer's state was taken.
    has_peer_state: bool


def is_current(replica: ConfigurationReplica, ages: SourceAges, settings: KeeperSettings) -> bool:
    """Returns whether no other source can be expected to know more.

    A VM that was paused while it read takes an old answer for a new one, so an answer must be
    fresh or be confirmed by another. Where the fold has stopped, peers get the time to tell that
    they are further. A peer's state alone may be old, too: it is relied on only once the log has
    been silent for long enough that every live peer had the time to hand on its own.
    """
    if replica.block is not None:
        return ages.running_seconds >= settings.peer_only_after_seconds
    if ages.caught_up_reads > 1:
        return True
    if ages.caught_up_reads == 1 and ages.contact_seconds <= settings.fresh_read_seconds:
        return True
    silent_for = min(ages.contact_seconds, ages.running_seconds)
    return ages.has_peer_state and silent_for >= settings.peer_only_after_seconds


def is_checkpoint_due(state: ConfigurationState, settings: KeeperSettings, wall_now: float) -> bool:
    """Returns whether the log needs a checkpoint; ``wall_now`` is in seconds since 1970."""
    if state.version == 0:
        return False
    newest = state.checkpoint
    if newest is None:
        return True
    if state.offset - newest.offset > settings.checkpoint_records:
        return True
    return wall_now - newest.appended_at >= settings.checkpoint_seconds
