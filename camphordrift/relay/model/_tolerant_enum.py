"""Enumerations that VMs of different builds send to each other."""

from enum import Enum
from typing import ClassVar, Optional, Self

from camphordrift.event_log import LogLevel, log_event


class TolerantEnum(Enum):
    """An enumeration that takes values of newer builds as one of its own.

    Each subclass defines :meth:`_fallback`. The first time that a process takes a value so, it logs
    ``value_unknown``.
    """

    @classmethod
    def _fallback(cls) -> Self:
        """Returns the member as which an unknown value is taken."""
        raise NotImplementedError

    @classmethod
    def _missing_(cls, value: object) -> Optional[Self]:
        if not isinstance(value, str):
            return None
        fallback = cls._fallback()
        if (cls.__name__, value) not in _Logged.values:
            _Logged.values.add((cls.__name__, value))
            log_event(
                "value_unknown",
                level=LogLevel.WARNING,
                kind=cls.__name__,
                value=value,
                taken_as=fallback.value,
            )
        return fallback


class _Logged:
    #: Names of enumerations and unknown values that were logged.
    values: ClassVar[set[tuple[str, str]]] = set()
