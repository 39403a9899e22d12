"""Which component knows which of the levels that are shown with the metrics."""

from collections.abc import Callable
from dataclasses import dataclass

from camphordrift.configuration import ConfigurationKeeper
from camphordrift.entry._engine_poller import EnginePoller
from camphordrift.entry._log_access import LogAccess
from camphordrift.entry._peer_access import PeerAccess
from camphordrift.entry._readiness import ReadinessCheck
from camphordrift.entry._stop import PlannedStop
from camphordrift.gateway import ActiveRequests, BodyMemory
from camphordrift.membership import Health
from camphordrift.routing import LocalGrantSource
from camphordrift.telemetry import Metrics, ObservedLevel


@dataclass(frozen=True)
class LevelSources:
    """The components of an entry VM's process that know a level."""

    #: Whether the VM takes requests.
    readiness: ReadinessCheck

    #: The graceful shutdown.
    stop: PlannedStop

    #: Admitted requests.
    active: ActiveRequests

    #: Memory for bodies.
    body_memory: BodyMemory

    #: The queues for engines.
    grants: LocalGrantSource

    #: What is read from the engines.
    watch: EnginePoller

    #: The configuration.
    keeper: ConfigurationKeeper

    #: The log service.
    log: LogAccess

    #: Streams to other VMs, and the view of the fleet.
    peers: PeerAccess


def observe_levels(metrics: Metrics, sources: LevelSources) -> None:
    """Registers every level with the component that knows it."""
    for level, read in _readers(sources):
        metrics.observe(level, read)


def _readers(sources: LevelSources) -> tuple[tuple[ObservedLevel, Callable[[], float]], ...]:
    keeper, view = sources.keeper, sources.peers.membership.view
    return (
        (ObservedLevel.READY, lambda: sources.readiness.for_balancer() is None),
        (ObservedLevel.DRAINING, lambda: not sources.stop.controller.is_ready),
        (ObservedLevel.REQUESTS_RUNNING, lambda: sources.active.count),
        (ObservedLevel.BODY_BYTES_HELD, lambda: sources.body_memory.used_bytes),
        (ObservedLevel.ASKS_WAITING, lambda: sources.grants.waiting_count),
        (ObservedLevel.ENGINES_KNOWN, lambda: _engines_known(keeper)),
        (ObservedLevel.ENGINES_ANSWERING, lambda: sources.watch.answering_count),
        (ObservedLevel.CONFIGURATION_VERSION, lambda: keeper.status.version),
        (ObservedLevel.CONFIGURATION_BLOCKED, lambda: keeper.status.block is not None),
        (ObservedLevel.LOG_CONTACT_AGE_SECONDS, lambda: keeper.status.seconds_since_contact),
        (ObservedLevel.LOG_APPENDS_WAITING, lambda: sources.log.writer.statistics.waiting),
        (ObservedLevel.MEMBERS_LIVE, lambda: len(view.live_vms)),
        (
            ObservedLevel.MEMBERS_SUSPECTED,
            lambda: sum(record.health is Health.SUSPECT for record in view.records),
        ),
        (ObservedLevel.PEERS_CONNECTED, lambda: sources.peers.network.connected_count),
    )


def _engines_known(keeper: ConfigurationKeeper) -> int:
    snapshot = keeper.snapshot
    return 0 if snapshot is None else len(snapshot.engines())
