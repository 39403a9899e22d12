"""The TOML form of the stand-ins' settings, and its conversion."""

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
    """The stand-in for the log service."""

    listen: ListenAddress = Field(description="Where it listens.")
    appends_per_second: PerSecond = Field(
        default=300.0, description="Appends that it takes a second, over all streams."
    )
    retention_seconds: Seconds = Field(default=86_400.0, description="How long it keeps a record.")


class ListedVmModel(SettingsModel):
    """A VM that the stand-in for the VM list names."""

    id: Name = Field(description="The VM's name.")
    availability_zone: ZoneName = Field(description="Its availability zone.")
    peers: PeerAddress = Field(description="Where it takes streams from other VMs.")


class VmListModel(SettingsModel):
    """The stand-in for the list of live and leaving VMs."""

    listen: ListenAddress = Field(description="Where it listens.")
    lag_seconds: SecondsOrZero = Field(default=5.0, description="How late it tells of a change.")
    vms: list[ListedVmModel] = Field(
        default_factory=list, description="The VMs that it names at its start."
    )


class WeightStoreModel(SettingsModel):
    """The stand-in for the weight store."""

    listen: ListenAddress = Field(description="Where it listens.")
    reads_per_second: PerSecond = Field(default=2.0, description="Reads that it takes a second.")


class ControlModel(SettingsModel):
    """The switches of the stand-ins' faults."""

    listen: ListenAddress = Field(description="Where it listens.")


class EngineModel(SettingsModel):
    """One stand-in for a model engine."""

    id: Name = Field(description="The engine's name.")
    availability_zone: ZoneName = Field(description="Its availability zone.")
    listen: ListenAddress = Field(description="Where it listens.")
    models: list[Name] = Field(description="Models that are loaded at its start.")
    prefill_tokens_per_second: PerSecond = Field(
        default=8_000.0, description="Prompt tokens that it prefills a second."
    )
    decode_tokens_per_second: PerSecond = Field(
        default=50.0, description="Tokens that it generates a second for one request alone."
    )
    memory_tokens: Count = Field(default=400_000, description="Its KV memory, in tokens.")
    max_batch_requests: Count = Field(default=32, description="Requests that it runs at one time.")
    load_lag_seconds: SecondsOrZero = Field(
        default=0.5, description="Age of the load that it reports."
    )
    cache_event_lag_seconds: SecondsOrZero = Field(
        default=1.0, description="Age of the cache events that it publishes."
    )
    checks_fencing: Switch = Field(
        default=True, description="Whether it refuses orders with an old fencing number."
    )


class PlainServiceModel(SettingsModel):
    """One stand-in for a server of a plain service."""

    id: Name = Field(description="The server's name.")
    service: Name = Field(description="The service that it belongs to.")
    availability_zone: ZoneName = Field(description="Its availability zone.")
    listen: ListenAddress = Field(description="Where it listens.")
    call_seconds: SecondsOrZero = Field(default=0.02, description="Time that one call takes.")


class StandinsModel(SettingsModel):
    """The settings file of a process of stand-ins."""

    log: LogServiceModel = Field(description="The log service.")
    vm_list: VmListModel = Field(description="The list of live and leaving VMs.")
    weight_store: WeightStoreModel = Field(description="The weight store.")
    control: ControlModel = Field(description="The switches of the stand-ins' faults.")
    engines: list[EngineModel] = Field(default_factory=list, description="The engines.")
    services: list[PlainServiceModel] = Field(
        default_factory=list, description="The servers of plain services."
    )
    logging: LoggingModel = Field(default_factory=LoggingModel, description="What is logged.")


def standin_settings(model: StandinsModel) -> StandinSettings:
    """Converts a checked model."""
    return StandinSettings(
        log=LogServiceSettings(
            model.log.listen, model.log.appends_per_second, model.log.retention_seconds
        ),
        vm_list=_vm_list(model.vm_list),
        weight_store=WeightStoreSettings(
            model.weight_store.listen, model.weight_store.reads_per_second
        ),
        control=model.control.listen,
        engines=tuple(_engine(engine) for engine in model.engines),
        services=tuple(_plain_service(server) for server in model.services),
        logging_level=model.logging.level,
    )


def _vm_list(model: VmListModel) -> VmListSettings:
    vms = tuple(
        ListedVm(VmId(vm.id), ZoneNameId(vm.availability_zone), vm.peers) for vm in model.vms
    )
    return VmListSettings(model.listen, model.lag_seconds, vms)


def _engine(model: EngineModel) -> EngineSettings:
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


def _plain_service(model: PlainServiceModel) -> PlainServiceSettings:
    return PlainServiceSettings(
        server_id=BackendServerId(model.id),
        service=ServiceName(model.service),
        availability_zone=ZoneNameId(model.availability_zone),
        listen=model.listen,
        call_seconds=model.call_seconds,
    )
