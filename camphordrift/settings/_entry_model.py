"""The TOML form of an entry VM's settings, and its conversion."""

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
    """Who the VM is."""

    id: Name = Field(description="The VM's name, unique in the fleet.")
    availability_zone: ZoneName = Field(description="The availability zone that it runs in.")
    region: Name = Field(description="The region that the availability zone belongs to.")


class ListenModel(SettingsModel):
    """The addresses that the process listens on."""

    callers: ListenAddress = Field(description="Where callers' HTTP arrives.")
    operators: ListenAddress = Field(description="Where operators' HTTP arrives.")
    peers: PeerAddress = Field(
        description="Where streams from other VMs arrive; other VMs are told this address."
    )


class PlatformModel(SettingsModel):
    """Where the platform's services answer."""

    log_url: BaseUrl = Field(description="The log service.")
    vm_list_url: BaseUrl = Field(description="The list of live and leaving VMs.")
    weight_store_url: BaseUrl = Field(description="The weight store.")


class PeersModel(SettingsModel):
    """How the VM finds and knows other VMs of its fleet."""

    seeds: list[PeerAddress] = Field(
        default_factory=list,
        description="Peer addresses of other VMs to start from, besides the VM list.",
    )
    fleet_key_files: list[FilePath] = Field(
        default_factory=list,
        description="Files with one fleet key a line; all are accepted, the first one is sent.",
    )
    fleet_key_environment_variables: list[EnvironmentVariable] = Field(
        default_factory=list,
        description="Environment variables with one fleet key each, after those of the files.",
    )


class OperatorsModel(SettingsModel):
    """Who may use the operators' port."""

    key_hashes: Annotated[
        list[KeyHash], Field(min_length=1), Expected("a list of at least one key hash")
    ] = Field(description="Hashes of the operators' keys, as `camphordrift keygen` prints them.")


class TlsFilesModel(SettingsModel):
    """A certificate chain and its private key, in PEM."""

    certificate_file: FilePath = Field(description="The certificate chain.")
    private_key_file: FilePath = Field(description="The private key.")


class TlsModel(SettingsModel):
    """What is encrypted. A port without a table here speaks plain TCP."""

    callers: Optional[TlsFilesModel] = Field(default=None, description="For the callers' port.")
    operators: Optional[TlsFilesModel] = Field(default=None, description="For the operators' port.")
    backend_authorities_file: Optional[FilePath] = Field(
        default=None,
        description="Certificates that backend servers' ones are checked against; "
        "without it, the system's.",
    )


class LimitsModel(SettingsModel):
    """Bounds that keep one process alive, whatever callers send."""

    max_body_bytes: ByteCount = Field(
        default=8_000_000, description="Largest body of a request. A prompt of 1M tokens is 4 MB."
    )
    max_held_body_bytes: ByteCount = Field(
        default=128_000_000, description="Most bytes of bodies held at one time."
    )
    body_timeout_seconds: Seconds = Field(
        default=10.0, description="Time for a whole body to arrive."
    )
    caller_idle_timeout_seconds: Seconds = Field(
        default=75.0, description="Time after which a connection without a request is closed."
    )
    first_byte_timeout_seconds: Seconds = Field(
        default=120.0,
        description="Time without a byte from a backend server before an answer begins.",
    )
    between_bytes_timeout_seconds: Seconds = Field(
        default=10.0, description="Time without a byte from a backend server within an answer."
    )
    connect_timeout_seconds: Seconds = Field(
        default=2.0, description="Time for a connection to a backend server to be made."
    )


class DrainingModel(SettingsModel):
    """How a planned stop goes."""

    drain_bound_seconds: Seconds = Field(
        default=600.0, description="Longest time for admitted requests to finish."
    )
    balancer_lag_seconds: SecondsOrZero = Field(
        default=5.0, description="Time until the balancer has noticed that the VM is not ready."
    )


class LoggingModel(SettingsModel):
    """What is logged."""

    level: LogLevel = Field(default="info", description="The least level that is logged.")


class EntryModel(SettingsModel):
    """The settings file of an entry VM's process."""

    vm: VmModel = Field(description="Who the VM is.")
    listen: ListenModel = Field(description="The addresses that the process listens on.")
    platform: PlatformModel = Field(description="Where the platform's services answer.")
    peers: PeersModel = Field(description="How the VM finds and knows other VMs of its fleet.")
    operators: OperatorsModel = Field(description="Who may use the operators' port.")
    tls: TlsModel = Field(default_factory=TlsModel, description="What is encrypted.")
    limits: LimitsModel = Field(
        default_factory=LimitsModel, description="Bounds that keep one process alive."
    )
    draining: DrainingModel = Field(
        default_factory=DrainingModel, description="How a planned stop goes."
    )
    logging: LoggingModel = Field(default_factory=LoggingModel, description="What is logged.")


def entry_settings(model: EntryModel, directory: Path) -> EntrySettings:
    """Converts a checked model; ``directory`` is the one that relative paths start from."""
    return EntrySettings(
        vm=VmSettings(VmId(model.vm.id), ZoneNameId(model.vm.availability_zone), model.vm.region),
        listen=ListenSettings(model.listen.callers, model.listen.operators, model.listen.peers),
        platform=PlatformSettings(**model.platform.model_dump()),
        seed_peers=tuple(model.peers.seeds),
        fleet_keys=_fleet_keys(model.peers, directory),
        operator_key_hashes=tuple(model.operators.key_hashes),
        tls=_tls_settings(model.tls, directory),
        limits=LimitSettings(**model.limits.model_dump()),
        draining=DrainingSettings(**model.draining.model_dump()),
        logging_level=model.logging.level,
    )


def _fleet_keys(model: PeersModel, directory: Path) -> KeySources:
    files = tuple(directory / name for name in model.fleet_key_files)
    return KeySources(files, tuple(model.fleet_key_environment_variables))


def _tls_settings(model: TlsModel, directory: Path) -> TlsSettings:
    authorities = model.backend_authorities_file
    return TlsSettings(
        callers=_tls_files(model.callers, directory),
        operators=_tls_files(model.operators, directory),
        backend_authorities_file=None if authorities is None else directory / authorities,
    )


def _tls_files(model: Optional[TlsFilesModel], directory: Path) -> Optional[TlsFiles]:
    if model is None:
        return None
    return TlsFiles(directory / model.certificate_file, directory / model.private_key_file)
