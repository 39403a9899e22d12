"""The types of fields of configuration records, with what each allows."""

import ipaddress
import re
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_MAXIMUM_TIMEOUT_SECONDS = 86_400.0
#: The largest number of tokens that a record may give.
MAXIMUM_TOKENS = 10**12


def _ip_number(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _path_prefix(value: str) -> str:
    if not value.startswith("/") or (value != "/" and value.endswith("/")):
        raise ValueError("not a path prefix")
    return value


def _key_hash(value: str) -> str:
    if not _SHA256_PATTERN.fullmatch(value):
        raise ValueError("not a hash")
    return value


#: The name of an entry, or another short text.
EntryName = Annotated[str, Field(min_length=1, max_length=200)]
#: An IP number of version 4 or 6.
IpNumber = Annotated[str, AfterValidator(_ip_number)]
#: The leading part of a path.
PathPrefix = Annotated[str, AfterValidator(_path_prefix)]
#: The hash of a caller's key.
KeyHash = Annotated[str, AfterValidator(_key_hash)]
#: A positive number of seconds, up to a day.
Seconds = Annotated[float, Field(gt=0, le=_MAXIMUM_TIMEOUT_SECONDS)]
#: A positive number of tokens.
Tokens = Annotated[int, Field(gt=0, le=MAXIMUM_TOKENS)]
#: A positive weight, where 1 is ordinary.
Weight = Annotated[float, Field(gt=0, le=1_000)]


class ValueModel(BaseModel):
    """Base of the models: nothing is converted, and unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)
