"""The messages that VMs exchange: data classes with a name and a version."""

from dataclasses import dataclass, is_dataclass
from enum import Enum
from typing import Any, Optional

import msgpack
import pydantic
from returns.result import Failure, Result, Success

from camphordrift.peers._refusals import Refusal, RefusalReason


@dataclass(frozen=True)
class WireMessage:
    """A message as it travels."""

    #: The registered name of its type.
    name: str

    #: The sender's version of the type.
    version: int

    #: The fields by name, as msgpack.
    body: bytes


class UnknownMessageError(TypeError):
    """A message was sent whose type was never declared: a fault of the program."""


class MessageRegistry:
    """Converts declared data classes to bytes and back.

    A reader passes over fields that it does not know, and takes the default of a field that the
    sender did not know. A field that has its default does not travel, so a default must never
    change. A change that this does not cover needs a new name.
    """

    def __init__(self) -> None:
        self._adapters: dict[type, pydantic.TypeAdapter[Any]] = {}
        self._names: dict[type, tuple[str, int]] = {}
        self._types: dict[str, type] = {}

    @property
    def versions(self) -> dict[str, int]:
        """The version of each declared name."""
        return dict(self._names.values())

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Makes a data class known. The name defaults to that of the class.

        Raises ``ValueError`` if the name is taken by another class, or if it is no data class.
        """
        chosen = name or message_type.__name__
        if not is_dataclass(message_type):
            raise ValueError(f"{message_type.__name__} is not a data class")
        if self._types.get(chosen, message_type) is not message_type:
            raise ValueError(f"the message name {chosen} is already taken")
        self._types[chosen] = message_type
        self._names[message_type] = (chosen, version)
        self._adapters[message_type] = pydantic.TypeAdapter(message_type)

    def is_declared(self, message_type: type) -> bool:
        """Tells whether the class is known."""
        return message_type in self._names

    def type_of(self, name: str) -> Optional[type]:
        """Returns the class declared under ``name``."""
        return self._types.get(name)

    def encode(self, message: object) -> WireMessage:
        """Returns the message as it travels. Raises ``UnknownMessageError`` if undeclared."""
        message_type = type(message)
        if message_type not in self._names:
            raise UnknownMessageError(f"{message_type.__name__} was not declared")
        name, version = self._names[message_type]
        fields = self._adapters[message_type].dump_python(message, exclude_defaults=True)
        return WireMessage(name, version, msgpack.packb(fields, default=_plain))

    def decode(self, wire: WireMessage) -> Result[Any, Refusal]:
        """Returns the message, or why it cannot be read."""
        message_type = self._types.get(wire.name)
        if message_type is None:
            return Failure(Refusal(RefusalReason.MALFORMED, f"unknown message {wire.name[:60]}"))
        try:
            fields = msgpack.unpackb(wire.body, strict_map_key=False)
            return Success(self._adapters[message_type].validate_python(fields))
        except (ValueError, TypeError, msgpack.UnpackException):
            return Failure(Refusal(RefusalReason.MALFORMED, f"malformed {wire.name}"))


def _plain(value: object) -> object:
    match value:
        case Enum():
            return value.value
        case set() | frozenset():
            return list(value)
    raise TypeError(f"{type(value).__name__} cannot travel between VMs")
