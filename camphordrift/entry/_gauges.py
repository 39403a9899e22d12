"""Registers each gauge metric with the component that provides its value."""

from collections.abc import Callable
from dataclasses import dataclass

from camphordrift.configuration import ConfigurationKeeper
from camphordrift.entry._engine_poller import EnginePoller
from camphordrift.entry._graceful_shutdown import GracefulShutdown
from camphordrift.entry._log_access import LogAccess
from camphordrift.entry._peer_access import PeerAccess
from camphordrift.entry._readiness import ReadinessCheck
from camphordrift.gateway import ActiveRequests, BodyMemory
from camphordrift.membership import Health
from camphordrift.routing import LocalGrantSource
from camphordrift.telemetry import Metrics, ObservedGauge


@dataclass(frozen=True)
class GaugeSources:
    """The components of an entry VM's process that provide values of gauges."""

    #: Decides whether the VM accepts requests.
    readiness: ReadinessCheck

    #: Executes a graceful shutdown.
    shutdown: GracefulShutdown

    #: Admitted requests that have not ended.
    active: ActiveRequests

    #: Memory budget for request bodies.
    body_memory: BodyMemory

    #: Scheduler that queues grant requests on this VM.
    grants: LocalGrantSource

    #: Polls the engines' load.
    engine_poller: EnginePoller

    #: Follows the configuration in the log.
    keeper: ConfigurationKeeper

    #: Clients of the log service.
    log: LogAccess

    #: Connections to other VMs and the membership.
    peers: PeerAccess


def observe_gauges(metrics: Metrics, sources: GaugeSources) -> None:
    """Registers every gauge with the function that reads its value."""
    for gauge, read in _readers(sources):
        metrics.observe(gauge, read)


def _readers(sources: GaugeSources) -> tuple[tuple[ObservedGauge, Callable[[], float]], ...]:
    keeper, view = sources.keeper, sources.peers.membership.view
    return (
        (ObservedGauge.READY, lambda: sources.readiness.refusal_for_balancer() is None),
        (ObservedGauge.DRAINING, lambda: not sources.shutdown.controller.is_ready),
        (ObservedGauge.REQUESTS_RUNNING, lambda: sources.active.count),
        (ObservedGauge.BODY_BYTES_HELD, lambda: sources.body_memory.used_bytes),
        (ObservedGauge.ASKS_WAITING, lambda: sources.grants.waiting_count),
        (ObservedGauge.ENGINES_KNOWN, lambda: _engines_known(keeper)),
        (ObservedGauge.ENGINES_ANSWERING, lambda: sources.engine_poller.reachable_count),
        (ObservedGauge.CONFIGURATION_VERSION, lambda: keeper.status.version),
        (ObservedGauge.CONFIGURATION_BLOCKED, lambda: keeper.status.block is not None),
        (ObservedGauge.LOG_CONTACT_AGE_SECONDS, lambda: keeper.status.seconds_since_contact),
        (ObservedGauge.LOG_APPENDS_WAITING, lambda: sources.log.writer.statistics.waiting),
        (ObservedGauge.MEMBERS_LIVE, lambda: len(view.live_vms)),
        (
            ObservedGauge.MEMBERS_SUSPECTED,
            lambda: sum(record.health is Health.SUSPECT for record in view.records),
        ),
        (ObservedGauge.PEERS_CONNECTED, lambda: sources.peers.network.connected_count),
    )


def _engines_known(keeper: ConfigurationKeeper) -> int:
    snapshot = keeper.snapshot
    return 0 if snapshot is None else len(snapshot.engines())
