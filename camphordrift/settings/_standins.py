"""The settings of the stand-ins that simulate the platform and the backend servers."""

from dataclasses import dataclass

from camphordrift.identifiers import BackendServerId, ModelName, ServiceName, VmId, ZoneName
from camphordrift.settings._addresses import SocketAddress


@dataclass(frozen=True)
class LogServiceSettings:
    """Settings of the simulated log service."""

    #: The listening address.
    listen: SocketAddress

    #: Maximum appends per second, over all streams.
    appends_per_second: float

    #: Retention time of a record, in seconds.
    retention_seconds: float


@dataclass(frozen=True)
class ListedVm:
    """A VM in the simulated VM list."""

    #: The VM's name.
    vm_id: VmId

    #: Its availability zone.
    availability_zone: ZoneName

    #: The address that other VMs connect to.
    peers: SocketAddress


@dataclass(frozen=True)
class VmListSettings:
    """Settings of the simulated list of running and draining VMs."""

    #: The listening address.
    listen: SocketAddress

    #: Delay until a change appears in the list, in seconds.
    lag_seconds: float

    #: The VMs in the list at startup.
    vms: tuple[ListedVm, ...]


@dataclass(frozen=True)
class WeightStoreSettings:
    """Settings of the simulated weight store."""

    #: The listening address.
    listen: SocketAddress

    #: Maximum reads per second.
    reads_per_second: float


@dataclass(frozen=True)
class EngineSettings:
    """Settings of one simulated model engine."""

    #: The engine's name.
    engine_id: BackendServerId

    #: Its availability zone.
    availability_zone: ZoneName

    #: The listening address.
    listen: SocketAddress

    #: Models that are loaded at startup.
    models: tuple[ModelName, ...]

    #: Prompt tokens prefilled per second.
    prefill_tokens_per_second: float

    #: Output tokens decoded per second while one request runs alone.
    decode_tokens_per_second: float

    #: Size of the KV memory, in tokens.
    memory_tokens: int

    #: Maximum requests in a batch.
    max_batch_requests: int

    #: Age of the reported load, in seconds.
    load_lag_seconds: float

    #: Age of the published cache events, in seconds.
    cache_event_lag_seconds: float

    #: True if the engine rejects orders with an outdated fencing number.
    checks_fencing: bool


@dataclass(frozen=True)
class PlainServiceSettings:
    """Settings of one simulated server of a plain service."""

    #: The server's name.
    server_id: BackendServerId

    #: The service that it belongs to.
    service: ServiceName

    #: Its availability zone.
    availability_zone: ZoneName

    #: The listening address.
    listen: SocketAddress

    #: Duration of one call, in seconds.
    call_seconds: float


@dataclass(frozen=True)
class StandinSettings:
    """All stand-ins of one process, as returned by ``load_standin_settings``."""

    #: The log service.
    log: LogServiceSettings

    #: The VM list.
    vm_list: VmListSettings

    #: The weight store.
    weight_store: WeightStoreSettings

    #: The address for injecting faults and reading counters.
    control: SocketAddress

    #: The engines.
    engines: tuple[EngineSettings, ...]

    #: The servers of plain services.
    services: tuple[PlainServiceSettings, ...]

    #: The minimum level that is logged: ``debug``, ``info``, ``warning`` or ``error``.
    logging_level: str
