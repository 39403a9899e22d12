"""The TOML model of an entry VM's settings, and its conversion to ``EntrySettings``."""

from pathlib import Path
from typing import Annotated, Literal, Optional

from pydantic import Field

from camphordrift.identifiers import VmId
from camphordrift.identifiers import ZoneName as ZoneNameId
from camphordrift.settings._entry import (
    DrainingSettings,
    EntrySettings,
    KeySources,
    LimitSettings,
    ListenSettings,
    PlatformSettings,
    TlsFiles,
    TlsSettings,
    VmSettings,
)
from camphordrift.settings._fields import (
    BaseUrl,
    ByteCount,
    EnvironmentVariable,
    Expected,
    FilePath,
    KeyHash,
    ListenAddress,
    Name,
    PeerAddress,
    Seconds,
    SecondsOrZero,
    SettingsModel,
    ZoneName,
)

LogLevel = Annotated[
    Literal["debug", "info", "warning", "error"],
    Expected('one of "debug", "info", "warning", "error"'),
]


class VmModel(SettingsModel):
    """Identity and location of the VM."""

    id: Name = Field(description="The VM's name, unique in the fleet.")
    availability_zone: ZoneName = Field(description="The availability zone that the VM runs in.")
    region: Name = Field(description="The region that the availability zone belongs to.")


class ListenModel(SettingsModel):
    """The listening addresses of the process."""

    callers: ListenAddress = Field(description="Address for HTTP requests of callers.")
    operators: ListenAddress = Field(description="Address for HTTP requests of operators.")
    peers: PeerAddress = Field(
        description="Address for connections of other VMs; it is advertised to them."
    )


class PlatformModel(SettingsModel):
    """Base URLs of the platform's services."""

    log_url: BaseUrl = Field(description="Base URL of the log service.")
    vm_list_url: BaseUrl = Field(description="Base URL of the list of running and draining VMs.")
    weight_store_url: BaseUrl = Field(description="Base URL of the weight store.")


class PeersModel(SettingsModel):
    """How the VM discovers and authenticates other VMs of its fleet."""

    seeds: list[PeerAddress] = Field(
        default_factory=list,
        description="Peer addresses of other VMs to contact first, in addition to the VM list.",
    )
    fleet_key_files: list[FilePath] = Field(
        default_factory=list,
        description="Files with one fleet key per line; all are accepted, the first one is sent.",
    )
    fleet_key_environment_variables: list[EnvironmentVariable] = Field(
        default_factory=list,
        description="Environment variables with one fleet key each, after the keys of the files.",
    )


class OperatorsModel(SettingsModel):
    """Access to the operators' port."""

    key_hashes: Annotated[
        list[KeyHash], Field(min_length=1), Expected("a list of at least one key hash")
    ] = Field(description="Hashes of the operators' keys, as printed by `camphordrift keygen`.")


class TlsFilesModel(SettingsModel):
    """A certificate chain and its private key, in PEM."""

    certificate_file: FilePath = Field(
        description="The certificate, followed by its intermediate certificates."
    )
    private_key_file: FilePath = Field(description="The private key.")


class TlsModel(SettingsModel):
    """TLS of the ports and of backend connections. A port without a table here uses plain TCP."""

    callers: Optional[TlsFilesModel] = Field(
        default=None, description="Certificate of the callers' port."
    )
    operators: Optional[TlsFilesModel] = Field(
        default=None, description="Certificate of the operators' port."
    )
    backend_authorities_file: Optional[FilePath] = Field(
        default=None,
        description="Trusted authorities for certificates of backend servers; "
        "by default, the system's.",
    )


class LimitsModel(SettingsModel):
    """Limits on memory and time that protect the process from callers and backend servers."""

    max_body_bytes: ByteCount = Field(
        default=8_000_000,
        description="Maximum size of a request body. A prompt of 1M tokens is 4 MB.",
    )
    max_held_body_bytes: ByteCount = Field(
        default=128_000_000, description="Maximum total size of request bodies in memory."
    )
    body_timeout_seconds: Seconds = Field(
        default=10.0, description="Timeout for receiving a complete request body."
    )
    caller_idle_timeout_seconds: Seconds = Field(
        default=75.0, description="Time after which a caller's idle connection is closed."
    )
    first_byte_timeout_seconds: Seconds = Field(
        default=120.0,
        description="Timeout for the first byte of a backend server's response.",
    )
    between_bytes_timeout_seconds: Seconds = Field(
        default=10.0, description="Timeout between two bytes of a backend server's response."
    )
    connect_timeout_seconds: Seconds = Field(
        default=2.0, description="Timeout for connecting to a backend server."
    )


class DrainingModel(SettingsModel):
    """Time limits of a graceful shutdown."""

    drain_bound_seconds: Seconds = Field(
        default=600.0, description="Maximum time for admitted requests to finish."
    )
    balancer_lag_seconds: SecondsOrZero = Field(
        default=5.0, description="Time until the load balancer notices that the VM is not ready."
    )


class LoggingModel(SettingsModel):
    """Settings of the log."""

    level: LogLevel = Field(default="info", description="The minimum level that is logged.")


class EntryModel(SettingsModel):
    """The settings file of an entry VM's process."""

    vm: VmModel = Field(description="Identity and location of the VM.")
    listen: ListenModel = Field(description="The listening addresses of the process.")
    platform: PlatformModel = Field(description="Base URLs of the platform's services.")
    peers: PeersModel = Field(description="How the VM discovers and authenticates other VMs.")
    operators: OperatorsModel = Field(description="Access to the operators' port.")
    tls: TlsModel = Field(
        default_factory=TlsModel, description="TLS of the ports and of backend connections."
    )
    limits: LimitsModel = Field(
        default_factory=LimitsModel, description="Limits on memory and time."
    )
    draining: DrainingModel = Field(
        default_factory=DrainingModel, description="Time limits of a graceful shutdown."
    )
    logging: LoggingModel = Field(default_factory=LoggingModel, description="Settings of the log.")


def to_entry_settings(model: EntryModel, directory: Path) -> EntrySettings:
    """Converts a validated model; relative paths are resolved against ``directory``."""
    return EntrySettings(
        vm=VmSettings(VmId(model.vm.id), ZoneNameId(model.vm.availability_zone), model.vm.region),
        listen=ListenSettings(model.listen.callers, model.listen.operators, model.listen.peers),
        platform=PlatformSettings(**model.platform.model_dump()),
        seed_peers=tuple(model.peers.seeds),
        fleet_keys=_to_key_sources(model.peers, directory),
        operator_key_hashes=tuple(model.operators.key_hashes),
        tls=_to_tls_settings(model.tls, directory),
        limits=LimitSettings(**model.limits.model_dump()),
        draining=DrainingSettings(**model.draining.model_dump()),
        logging_level=model.logging.level,
    )


def _to_key_sources(model: PeersModel, directory: Path) -> KeySources:
    files = tuple(directory / name for name in model.fleet_key_files)
    return KeySources(files, tuple(model.fleet_key_environment_variables))


def _to_tls_settings(model: TlsModel, directory: Path) -> TlsSettings:
    authorities = model.backend_authorities_file
    return TlsSettings(
        callers=_to_tls_files(model.callers, directory),
        operators=_to_tls_files(model.operators, directory),
        backend_authorities_file=None if authorities is None else directory / authorities,
    )


def _to_tls_files(model: Optional[TlsFilesModel], directory: Path) -> Optional[TlsFiles]:
    if model is None:
        return None
    return TlsFiles(directory / model.certificate_file, directory / model.private_key_file)
