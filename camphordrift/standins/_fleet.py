"""Serves all stand-ins of one fleet over HTTP, in one process."""

import time
from collections.abc import Iterator, Sequence
from typing import Any

import trio

from camphordrift.http_server import serve_http
from camphordrift.identifiers import BackendServerId, ZoneName
from camphordrift.settings import (
    EngineSettings,
    SocketAddress,
    StandinSettings,
)
from camphordrift.standins._control import StandinControl, control_app
from camphordrift.standins._engine_parameters import EngineParameters
from camphordrift.standins._engines import InMemoryEngines
from camphordrift.standins._http_engine import engine_app
from camphordrift.standins._http_log import log_app
from camphordrift.standins._log_service import InMemoryLogService, LogLimits
from camphordrift.standins._plain_service import (
    BookingStore,
    PlainServiceFaults,
    plain_service_app,
)
from camphordrift.standins._vm_list import StandinVmList, vm_list_app
from camphordrift.standins._weight_store import StandinWeightStore, weight_store_app

#: Seconds between two checks whether an engine was killed or restarted.
ENGINE_POLL_SECONDS = 0.02


class StandinFleet:
    """Runs the stand-ins for the platform's services and all backend servers of one fleet.

    Example::

        fleet = StandinFleet(settings)
        await nursery.start(fleet.run)
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        parameters = [_engine_parameters(engine) for engine in settings.engines]
        self._engines = InMemoryEngines(parameters, network_delay_seconds=0.0, seed=1)
        limits = LogLimits(
            appends_per_second=settings.log.appends_per_second,
            retention_seconds=settings.log.retention_seconds,
        )
        self._log = InMemoryLogService(time.time, limits)
        self._vm_list = StandinVmList(time.monotonic, settings.vm_list.lag_seconds)
        self._vm_list.set_entries(_listed_vms(settings))
        self._weight_store = StandinWeightStore(
            time.monotonic, settings.weight_store.reads_per_second
        )
        self._bookings = BookingStore()
        self._plain_service_faults = {
            str(service.server_id): PlainServiceFaults(delay_seconds=service.call_seconds)
            for service in settings.services
        }
        self._control = StandinControl(
            self._engines, self._log, self._vm_list, self._bookings, self._plain_service_faults
        )

    @property
    def control(self) -> StandinControl:
        """The control through which faults are injected into the stand-ins."""
        return self._control

    @property
    def engines(self) -> InMemoryEngines:
        """The stand-in engines."""
        return self._engines

    @property
    def log(self) -> InMemoryLogService:
        """The stand-in log service."""
        return self._log

    @property
    def bookings(self) -> BookingStore:
        """The bookings that the plain service's servers have run."""
        return self._bookings

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves all stand-ins until cancelled.

        Calls ``task_status.started`` once all ports are open.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._engines.run)
            for app, listen in self._apps():
                await nursery.start(serve_http, app, listen)
            for engine in self._settings.engines:
                await nursery.start(self._run_engine, engine)
            task_status.started()

    def _apps(self) -> Sequence[tuple[Any, SocketAddress]]:
        settings = self._settings
        apps: list[tuple[Any, SocketAddress]] = [
            (log_app(self._log), settings.log.listen),
            (vm_list_app(self._vm_list), settings.vm_list.listen),
            (weight_store_app(self._weight_store), settings.weight_store.listen),
            (control_app(self._control), settings.control),
        ]
        for service in settings.services:
            faults = self._plain_service_faults[str(service.server_id)]
            app = plain_service_app(self._bookings, faults, f"/{service.service}")
            apps.append((app, service.listen))
        return apps

    async def _run_engine(
        self, engine: EngineSettings, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves one engine; while it is killed, its port and its connections are closed."""
        app = engine_app(self._engines, engine.engine_id)
        while True:
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, app, engine.listen)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                await self._wait_until(engine.engine_id, alive=False)
                nursery.cancel_scope.cancel()
            await self._wait_until(engine.engine_id, alive=True)

    async def _wait_until(self, engine_id: BackendServerId, alive: bool) -> None:
        while self._engines.is_alive(engine_id) is not alive:
            await trio.sleep(ENGINE_POLL_SECONDS)


def _engine_parameters(settings: EngineSettings) -> EngineParameters:
    return EngineParameters(
        engine_id=settings.engine_id,
        models=settings.models,
        prefill_tokens_per_second=settings.prefill_tokens_per_second,
        step_seconds=1.0 / settings.decode_tokens_per_second,
        memory_tokens=settings.memory_tokens,
        max_running_requests=settings.max_batch_requests,
        load_lag_seconds=settings.load_lag_seconds,
        cache_event_lag_seconds=settings.cache_event_lag_seconds,
        checks_fencing=settings.checks_fencing,
    )


def _listed_vms(settings: StandinSettings) -> tuple[dict[str, Any], ...]:
    entries: list[dict[str, Any]] = [
        {
            "vm_id": vm.vm_id,
            "address": vm.peers.host,
            "peer_port": vm.peers.port,
            "zone": vm.availability_zone,
            "leaving": False,
        }
        for vm in settings.vm_list.vms
    ]
    for server_id, zone, listen in _backend_servers(settings):
        url = f"http://{listen}"
        entries.append({"vm_id": server_id, "url": url, "zone": zone, "leaving": False})
    return tuple(entries)


def _backend_servers(
    settings: StandinSettings,
) -> Iterator[tuple[BackendServerId, ZoneName, SocketAddress]]:
    for engine in settings.engines:
        yield engine.engine_id, engine.availability_zone, engine.listen
    for service in settings.services:
        yield service.server_id, service.availability_zone, service.listen
