"""Sample records and states for the configuration tests."""

from typing import Any, Optional

from returns import result

from camphordrift.configuration import (
    Accepted,
    ConfigurationRecord,
    ConfigurationState,
    EntryKey,
    RecordDecision,
    RecordKind,
    apply_record,
    validate_record,
)


def raw_change(
    kind: str, key: str, replaces: int = 0, value: Optional[dict[str, Any]] = None
) -> dict[str, Any]:
    """Returns a change as an operator writes it; without a value it removes the entry."""
    if value is None:
        return {"kind": kind, "key": key, "replaces": replaces, "remove": True}
    return {"kind": kind, "key": key, "replaces": replaces, "value": value}


def raw_record(*changes: dict[str, Any], schema_version: int = 1, author: str = "ala") -> Any:
    """Returns a record as an operator writes it."""
    return {"schema_version": schema_version, "author": author, "changes": list(changes)}


def record(
    *changes: dict[str, Any], schema_version: int = 1, author: str = "ala"
) -> ConfigurationRecord:
    """Returns a validated record."""
    raw = raw_record(*changes, schema_version=schema_version, author=author)
    match validate_record(raw):
        case result.Success(ConfigurationRecord() as valid):
            return valid
        case other:
            raise AssertionError(other)


def model_service(**fields: Any) -> dict[str, Any]:
    """Returns the value of a service of engines."""
    defaults = {
        "type": "model",
        "default_timeout_seconds": 30.0,
        "maximum_timeout_seconds": 120.0,
    }
    return {**defaults, **fields}


def plain_service(prefix: str = "/booking", **fields: Any) -> dict[str, Any]:
    """Returns the value of a plain service."""
    defaults = {
        "type": "plain",
        "path_prefix": prefix,
        "repeatable_calls": [{"method": "GET", "path_prefix": "/"}],
        "default_timeout_seconds": 5,
        "maximum_timeout_seconds": 20,
    }
    return {**defaults, **fields}


def engine(port: int = 9000, **fields: Any) -> dict[str, Any]:
    """Returns the value of an engine."""
    defaults = {
        "service": "assistant",
        "kind": "engine",
        "address": "127.0.0.1",
        "port": port,
        "zone": "oliwa",
        "memory_tokens": 400_000,
    }
    return {**defaults, **fields}


def account(key_digit: str = "a") -> dict[str, Any]:
    """Returns the value of a client account with one key."""
    return {"key_hashes": [key_digit * 64]}


def base_record() -> ConfigurationRecord:
    """Returns a record that creates a small fleet with one engine, account and policy."""
    return record(
        raw_change("service", "assistant", value=model_service()),
        raw_change("service", "booking", value=plain_service()),
        raw_change("client_account", "school", value=account()),
        raw_change("backend_server", "engine-1", value=engine()),
        raw_change("policy", "school-assistant", value=policy()),
    )


def policy(**fields: Any) -> dict[str, Any]:
    """Returns the value of a policy."""
    return {"account": "school", "service": "assistant", **fields}


def base_state() -> ConfigurationState:
    """Returns the state after :func:`base_record`; all its entries have version 1."""
    state = ConfigurationState()
    assert apply_next(state, base_record()) == Accepted(1)
    return state


def apply_next(state: ConfigurationState, applied: ConfigurationRecord) -> RecordDecision:
    """Applies a record at the next offset and returns the decision."""
    return apply_record(state, applied, f"id-{state.offset}", state.offset)


def key(kind: RecordKind, name: str) -> EntryKey:
    """Returns the key of an entry of the kind."""
    return EntryKey(kind, name)
