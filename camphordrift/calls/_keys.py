"""Idempotency keys: UUIDs of version 7, which contain the time at which the caller created them."""

import uuid
from dataclasses import dataclass

from returns import result

from camphordrift.identifiers import AccountId
from camphordrift.results import Failure, ResultCode

#: Maximum number of seconds by which a key's time may be ahead of the log's clock. It is a constant
#: of the format and not a setting, since all VMs must reject the same claims.
KEY_MAX_AHEAD_SECONDS = 30.0

#: The UUID version that contains the creation time.
_TIMED_UUID_VERSION = 7

#: Number of bits below the time in a UUID of version 7. The time is the upper 48 bits, in
#: milliseconds since 1970.
_TIME_SHIFT_BITS = 80

_MILLISECONDS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class CallKey:
    """An idempotency key within a client account.

    Two accounts that choose the same UUID have two different keys.
    """

    #: The client account that created the key.
    account_id: AccountId

    #: The UUID sent by the caller.
    value: uuid.UUID

    def __post_init__(self) -> None:
        if self.value.version != _TIMED_UUID_VERSION:
            raise ValueError(f"{self.value} is not a UUID of version 7")

    @property
    def made_at(self) -> float:
        """When the caller created the key, in seconds since 1970 by the caller's clock."""
        return (self.value.int >> _TIME_SHIFT_BITS) / _MILLISECONDS_PER_SECOND


def parse_call_key(account_id: AccountId, text: str) -> result.Result[CallKey, Failure]:
    """Parses a key from a header; any spelling of the same UUID gives the same key.

    Fails with ``KEY_MALFORMED`` unless it is a UUID of version 7.
    """
    try:
        value = uuid.UUID(text.strip())
        return result.Success(CallKey(account_id=account_id, value=value))
    except ValueError:
        return result.Failure(
            Failure(ResultCode.KEY_MALFORMED, "the idempotency key is not a UUID of version 7")
        )
