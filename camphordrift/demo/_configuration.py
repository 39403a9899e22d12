"""The first configuration record of the demo fleet."""

from collections.abc import Mapping
from typing import Any

from camphordrift.identifiers import AccountId, ModelName, ServiceName
from camphordrift.security import hash_key
from camphordrift.settings import EngineSettings, PlainServiceSettings, StandinSettings

#: Name of the model that the demo's engines serve, and of their service.
DEMO_MODEL = ModelName("course-assistant")

#: Name of the demo's plain service.
DEMO_SERVICE = ServiceName("booking-office")

#: Keys of the demo's client accounts. They are public in the documentation: do not reuse them.
DEMO_ACCOUNT_KEYS = {
    AccountId("instructors"): "demo-key-instructors",
    AccountId("candidates"): "demo-key-candidates",
}

Change = Mapping[str, Any]


def demo_record(standins: StandinSettings) -> Mapping[str, Any]:
    """Returns a record with services, model, client accounts and all backend servers."""
    changes = [*_service_changes()]
    for account_id, key in DEMO_ACCOUNT_KEYS.items():
        changes.extend(_account_changes(account_id, key))
    changes.extend(_engine_change(engine) for engine in standins.engines)
    changes.extend(_server_change(server) for server in standins.services)
    return {"author": "demo", "note": "first configuration", "changes": changes}


def _change(kind: str, key: str, value: Mapping[str, Any]) -> Change:
    return {"kind": kind, "key": key, "replaces": 0, "value": value}


def _service_changes() -> tuple[Change, ...]:
    return (
        _change(
            "service",
            DEMO_MODEL,
            {
                "type": "model",
                "default_timeout_seconds": 60.0,
                "maximum_timeout_seconds": 600.0,
            },
        ),
        _change(
            "model",
            DEMO_MODEL,
            {"version": "1", "service": DEMO_MODEL, "maximum_context_tokens": 1_200_000},
        ),
        _change(
            "service",
            DEMO_SERVICE,
            {
                "type": "plain",
                "path_prefix": f"/{DEMO_SERVICE}",
                "default_timeout_seconds": 10.0,
                "maximum_timeout_seconds": 30.0,
                "repeatable_calls": [{"method": "GET", "path_prefix": "/"}],
            },
        ),
    )


def _account_changes(account_id: AccountId, key: str) -> tuple[Change, ...]:
    limits = {"requests_per_second": 200.0, "tokens_per_second": 2_000_000.0, "concurrency": 200}
    return (
        _change("client_account", account_id, {"key_hashes": [hash_key(key)]}),
        _change("account_limits", account_id, limits),
        _change(
            "policy", f"{account_id}-assistant", {"account": account_id, "service": DEMO_MODEL}
        ),
        _change(
            "policy", f"{account_id}-booking", {"account": account_id, "service": DEMO_SERVICE}
        ),
    )


def _engine_change(engine: EngineSettings) -> Change:
    value = {
        "service": DEMO_MODEL,
        "kind": "engine",
        "address": engine.listen.host,
        "port": engine.listen.port,
        "zone": engine.availability_zone,
        "memory_tokens": engine.memory_tokens,
        "checks_fencing": engine.checks_fencing,
    }
    return _change("backend_server", engine.engine_id, value)


def _server_change(server: PlainServiceSettings) -> Change:
    value = {
        "service": DEMO_SERVICE,
        "kind": "plain",
        "address": server.listen.host,
        "port": server.listen.port,
        "zone": server.availability_zone,
    }
    return _change("backend_server", server.server_id, value)
