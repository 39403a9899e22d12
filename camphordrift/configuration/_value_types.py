"""Field types of configuration records, with their constraints."""

import ipaddress
import re
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_MAXIMUM_TIMEOUT_SECONDS = 86_400.0
#: Largest number of tokens that any field of a record accepts.
MAXIMUM_TOKENS = 10**12


def _ip_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _path_prefix(value: str) -> str:
    if not value.startswith("/") or (value != "/" and value.endswith("/")):
        raise ValueError("not a path prefix")
    return value


def _key_hash(value: str) -> str:
    if not _SHA256_PATTERN.fullmatch(value):
        raise ValueError("not a SHA-256 hash in lower-case hexadecimal digits")
    return value


#: The name of an entry, or another short text.
EntryName = Annotated[str, Field(min_length=1, max_length=200)]
#: An IPv4 or IPv6 address.
IpAddress = Annotated[str, AfterValidator(_ip_address)]
#: A path prefix: begins with ``/`` and does not end with it, unless it is ``/`` itself.
PathPrefix = Annotated[str, AfterValidator(_path_prefix)]
#: SHA-256 hash of a caller's key, as 64 lower-case hexadecimal digits.
KeyHash = Annotated[str, AfterValidator(_key_hash)]
#: A positive number of seconds, up to one day.
Seconds = Annotated[float, Field(gt=0, le=_MAXIMUM_TIMEOUT_SECONDS)]
#: A positive number of tokens.
Tokens = Annotated[int, Field(gt=0, le=MAXIMUM_TOKENS)]
#: A positive weight of up to 1000; 1 is the default.
Weight = Annotated[float, Field(gt=0, le=1_000)]


class ValueModel(BaseModel):
    """Base class of the models: values are not coerced, and unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)
