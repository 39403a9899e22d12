"""Builds configurations and request bodies of a given size for the capacity experiments."""

import hashlib
import json
from collections.abc import Iterator, Mapping

from camphordrift.configuration import (
    BackendServer,
    BackendServerKind,
    ClientAccount,
    ConfigurationRecord,
    ConfigurationSnapshot,
    ConfigurationState,
    ConfigurationValue,
    Model,
    ModelService,
    Policy,
    apply_record,
    snapshot_of,
    validate_record,
)
from camphordrift.identifiers import AccountId, BackendServerId, ModelName, ServiceName, ZoneName

ACCOUNT = AccountId("account-0")
MODEL = ModelName("model-0")
SERVICE = ServiceName("service-0")

#: Prompt text made of plain words, which need almost no JSON escaping, as in real prompts.
_WORDS = "the lifeguard looks at the water before the swimmers come in and says "


def engine_name(number: int) -> BackendServerId:
    """Returns the server id of the engine with this number."""
    return BackendServerId(f"engine-{number:05}")


def fleet_snapshot(engine_count: int) -> ConfigurationSnapshot:
    """Returns a configuration with one model, one account and ``engine_count`` engines."""
    return snapshot_of(1, 1, _fleet_values(engine_count))


def generation_body(prompt_bytes: int, is_chat: bool = False) -> bytes:
    """Returns the JSON body of a generation request whose prompt has ``prompt_bytes`` bytes."""
    prompt = (_WORDS * (prompt_bytes // len(_WORDS) + 1))[:prompt_bytes]
    common = {"model": MODEL, "max_tokens": 300, "stream": True, "temperature": 0.7}
    if is_chat:
        messages = [{"role": "user", "content": prompt}]
        return json.dumps({**common, "messages": messages}).encode("utf-8")
    return json.dumps({**common, "prompt": prompt}).encode("utf-8")


def service_record() -> ConfigurationRecord:
    """Returns a record that creates the service to which engines and policies belong."""
    value = {"type": "model", "default_timeout_seconds": 30.0, "maximum_timeout_seconds": 120.0}
    return _record("service", str(SERVICE), value)


def engine_record(number: int, replaces: int = 0) -> ConfigurationRecord:
    """Returns a record that publishes one engine.

    ``replaces`` is the version of the entry that it replaces; 0 creates the entry.
    """
    value = {
        "service": SERVICE,
        "kind": "engine",
        "address": "10.0.0.1",
        "port": 1024 + number,
        "zone": f"zone-{number % 16:02}",
        "memory_tokens": 450_000 + replaces,
    }
    return _record("backend_server", engine_name(number), value, replaces)


def account_records(number: int) -> Iterator[ConfigurationRecord]:
    """Yields the three records of one client account: the account, its limits, and its policy."""
    name = f"account-{number:04}"
    key_hash = hashlib.sha256(name.encode()).hexdigest()
    yield _record("client_account", name, {"key_hashes": [key_hash]})
    limits = {"requests_per_second": 100.0, "tokens_per_second": 1e6, "concurrency": 200}
    yield _record("account_limits", name, limits)
    yield _record("policy", f"{name}-policy", {"account": name, "service": SERVICE})


def replay_records(records: Iterator[ConfigurationRecord]) -> ConfigurationState:
    """Returns the state after applying the records; ``ValueError`` unless all are accepted."""
    state = ConfigurationState()
    for offset, record in enumerate(records):
        apply_record(state, record, f"record-{offset:08}", offset)
    if state.version != state.offset:
        raise ValueError(f"configuration accepted only {state.version} of {state.offset} records")
    return state


def engine_records(count: int) -> Iterator[ConfigurationRecord]:
    """Yields the records of a service and its ``count`` engines."""
    yield service_record()
    for number in range(count):
        yield engine_record(number)


def _record(
    kind: str, key: str, value: Mapping[str, object], replaces: int = 0
) -> ConfigurationRecord:
    change = {"kind": kind, "key": key, "replaces": replaces, "value": value}
    raw = {"schema_version": 1, "author": "measurement", "changes": [change]}
    record = validate_record(raw).unwrap()
    assert isinstance(record, ConfigurationRecord)
    return record


def _fleet_values(engine_count: int) -> Iterator[ConfigurationValue]:
    yield ClientAccount(ACCOUNT, ("0" * 64,))
    yield ModelService(SERVICE, 30.0, 120.0)
    yield Model(MODEL, "1", SERVICE, 2_000_000)
    yield Policy("policy-0", ACCOUNT, SERVICE)
    for number in range(engine_count):
        yield BackendServer(
            engine_name(number),
            SERVICE,
            BackendServerKind.ENGINE,
            "10.0.0.1",
            1024 + number,
            ZoneName("zone-00"),
            450_000,
        )
