"""The settings of an entry VM's process, converted from the validated TOML model."""

from dataclasses import dataclass
from pathlib import Path
from typing import Optional

from camphordrift.identifiers import VmId, ZoneName
from camphordrift.settings._addresses import SocketAddress


@dataclass(frozen=True)
class VmSettings:
    """Identity and location of the VM."""

    #: The VM's name, unique in the fleet.
    vm_id: VmId

    #: The availability zone that the VM runs in.
    availability_zone: ZoneName

    #: The region that the availability zone belongs to.
    region: str


@dataclass(frozen=True)
class ListenSettings:
    """The listening addresses of the process."""

    #: For HTTP requests of callers, which arrive through the platform's load balancer.
    callers: SocketAddress

    #: For HTTP requests of operators.
    operators: SocketAddress

    #: For connections of other VMs, to which this address is advertised.
    peers: SocketAddress


@dataclass(frozen=True)
class PlatformSettings:
    """Base URLs of the platform's services, without trailing slashes."""

    #: The log service.
    log_url: str

    #: The list of running and draining VMs.
    vm_list_url: str

    #: The weight store.
    weight_store_url: str


@dataclass(frozen=True)
class KeySources:
    """Sources of keys. The first key is the one to send: files come before variables."""

    #: Files with one key per line.
    files: tuple[Path, ...] = ()

    #: Environment variables with one key each.
    environment_variables: tuple[str, ...] = ()


@dataclass(frozen=True)
class TlsFiles:
    """A certificate chain and its private key, in PEM."""

    #: The certificate, followed by the intermediate certificates up to its root.
    certificate_file: Path

    #: The private key.
    private_key_file: Path


@dataclass(frozen=True)
class TlsSettings:
    """TLS of the ports and of backend connections. A port without files uses plain TCP."""

    #: For the callers' port.
    callers: Optional[TlsFiles] = None

    #: For the operators' port.
    operators: Optional[TlsFiles] = None

    #: Trusted authorities for certificates of backend servers; ``None`` uses the system's.
    backend_authorities_file: Optional[Path] = None


@dataclass(frozen=True)
class LimitSettings:
    """Limits on memory and time that protect the process from callers and backend servers."""

    #: Maximum size of a request body, in bytes.
    max_body_bytes: int

    #: Maximum total size of the request bodies in memory at one time, in bytes.
    max_held_body_bytes: int

    #: Timeout for receiving a complete request body, in seconds.
    body_timeout_seconds: float

    #: Time after which an idle connection of a caller is closed, in seconds.
    caller_idle_timeout_seconds: float

    #: Timeout for the first byte of a backend server's response, in seconds.
    first_byte_timeout_seconds: float

    #: Timeout between two bytes of a backend server's response, in seconds.
    between_bytes_timeout_seconds: float

    #: Timeout for connecting to a backend server, in seconds.
    connect_timeout_seconds: float


@dataclass(frozen=True)
class DrainingSettings:
    """Time limits of a graceful shutdown."""

    #: Maximum time for admitted requests to finish, in seconds.
    drain_bound_seconds: float

    #: Time until the load balancer has noticed that the VM is not ready, in seconds.
    balancer_lag_seconds: float


@dataclass(frozen=True)
class EntrySettings:
    """All settings of an entry VM's process, as returned by ``load_entry_settings``."""

    #: Identity and location of the VM.
    vm: VmSettings

    #: The listening addresses.
    listen: ListenSettings

    #: Base URLs of the platform's services.
    platform: PlatformSettings

    #: Peer addresses of other VMs to contact first, in addition to the VM list.
    seed_peers: tuple[SocketAddress, ...]

    #: Sources of the keys with which the VMs of a fleet authenticate to each other.
    fleet_keys: KeySources

    #: Hashes of the operators' keys.
    operator_key_hashes: tuple[str, ...]

    #: TLS of the ports and of backend connections.
    tls: TlsSettings

    #: Limits on memory and time of the process.
    limits: LimitSettings

    #: Time limits of a graceful shutdown.
    draining: DrainingSettings

    #: The minimum level that is logged: ``debug``, ``info``, ``warning`` or ``error``.
    logging_level: str
