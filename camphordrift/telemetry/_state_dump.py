"""A dump of the state of one process, on request."""

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

#: Deepest nesting that a dump shows; what lies deeper is shown as text.
MAX_DEPTH = 12

#: Fields that name an entry of the configuration, and are called keys.
_ENTRY_NAMES = frozenset({"key", "keys"})


class StateDump:
    """The components of one process that can tell their state.

    Each component registers a function that returns data classes, mappings, sequences or plain
    values. It is called in the loop when the dump is asked for, so it must not wait.

    Example::

        dump = StateDump()
        dump.register("members", lambda: members.snapshot(now()))
        body = dump.render()
    """

    def __init__(self) -> None:
        self._components: dict[str, Callable[[], object]] = {}

    @property
    def component_names(self) -> tuple[str, ...]:
        """Names of the components, in the order of their registration."""
        return tuple(self._components)

    def register(self, name: str, snapshot: Callable[[], object]) -> None:
        """Adds a component. Raises ``ValueError`` if the name is taken."""
        if name in self._components:
            raise ValueError(f"a component named {name!r} is registered already")
        self._components[name] = snapshot

    def collect(self) -> dict[str, Any]:
        """Returns the state of all components as plain data.

        A component that fails is shown with its error, since a dump is asked for when things fail.
        """
        return {name: _snapshot(name, call) for name, call in self._components.items()}

    def render(self) -> bytes:
        """Returns the dump as JSON, indented for people."""
        text = json.dumps(self.collect(), indent=2, ensure_ascii=False, allow_nan=False)
        return text.encode("utf-8", errors="backslashreplace") + b"\n"


def render_dump(dump: StateDump) -> bytes:
    """Returns the dump as JSON, indented for people."""
    return dump.render()


def plain_data(value: object, depth: int = 0) -> Any:
    """Returns ``value`` as what JSON knows: data classes as mappings, enums by value, and so on."""
    if depth > MAX_DEPTH:
        return redact_keys(str(value))
    match value:
        case None | bool():
            return value
        case Enum():
            return plain_data(value.value, depth + 1)
        case int():
            return int(value)
        case float():
            return value if math.isfinite(value) else str(value)
        case str():
            return redact_keys(str(value))
        case bytes() | bytearray():
            return f"{len(value)} bytes"
        case Mapping():
            return {str(name): _member(name, item, depth) for name, item in value.items()}
        case set() | frozenset():
            return sorted((plain_data(item, depth + 1) for item in value), key=str)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {
            field.name: _member(field.name, getattr(value, field.name), depth) for field in fields
        }
    if isinstance(value, Iterable):
        return [plain_data(item, depth + 1) for item in value]
    return redact_keys(str(value))


def _member(name: object, value: object, depth: int) -> Any:
    if str(name) not in _ENTRY_NAMES and is_secret_name(str(name)):
        return REDACTED
    return plain_data(value, depth + 1)


def _snapshot(name: str, call: Callable[[], object]) -> Any:
    try:
        return plain_data(call())
    except Exception as error:
        log_event("dump_failed", level=LogLevel.ERROR, component=name, error=repr(error))
        return {"dump_failed": redact_keys(repr(error))}
