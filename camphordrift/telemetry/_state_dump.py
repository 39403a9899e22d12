"""The state dump: a JSON document with the state of all components of a process."""

import dataclasses
import json
import math
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any

from camphordrift.event_log import (
    REDACTED,
    LogLevel,
    is_secret_name,
    log_event,
    redact_keys,
)

#: Maximum nesting depth of a state dump; deeper values are converted with ``str``.
MAX_DEPTH = 12

#: Names of fields that look secret but contain the key of a configuration entry.
_CONFIGURATION_KEY_FIELDS = frozenset({"key", "keys"})


class StateDump:
    """Collects the state of the components of one process.

    Each component registers a function that returns its state as data classes, mappings, sequences
    or simple values. The function is called in the event loop for each dump, so it must not block.

    Example::

        dump = StateDump()
        dump.register("members", lambda: members.snapshot(now()))
        body = dump.render()
    """

    def __init__(self) -> None:
        self._components: dict[str, Callable[[], object]] = {}

    @property
    def component_names(self) -> tuple[str, ...]:
        """Names of the registered components, in the order of registration."""
        return tuple(self._components)

    def register(self, name: str, snapshot: Callable[[], object]) -> None:
        """Adds the component ``name``, whose state ``snapshot`` returns.

        Raises ``ValueError`` if the name is already registered.
        """
        if name in self._components:
            raise ValueError(f"a component named {name!r} is already registered")
        self._components[name] = snapshot

    def collect(self) -> dict[str, Any]:
        """Returns the state of each component, converted to JSON types.

        If a component raises, its error is included instead of its state, because dumps are mostly
        requested during failures.
        """
        return {name: _collect_component(name, call) for name, call in self._components.items()}

    def render(self) -> bytes:
        """Returns the dump as indented JSON."""
        text = json.dumps(self.collect(), indent=2, ensure_ascii=False, allow_nan=False)
        return text.encode("utf-8", errors="backslashreplace") + b"\n"


def render_dump(dump: StateDump) -> bytes:
    """Returns the dump as indented JSON."""
    return dump.render()


def to_json_types(value: object, depth: int = 0) -> Any:
    """Converts ``value`` to JSON types: data classes to mappings, enum members to their values.

    Secrets are redacted, and bytes are replaced by their length.
    """
    if depth > MAX_DEPTH:
        return redact_keys(str(value))
    match value:
        case None | bool():
            return value
        case Enum():
            return to_json_types(value.value, depth + 1)
        case int():
            return int(value)
        case float():
            return value if math.isfinite(value) else str(value)
        case str():
            return redact_keys(str(value))
        case bytes() | bytearray():
            return f"{len(value)} bytes"
        case Mapping():
            return {str(name): _field_data(name, item, depth) for name, item in value.items()}
        case set() | frozenset():
            return sorted((to_json_types(item, depth + 1) for item in value), key=str)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {
            field.name: _field_data(field.name, getattr(value, field.name), depth)
            for field in fields
        }
    if isinstance(value, Iterable):
        return [to_json_types(item, depth + 1) for item in value]
    return redact_keys(str(value))


def _field_data(name: object, value: object, depth: int) -> Any:
    if str(name) not in _CONFIGURATION_KEY_FIELDS and is_secret_name(str(name)):
        return REDACTED
    return to_json_types(value, depth + 1)


def _collect_component(name: str, call: Callable[[], object]) -> Any:
    try:
        return to_json_types(call())
    except Exception as error:
        log_event("dump_failed", level=LogLevel.ERROR, component=name, error=repr(error))
        return {"dump_failed": redact_keys(repr(error))}
