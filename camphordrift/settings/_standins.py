"""The settings of the stand-ins for the platform and the backend servers."""

from dataclasses import dataclass

from camphordrift.identifiers import BackendServerId, ModelName, ServiceName, VmId, ZoneName
from camphordrift.settings._addresses import SocketAddress


@dataclass(frozen=True)
class LogServiceSettings:
    """The stand-in for the log service."""

    #: Where it listens.
    listen: SocketAddress

    #: Appends that it takes a second, over all streams.
    appends_per_second: float

    #: How long it keeps a record, in seconds.
    retention_seconds: float


@dataclass(frozen=True)
class ListedVm:
    """A VM that the stand-in for the VM list names."""

    #: The VM's name.
    vm_id: VmId

    #: Its availability zone.
    availability_zone: ZoneName

    #: Where it takes streams from other VMs.
    peers: SocketAddress


@dataclass(frozen=True)
class VmListSettings:
    """The stand-in for the list of live and leaving VMs."""

    #: Where it listens.
    listen: SocketAddress

    #: How late it tells of a change, in seconds.
    lag_seconds: float

    #: The VMs that it names at its start.
    vms: tuple[ListedVm, ...]


@dataclass(frozen=True)
class WeightStoreSettings:
    """The stand-in for the weight store."""

    #: Where it listens.
    listen: SocketAddress

    #: Reads that it takes a second.
    reads_per_second: float


@dataclass(frozen=True)
class EngineSettings:
    """One stand-in for a model engine."""

    #: The engine's name.
    engine_id: BackendServerId

    #: Its availability zone.
    availability_zone: ZoneName

    #: Where it listens.
    listen: SocketAddress

    #: Models that are loaded at its start.
    models: tuple[ModelName, ...]

    #: Prompt tokens that it prefills a second.
    prefill_tokens_per_second: float

    #: Tokens that it generates a second for one request that runs alone.
    decode_tokens_per_second: float

    #: Its KV memory, in tokens.
    memory_tokens: int

    #: Requests that it runs at one time.
    max_batch_requests: int

    #: Age of the load that it reports, in seconds.
    load_lag_seconds: float

    #: Age of the cache events that it publishes, in seconds.
    cache_event_lag_seconds: float

    #: True if it refuses orders with an old fencing number.
    checks_fencing: bool


@dataclass(frozen=True)
class PlainServiceSettings:
    """One stand-in for a server of a plain service."""

    #: The server's name.
    server_id: BackendServerId

    #: The service that it belongs to.
    service: ServiceName

    #: Its availability zone.
    availability_zone: ZoneName

    #: Where it listens.
    listen: SocketAddress

    #: Time that one call takes, in seconds.
    call_seconds: float


@dataclass(frozen=True)
class StandinSettings:
    """All stand-ins of one process. Made by ``load_standin_settings``."""

    #: The log service.
    log: LogServiceSettings

    #: The VM list.
    vm_list: VmListSettings

    #: The weight store.
    weight_store: WeightStoreSettings

    #: Where faults are switched on and off, and counts are read.
    control: SocketAddress

    #: The engines.
    engines: tuple[EngineSettings, ...]

    #: The servers of plain services.
    services: tuple[PlainServiceSettings, ...]

    #: The least level that is logged: ``debug``, ``info``, ``warning`` or ``error``.
    logging_level: str
