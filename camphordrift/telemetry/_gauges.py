"""Quantities that are read from the components when the metrics are collected."""

from enum import Enum


class ObservedGauge(Enum):
    """A quantity that a component knows at any time, so that nobody has to count it.

    Each is registered once by :meth:`Metrics.observe` with a function that returns it.
    """

    READY = ("ready", "1 while the VM takes requests, 0 while it does not.")
    DRAINING = ("draining", "1 from the start of a planned stop on.")
    REQUESTS_RUNNING = ("requests_running", "Requests admitted and not ended.")
    BODY_BYTES_HELD = ("body_bytes_held", "Bytes of request bodies in memory.")
    ASKS_WAITING = ("asks_waiting", "Asks for an engine that wait in this VM's queues.")
    ENGINES_KNOWN = ("engines_known", "Engines in the configuration.")
    ENGINES_ANSWERING = ("engines_answering", "Engines whose load could be read lately.")
    CONFIGURATION_VERSION = (
        "configuration_version",
        "Version in force; 0 while none is known.",
    )
    CONFIGURATION_BLOCKED = (
        "configuration_blocked",
        "1 while a record cannot be applied.",
    )
    LOG_CONTACT_AGE_SECONDS = (
        "log_contact_age_seconds",
        "Time since the log service last answered.",
    )
    LOG_APPENDS_WAITING = ("log_appends_waiting", "Records that wait to be appended.")
    MEMBERS_LIVE = ("members_live", "Entry VMs that count as live, this one included.")
    MEMBERS_SUSPECTED = ("members_suspected", "Entry VMs that have been silent too long.")
    PEERS_CONNECTED = ("peers_connected", "Other VMs to which a stream of this VM works.")

    def __init__(self, metric_name: str, description: str) -> None:
        self.metric_name = metric_name
        self.description = description
