"""Names of HTTP headers, and parsing of the headers that callers may set."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.results import Failure, ResultCode
from camphordrift.security import bearer_key

#: Request header with the caller's timeout in seconds for the complete request.
TIMEOUT_HEADER = "camphordrift-timeout-seconds"

#: Request header with the idempotency key of a call that must run at most once.
IDEMPOTENCY_KEY_HEADER = "idempotency-key"

#: Header with the request's id, in responses to callers and in calls to plain services.
REQUEST_ID_HEADER = "camphordrift-request-id"


@dataclass(frozen=True)
class TimeoutBounds:
    """Default and maximum timeout of a service's requests."""

    #: Timeout in seconds of requests without a timeout header.
    default_seconds: float

    #: Maximum timeout in seconds; a longer one in the header is reduced to it.
    maximum_seconds: float


def read_timeout(
    headers: Mapping[str, str], bounds: TimeoutBounds
) -> result.Result[float, Failure]:
    """Returns the request's timeout in seconds, reduced to the maximum if it is longer."""
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return result.Success(bounds.default_seconds)
    seconds = _parse_positive_number(text)
    if seconds is None:
        detail = f"{TIMEOUT_HEADER}: expected a positive number of seconds"
        return result.Failure(Failure(ResultCode.BAD_HEADER, detail))
    return result.Success(min(seconds, bounds.maximum_seconds))


def read_bearer_key(headers: Mapping[str, str]) -> result.Result[str, Failure]:
    """Returns the caller's key from the ``Authorization`` header."""
    key = bearer_key(headers.get("authorization"))
    if key is None:
        detail = "Authorization: expected 'Bearer' followed by the key of a client account"
        return result.Failure(Failure(ResultCode.UNAUTHENTICATED, detail))
    return result.Success(key)


def _parse_positive_number(text: str) -> Optional[float]:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number > 0 else None
