"""Follows the configuration and the directory of servers on the store.

May hold what reads and writes the keyed log, and what depends on the age of those reads. Imports
:mod:`camphordrift.relay.peers` and what that imports.
"""

from camphordrift.relay.store._configuration_lease import ConfigurationLease, boot_time_clock
from camphordrift.relay.store._configuration_watcher import (
    MAX_CONFIGURATION_AGE,
    ConfigurationWatcher,
)
from camphordrift.relay.store._counted_log import CountedLog
from camphordrift.relay.store._evacuation_records import EvacuationRecords
from camphordrift.relay.store._pending_versions import PendingVersions
from camphordrift.relay.store._quarantine_records import QuarantineRecords
from camphordrift.relay.store._routing_table import RoutingTable, choose_service
from camphordrift.relay.store._servers_watcher import ServersWatcher
from camphordrift.relay.store._store_era import EraCheckedLog, StoreEraTracker

__all__ = [
    "ConfigurationLease",
    "ConfigurationWatcher",
    "CountedLog",
    "EraCheckedLog",
    "EvacuationRecords",
    "MAX_CONFIGURATION_AGE",
    "PendingVersions",
    "QuarantineRecords",
    "RoutingTable",
    "ServersWatcher",
    "StoreEraTracker",
    "boot_time_clock",
    "choose_service",
]
