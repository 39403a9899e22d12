"""Idempotency keys: UUIDs of version 7, which carry the time at which the caller made them."""

import uuid
from dataclasses import dataclass

from returns import result

from camphordrift.identifiers import AccountId
from camphordrift.results import Failure, ResultCode

#: How far a key's time may lie ahead of the log's clock. Part of the format, not a setting: all VMs
#: must reject the same claims.
KEY_MAX_AHEAD_SECONDS = 30.0

#: The variant and version of a UUID that carries its time.
_TIMED_UUID_VERSION = 7

#: A UUID of version 7 starts with 48 bits of milliseconds since 1970.
_TIME_SHIFT_BITS = 80

_MILLISECONDS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class CallKey:
    """A caller's idempotency key within its client account.

    Two accounts that choose the same UUID have two different keys.
    """

    #: The client account that made the key.
    account_id: AccountId

    #: The key itself.
    value: uuid.UUID

    def __post_init__(self) -> None:
        if self.value.version != _TIMED_UUID_VERSION:
            raise ValueError(f"{self.value} is not a UUID of version 7, which carries its time")

    @property
    def made_at(self) -> float:
        """When the caller made the key, in seconds since 1970 by the caller's clock."""
        return (self.value.int >> _TIME_SHIFT_BITS) / _MILLISECONDS_PER_SECOND


def parse_call_key(account_id: AccountId, text: str) -> result.Result[CallKey, Failure]:
    """Reads a key from a header; any spelling of the same UUID gives the same key."""
    try:
        value = uuid.UUID(text.strip())
        return result.Success(CallKey(account_id=account_id, value=value))
    except ValueError:
        return result.Failure(
            Failure(ResultCode.KEY_MALFORMED, "the idempotency key is not a UUID of version 7")
        )
