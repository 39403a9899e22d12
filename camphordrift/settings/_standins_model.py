"""The TOML model of the stand-ins' settings, and its conversion to ``StandinSettings``."""

from pydantic import Field

from camphordrift.identifiers import BackendServerId, ModelName, ServiceName, VmId
from camphordrift.identifiers import ZoneName as ZoneNameId
from camphordrift.settings._entry_model import LoggingModel
from camphordrift.settings._fields import (
    Count,
    ListenAddress,
    Name,
    PeerAddress,
    PerSecond,
    Seconds,
    SecondsOrZero,
    SettingsModel,
    Switch,
    ZoneName,
)
from camphordrift.settings._standins import (
    EngineSettings,
    ListedVm,
    LogServiceSettings,
    PlainServiceSettings,
    StandinSettings,
    VmListSettings,
    WeightStoreSettings,
)


class LogServiceModel(SettingsModel):
    """The simulated log service."""

    listen: ListenAddress = Field(description="The listening address.")
    appends_per_second: PerSecond = Field(
        default=300.0, description="Maximum appends per second, over all streams."
    )
    retention_seconds: Seconds = Field(default=86_400.0, description="Retention time of a record.")


class ListedVmModel(SettingsModel):
    """A VM in the simulated VM list."""

    id: Name = Field(description="The VM's name.")
    availability_zone: ZoneName = Field(description="The availability zone.")
    peers: PeerAddress = Field(description="The address that other VMs connect to.")


class VmListModel(SettingsModel):
    """The simulated list of running and draining VMs."""

    listen: ListenAddress = Field(description="The listening address.")
    lag_seconds: SecondsOrZero = Field(
        default=5.0, description="Delay until a change appears in the list."
    )
    vms: list[ListedVmModel] = Field(
        default_factory=list, description="The VMs in the list at startup."
    )


class WeightStoreModel(SettingsModel):
    """The simulated weight store."""

    listen: ListenAddress = Field(description="The listening address.")
    reads_per_second: PerSecond = Field(default=2.0, description="Maximum reads per second.")


class ControlModel(SettingsModel):
    """The port for injecting faults into the stand-ins."""

    listen: ListenAddress = Field(description="The listening address.")


class EngineModel(SettingsModel):
    """One simulated model engine."""

    id: Name = Field(description="The engine's name.")
    availability_zone: ZoneName = Field(description="The availability zone.")
    listen: ListenAddress = Field(description="The listening address.")
    models: list[Name] = Field(description="Models that are loaded at startup.")
    prefill_tokens_per_second: PerSecond = Field(
        default=8_000.0, description="Prompt tokens prefilled per second."
    )
    decode_tokens_per_second: PerSecond = Field(
        default=50.0, description="Output tokens decoded per second while one request runs alone."
    )
    memory_tokens: Count = Field(default=400_000, description="Size of the KV memory, in tokens.")
    max_batch_requests: Count = Field(default=32, description="Maximum requests in a batch.")
    load_lag_seconds: SecondsOrZero = Field(default=0.5, description="Age of the reported load.")
    cache_event_lag_seconds: SecondsOrZero = Field(
        default=1.0, description="Age of the published cache events."
    )
    checks_fencing: Switch = Field(
        default=True,
        description="Whether the engine rejects orders with an outdated fencing number.",
    )


class PlainServiceModel(SettingsModel):
    """One simulated server of a plain service."""

    id: Name = Field(description="The server's name.")
    service: Name = Field(description="The service that it belongs to.")
    availability_zone: ZoneName = Field(description="The availability zone.")
    listen: ListenAddress = Field(description="The listening address.")
    call_seconds: SecondsOrZero = Field(default=0.02, description="Duration of one call.")


class StandinsModel(SettingsModel):
    """The settings file of a stand-in process."""

    log: LogServiceModel = Field(description="The simulated log service.")
    vm_list: VmListModel = Field(description="The simulated list of VMs.")
    weight_store: WeightStoreModel = Field(description="The simulated weight store.")
    control: ControlModel = Field(description="The port for injecting faults.")
    engines: list[EngineModel] = Field(
        default_factory=list, description="The simulated model engines."
    )
    services: list[PlainServiceModel] = Field(
        default_factory=list, description="The simulated servers of plain services."
    )
    logging: LoggingModel = Field(default_factory=LoggingModel, description="Settings of the log.")


def to_standin_settings(model: StandinsModel) -> StandinSettings:
    """Converts a validated model."""
    return StandinSettings(
        log=LogServiceSettings(
            model.log.listen, model.log.appends_per_second, model.log.retention_seconds
        ),
        vm_list=_to_vm_list(model.vm_list),
        weight_store=WeightStoreSettings(
            model.weight_store.listen, model.weight_store.reads_per_second
        ),
        control=model.control.listen,
        engines=tuple(_to_engine(engine) for engine in model.engines),
        services=tuple(_to_plain_service(server) for server in model.services),
        logging_level=model.logging.level,
    )


def _to_vm_list(model: VmListModel) -> VmListSettings:
    vms = tuple(
        ListedVm(VmId(vm.id), ZoneNameId(vm.availability_zone), vm.peers) for vm in model.vms
    )
    return VmListSettings(model.listen, model.lag_seconds, vms)


def _to_engine(model: EngineModel) -> EngineSettings:
    return EngineSettings(
        engine_id=BackendServerId(model.id),
        availability_zone=ZoneNameId(model.availability_zone),
        listen=model.listen,
        models=tuple(ModelName(name) for name in model.models),
        prefill_tokens_per_second=model.prefill_tokens_per_second,
        decode_tokens_per_second=model.decode_tokens_per_second,
        memory_tokens=model.memory_tokens,
        max_batch_requests=model.max_batch_requests,
        load_lag_seconds=model.load_lag_seconds,
        cache_event_lag_seconds=model.cache_event_lag_seconds,
        checks_fencing=model.checks_fencing,
    )


def _to_plain_service(model: PlainServiceModel) -> PlainServiceSettings:
    return PlainServiceSettings(
        server_id=BackendServerId(model.id),
        service=ServiceName(model.service),
        availability_zone=ZoneNameId(model.availability_zone),
        listen=model.listen,
        call_seconds=model.call_seconds,
    )
