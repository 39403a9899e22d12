"""Addresses, names and configuration of a small fleet on loopback."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from camphordrift.configuration import (
    AccountLimits,
    BackendServer,
    BackendServerKind,
    ClientAccount,
    ConfigurationValue,
    Model,
    ModelService,
    PlainService,
    Policy,
    RepeatableCalls,
)
from camphordrift.identifiers import (
    AccountId,
    BackendServerId,
    ModelName,
    ServiceName,
    VmId,
    ZoneName,
)
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

#: The model that the demo's engines serve.
DEMO_MODEL = ModelName("course-assistant")

#: The plain service of the demo.
DEMO_SERVICE = ServiceName("booking-office")

#: Keys of the demo's client accounts. They are printed in the documents: never use them elsewhere.
DEMO_ACCOUNT_KEYS = {
    AccountId("instructors"): "demo-key-instructors",
    AccountId("candidates"): "demo-key-candidates",
}

#: The operators' key of the demo.
DEMO_OPERATOR_KEY = "demo-key-operator"

#: The environment variable with the key of the demo's fleet.
DEMO_FLEET_KEY_VARIABLE = "CAMPHORDRIFT_DEMO_FLEET_KEY"

CALLER_PORT = 8080
OPERATOR_PORT = 8081
PEER_PORT = 8082
PLATFORM_PORT = 9000
ENGINE_PORT = 9100
SERVICE_PORT = 9200


@dataclass(frozen=True)
class DemoPlan:
    """Everything that a demo fleet is started with."""

    #: Settings of the stand-ins.
    standins: StandinSettings

    #: Settings of each entry VM.
    entries: tuple[EntrySettings, ...]

    #: What the configuration says.
    values: tuple[ConfigurationValue, ...]


def demo_plan(
    network: str = "127.0.30", vm_count: int = 3, engine_count: int = 4, service_count: int = 2
) -> DemoPlan:
    """Returns the plan of a fleet whose addresses lie below ``network``, such as ``127.0.30``."""
    standins = _standins(network, vm_count, engine_count, service_count)
    entries = tuple(_entry(network, index, vm_count, standins) for index in range(vm_count))
    return DemoPlan(standins, entries, tuple(_values(standins)))


def with_memory(plan: DemoPlan, memory_tokens: int) -> DemoPlan:
    """Returns ``plan`` with engines of another KV memory, in tokens."""
    engines = tuple(
        replace(engine, memory_tokens=memory_tokens) for engine in plan.standins.engines
    )
    standins = replace(plan.standins, engines=engines)
    return replace(plan, standins=standins, values=tuple(_values(standins)))


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
        fleet_keys=KeySources(environment_variables=(DEMO_FLEET_KEY_VARIABLE,)),
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


def _values(standins: StandinSettings) -> Sequence[ConfigurationValue]:
    engines_service = ServiceName(DEMO_MODEL)
    values: list[ConfigurationValue] = [
        ModelService(engines_service, default_timeout_seconds=60.0, maximum_timeout_seconds=600.0),
        Model(DEMO_MODEL, "1", engines_service, maximum_context_tokens=1_200_000),
        PlainService(
            DEMO_SERVICE,
            f"/{DEMO_SERVICE}",
            repeatable_calls=(RepeatableCalls("GET", "/"),),
            default_timeout_seconds=10.0,
            maximum_timeout_seconds=30.0,
        ),
    ]
    for account_id, key in DEMO_ACCOUNT_KEYS.items():
        values.append(ClientAccount(account_id, (hash_key(key),)))
        values.append(AccountLimits(account_id, 200.0, 2_000_000.0, 200))
        values.append(Policy(f"{account_id}-assistant", account_id, engines_service))
        values.append(Policy(f"{account_id}-booking", account_id, DEMO_SERVICE))
    values.extend(_engine_value(engine, engines_service) for engine in standins.engines)
    values.extend(_service_value(server) for server in standins.services)
    return values


def _engine_value(engine: EngineSettings, service: ServiceName) -> BackendServer:
    return BackendServer(
        server_id=engine.engine_id,
        service=service,
        kind=BackendServerKind.ENGINE,
        address=engine.listen.host,
        port=engine.listen.port,
        zone=engine.availability_zone,
        memory_tokens=engine.memory_tokens,
        checks_fencing=engine.checks_fencing,
    )


def _service_value(server: PlainServiceSettings) -> BackendServer:
    return BackendServer(
        server_id=server.server_id,
        service=server.service,
        kind=BackendServerKind.PLAIN,
        address=server.listen.host,
        port=server.listen.port,
        zone=server.availability_zone,
    )
