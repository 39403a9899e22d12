"""Makes the VMs act together: the leader, its followers, and what is sent between them.

May hold the election and the sessions between leader and followers. Imports
:mod:`camphordrift.relay.store`, :mod:`camphordrift.relay.peers` and what these import.
"""

from camphordrift.relay.fleet._dispatcher import Dispatcher
from camphordrift.relay.fleet._leader_election import LeaderElection
from camphordrift.relay.fleet._update_distribution import UpdateDistributor

__all__ = [
    "Dispatcher",
    "LeaderElection",
    "UpdateDistributor",
]
