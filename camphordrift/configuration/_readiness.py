"""Whether a VM may serve with the configuration that it has, and when a checkpoint is due."""

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
