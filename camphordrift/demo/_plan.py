"""Settings and first configuration of the demo fleet, on loopback addresses."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from camphordrift.demo._configuration import DEMO_MODEL, DEMO_SERVICE, demo_record
from camphordrift.identifiers import BackendServerId, VmId, ZoneName
from camphordrift.security import hash_key
from camphordrift.settings import (
    DrainingSettings,
    EngineSettings,
    EntrySettings,
    KeySources,
    LimitSettings,
    ListedVm,
    ListenSettings,
    LogServiceSettings,
    PlainServiceSettings,
    PlatformSettings,
    SocketAddress,
    StandinSettings,
    TlsSettings,
    VmListSettings,
    VmSettings,
    WeightStoreSettings,
)

#: The availability zones of the demo.
ZONES = (ZoneName("oliwa"), ZoneName("orlowo"), ZoneName("brzezno"))

#: The operators' key of the demo. It is public: do not reuse it.
DEMO_OPERATOR_KEY = "demo-key-operator"

# Ports of the demo's processes, each on its own loopback address.
CALLER_PORT = 8080
OPERATOR_PORT = 8081
PEER_PORT = 8082
PLATFORM_PORT = 9000
ENGINE_PORT = 9100
SERVICE_PORT = 9200


@dataclass(frozen=True)
class DemoPlan:
    """Settings, first configuration record and fleet key of a demo fleet."""

    #: Settings of the stand-ins.
    standins: StandinSettings

    #: Settings of each entry VM.
    entries: tuple[EntrySettings, ...]

    #: The first configuration record, in the form of a record file.
    record: Mapping[str, Any]

    #: The key with which the VMs authenticate to each other.
    fleet_key: str = field(repr=False)


def demo_plan(
    network: str = "127.0.30", vm_count: int = 3, engine_count: int = 4, service_count: int = 2
) -> DemoPlan:
    """Returns the plan of a fleet; ``network`` is its /24 address prefix, such as ``127.0.30``."""
    standins = _standins(network, vm_count, engine_count, service_count)
    entries = tuple(_entry(network, index, vm_count, standins) for index in range(vm_count))
    return DemoPlan(standins, entries, demo_record(standins), secrets.token_urlsafe(32))


def with_engine_memory(plan: DemoPlan, memory_tokens: int) -> DemoPlan:
    """Returns ``plan`` with another size of the engines' KV memory, in tokens."""
    engines = tuple(
        replace(engine, memory_tokens=memory_tokens) for engine in plan.standins.engines
    )
    standins = replace(plan.standins, engines=engines)
    return replace(plan, standins=standins, record=demo_record(standins))


def _zone(index: int) -> ZoneName:
    return ZONES[index % len(ZONES)]


def _vm_id(index: int) -> VmId:
    return VmId(f"{_zone(index)}-{index // len(ZONES) + 1}")


def _peer_address(network: str, index: int) -> SocketAddress:
    return SocketAddress(f"{network}.{index + 1}", PEER_PORT)


def _standins(
    network: str, vm_count: int, engine_count: int, service_count: int
) -> StandinSettings:
    platform = f"{network}.250"
    vms = tuple(
        ListedVm(_vm_id(index), _zone(index), _peer_address(network, index))
        for index in range(vm_count)
    )
    return StandinSettings(
        log=LogServiceSettings(SocketAddress(platform, PLATFORM_PORT), 300.0, 86_400.0),
        vm_list=VmListSettings(SocketAddress(platform, PLATFORM_PORT + 1), 5.0, vms),
        weight_store=WeightStoreSettings(SocketAddress(platform, PLATFORM_PORT + 2), 2.0),
        control=SocketAddress(platform, PLATFORM_PORT + 3),
        engines=tuple(_engine(network, index) for index in range(engine_count)),
        services=tuple(_service(network, index) for index in range(service_count)),
        logging_level="info",
    )


def _engine(network: str, index: int) -> EngineSettings:
    return EngineSettings(
        engine_id=BackendServerId(f"engine-{index + 1}"),
        availability_zone=_zone(index),
        listen=SocketAddress(f"{network}.{100 + index}", ENGINE_PORT),
        models=(DEMO_MODEL,),
        prefill_tokens_per_second=25_000.0,
        decode_tokens_per_second=80.0,
        memory_tokens=450_000,
        max_batch_requests=64,
        load_lag_seconds=0.5,
        cache_event_lag_seconds=1.0,
        checks_fencing=index % 2 == 0,
    )


def _service(network: str, index: int) -> PlainServiceSettings:
    return PlainServiceSettings(
        server_id=BackendServerId(f"booking-{index + 1}"),
        service=DEMO_SERVICE,
        availability_zone=_zone(index),
        listen=SocketAddress(f"{network}.{200 + index}", SERVICE_PORT),
        call_seconds=0.02,
    )


def _entry(network: str, index: int, vm_count: int, standins: StandinSettings) -> EntrySettings:
    host = f"{network}.{index + 1}"
    others = (_peer_address(network, other) for other in range(vm_count) if other != index)
    return EntrySettings(
        vm=VmSettings(_vm_id(index), _zone(index), "wybrzeze"),
        listen=ListenSettings(
            callers=SocketAddress(host, CALLER_PORT),
            operators=SocketAddress(host, OPERATOR_PORT),
            peers=SocketAddress(host, PEER_PORT),
        ),
        platform=PlatformSettings(
            log_url=f"http://{standins.log.listen}",
            vm_list_url=f"http://{standins.vm_list.listen}",
            weight_store_url=f"http://{standins.weight_store.listen}",
        ),
        seed_peers=tuple(others),
        fleet_keys=KeySources(),
        operator_key_hashes=(hash_key(DEMO_OPERATOR_KEY),),
        tls=TlsSettings(),
        limits=LimitSettings(
            max_body_bytes=16_000_000,
            max_held_body_bytes=128_000_000,
            body_timeout_seconds=10.0,
            caller_idle_timeout_seconds=75.0,
            first_byte_timeout_seconds=30.0,
            between_bytes_timeout_seconds=5.0,
            connect_timeout_seconds=1.0,
        ),
        draining=DrainingSettings(drain_bound_seconds=60.0, balancer_lag_seconds=1.0),
        logging_level="info",
    )
