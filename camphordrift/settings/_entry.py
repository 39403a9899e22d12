"""The settings of an entry VM's process, as the program uses them."""

from dataclasses import dataclass
from pathlib import Path
from typing import Optional

from camphordrift.identifiers import VmId, ZoneName
from camphordrift.settings._addresses import SocketAddress


@dataclass(frozen=True)
class VmSettings:
    """Who the VM is."""

    #: The VM's name, unique in the fleet.
    vm_id: VmId

    #: The availability zone that it runs in.
    availability_zone: ZoneName

    #: The region that the availability zone belongs to.
    region: str


@dataclass(frozen=True)
class ListenSettings:
    """The addresses that the process listens on."""

    #: Where callers' HTTP arrives, through the platform's balancer.
    callers: SocketAddress

    #: Where operators' HTTP arrives.
    operators: SocketAddress

    #: Where streams from other VMs arrive; other VMs are told this address.
    peers: SocketAddress


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services answer."""

    #: The log service, without a trailing slash.
    log_url: str

    #: The list of live and leaving VMs.
    vm_list_url: str

    #: The weight store.
    weight_store_url: str


@dataclass(frozen=True)
class KeySources:
    """Where keys are read from. The first file, then the first variable, is the one to send."""

    #: Files with one key a line.
    files: tuple[Path, ...] = ()

    #: Environment variables with one key each.
    environment_variables: tuple[str, ...] = ()


@dataclass(frozen=True)
class TlsFiles:
    """A certificate chain and its private key, in PEM."""

    #: The certificate, followed by those that lead to its root.
    certificate_file: Path

    #: The private key.
    private_key_file: Path


@dataclass(frozen=True)
class TlsSettings:
    """What is encrypted. A port without files speaks plain TCP."""

    #: For the callers' port.
    callers: Optional[TlsFiles] = None

    #: For the operators' port.
    operators: Optional[TlsFiles] = None

    #: Certificates that backend servers' ones are checked against; ``None`` takes the system's.
    backend_authorities_file: Optional[Path] = None


@dataclass(frozen=True)
class LimitSettings:
    """Bounds that keep one process alive, whatever callers send."""

    #: Largest body of a request, in bytes.
    max_body_bytes: int

    #: Most bytes of bodies held at one time, over all requests.
    max_held_body_bytes: int

    #: Time for a whole body to arrive, in seconds.
    body_timeout_seconds: float

    #: Time after which a caller's connection without a request is closed, in seconds.
    caller_idle_timeout_seconds: float

    #: Time without a byte from a backend server before the first one of an answer, in seconds.
    first_byte_timeout_seconds: float

    #: Time without a byte from a backend server within an answer, in seconds.
    between_bytes_timeout_seconds: float

    #: Time for a connection to a backend server to be made, in seconds.
    connect_timeout_seconds: float


@dataclass(frozen=True)
class DrainingSettings:
    """How a planned stop goes."""

    #: Longest time for admitted requests to finish, in seconds.
    drain_bound_seconds: float

    #: Time until the balancer has noticed that the VM is not ready, in seconds.
    balancer_lag_seconds: float


@dataclass(frozen=True)
class EntrySettings:
    """All settings of an entry VM's process. Made by ``load_entry_settings``."""

    #: Who the VM is.
    vm: VmSettings

    #: The addresses that it listens on.
    listen: ListenSettings

    #: Where the platform's services answer.
    platform: PlatformSettings

    #: Peer addresses of other VMs to start from, besides the VM list.
    seed_peers: tuple[SocketAddress, ...]

    #: The keys by which VMs of one fleet know each other.
    fleet_keys: KeySources

    #: Hashes of the operators' keys.
    operator_key_hashes: tuple[str, ...]

    #: What is encrypted.
    tls: TlsSettings

    #: Bounds of the process.
    limits: LimitSettings

    #: How a planned stop goes.
    draining: DrainingSettings

    #: The least level that is logged: ``debug``, ``info``, ``warning`` or ``error``.
    logging_level: str
