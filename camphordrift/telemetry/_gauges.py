"""The gauge metrics, whose values are read from components when metrics are collected."""

from enum import Enum


class ObservedGauge(Enum):
    """A gauge with its metric name and description.

    A gauge stores no value. :meth:`Metrics.observe` registers the function that reads the current
    value from a component; it is called once for each gauge.
    """

    READY = ("ready", "1 while the VM accepts requests, 0 otherwise.")
    DRAINING = ("draining", "1 from the start of a graceful shutdown, 0 before.")
    REQUESTS_RUNNING = ("requests_running", "Requests of known accounts that have not ended.")
    BODY_BYTES_HELD = ("body_bytes_held", "Bytes of request bodies held in memory.")
    ASKS_WAITING = ("asks_waiting", "Grant requests for an engine waiting in this VM's queues.")
    ENGINES_KNOWN = ("engines_known", "Engines in the configuration.")
    ENGINES_ANSWERING = (
        "engines_answering",
        "Engines that respond to polls of their load.",
    )
    CONFIGURATION_VERSION = (
        "configuration_version",
        "Configuration version in force; 0 while none is known.",
    )
    CONFIGURATION_BLOCKED = (
        "configuration_blocked",
        "1 while a configuration record cannot be applied.",
    )
    LOG_CONTACT_AGE_SECONDS = (
        "log_contact_age_seconds",
        "Time since the last response of the log service.",
    )
    LOG_APPENDS_WAITING = ("log_appends_waiting", "Records waiting to be appended to the log.")
    MEMBERS_LIVE = ("members_live", "Live entry VMs, including this one.")
    MEMBERS_SUSPECTED = (
        "members_suspected",
        "Entry VMs suspected to have failed, as they did not respond to probes.",
    )
    PEERS_CONNECTED = ("peers_connected", "Other VMs to which this VM has an open connection.")

    def __init__(self, metric_name: str, description: str) -> None:
        self.metric_name = metric_name
        self.description = description
