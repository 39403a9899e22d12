"""Random changes for a small configuration."""

from random import Random
from typing import Any

from camphordrift.configuration import RecordKind

#: Few names, so that operators often change the same entries.
ENTRY_NAMES = ("a", "b", "c", "d")


def random_value(random: Random, schema_version: int) -> tuple[RecordKind, dict[str, Any]]:
    """Returns a random change: a kind with a new value or a removal; it may be invalid."""
    seconds = random.randint(1, 50)
    service = {
        "type": "model",
        "default_timeout_seconds": seconds,
        "maximum_timeout_seconds": 2 * seconds,
    }
    server = {
        "service": random.choice(ENTRY_NAMES),
        "kind": "engine",
        "address": "127.0.0.1",
        "port": random.randint(1, 6),
        "zone": "oliwa",
        "memory_tokens": seconds,
        "order_givers": random.choice([[], ["fleet"], ["fleet", "operator"]]),
    }
    model: dict[str, Any] = {
        "version": str(seconds),
        "service": random.choice(ENTRY_NAMES),
        "maximum_context_tokens": seconds,
    }
    if schema_version >= 2:
        model["adapters"] = ["polish@1"]
    kinds: list[tuple[RecordKind, dict[str, Any]]] = [
        (RecordKind.SERVICE, {"value": service}),
        (RecordKind.BACKEND_SERVER, {"value": server}),
        (RecordKind.MODEL, {"value": model}),
        (RecordKind.SERVICE, {"remove": True}),
        (RecordKind.BACKEND_SERVER, {"remove": True}),
    ]
    return random.choice(kinds)
