"""Registry of the message types that VMs exchange, and their encoding."""

from dataclasses import dataclass, is_dataclass
from enum import Enum
from typing import Any, Optional

import msgpack
import pydantic
from returns.result import Failure, Result, Success

from camphordrift.peers._refusals import Refusal, RefusalReason


@dataclass(frozen=True)
class WireMessage:
    """A message as it is sent: its type's name and version, and its encoded fields."""

    #: Declared name of the message type.
    name: str

    #: The sender's version of the message type.
    version: int

    #: The fields by name, encoded as msgpack.
    body: bytes


class UnknownMessageError(TypeError):
    """Raised when a message of an undeclared type is sent, which is a programming error."""


class MessageRegistry:
    """Encodes and decodes messages of declared data classes.

    For compatibility between versions, the reader ignores unknown fields and uses the default of a
    missing field. Fields that have their default value are not sent, so a default must never
    change. A change that these rules do not cover needs a new message name.
    """

    def __init__(self) -> None:
        self._adapters: dict[type, pydantic.TypeAdapter[Any]] = {}
        self._names: dict[type, tuple[str, int]] = {}
        self._types: dict[str, type] = {}

    @property
    def versions(self) -> dict[str, int]:
        """Version of each declared message type, by name."""
        return dict(self._names.values())

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Declares a data class as a message type. The name defaults to the class name.

        Raises ``ValueError`` if the name is declared for another class, or if ``message_type`` is
        not a data class.
        """
        message_name = name or message_type.__name__
        if not is_dataclass(message_type):
            raise ValueError(f"{message_type.__name__} is not a data class")
        if self._types.get(message_name, message_type) is not message_type:
            raise ValueError(f"message name {message_name} is already declared for another class")
        self._types[message_name] = message_type
        self._names[message_type] = (message_name, version)
        self._adapters[message_type] = pydantic.TypeAdapter(message_type)

    def is_declared(self, message_type: type) -> bool:
        """Returns whether the class is declared."""
        return message_type in self._names

    def type_of(self, name: str) -> Optional[type]:
        """Returns the class declared under ``name``, or ``None``."""
        return self._types.get(name)

    def encode(self, message: object) -> WireMessage:
        """Encodes a message. Raises ``UnknownMessageError`` if its type is not declared."""
        message_type = type(message)
        if message_type not in self._names:
            raise UnknownMessageError(f"message type {message_type.__name__} is not declared")
        name, version = self._names[message_type]
        fields = self._adapters[message_type].dump_python(message, exclude_defaults=True)
        return WireMessage(name, version, msgpack.packb(fields, default=_to_msgpack_value))

    def decode(self, wire: WireMessage) -> Result[Any, Refusal]:
        """Decodes a message; returns a refusal if its type is unknown or its body is malformed."""
        message_type = self._types.get(wire.name)
        if message_type is None:
            return Failure(Refusal(RefusalReason.MALFORMED, f"unknown message {wire.name[:60]}"))
        try:
            fields = msgpack.unpackb(wire.body, strict_map_key=False)
            return Success(self._adapters[message_type].validate_python(fields))
        except (ValueError, TypeError, msgpack.UnpackException):
            return Failure(Refusal(RefusalReason.MALFORMED, f"malformed {wire.name}"))


def _to_msgpack_value(value: object) -> object:
    match value:
        case Enum():
            return value.value
        case set() | frozenset():
            return list(value)
    raise TypeError(f"values of type {type(value).__name__} cannot be encoded as msgpack")
