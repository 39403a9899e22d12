"""Types of settings fields, each with its validation and the text for its error message."""

from dataclasses import dataclass
from typing import Annotated, Any

import pydantic
from pydantic import AfterValidator, Field

from camphordrift.settings._addresses import (
    SocketAddress,
    parse_base_url,
    parse_socket_address,
)

#: Maximum value of a setting that is a time, in seconds.
MAX_SECONDS = 7 * 24 * 3600.0

#: Maximum value of a setting that is a size, in bytes.
MAX_BYTES = 1 << 40

#: Maximum value of a setting that is a count or a rate per second.
MAX_COUNT = 1_000_000_000

_NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
_VARIABLE_PATTERN = r"^[A-Z_][A-Z0-9_]{0,127}$"
_KEY_HASH_PATTERN = r"^[0-9a-f]{64}$"


@dataclass(frozen=True)
class Expected:
    """Description of a field's valid values, for error messages and the reference pages."""

    #: Completes the sentence "expected ...".
    text: str

    #: True if an invalid value must not be printed, since it may be a secret.
    secret: bool = False


class SettingsModel(pydantic.BaseModel):
    """Base class of settings models: strict types; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(strict=True, extra="forbid", frozen=True)


def _reject_wildcard_address(address: SocketAddress) -> SocketAddress:
    if address.host in ("0.0.0.0", "::"):
        raise ValueError("other VMs cannot connect to a wildcard address")
    return address


def _parse_address(value: Any) -> SocketAddress:
    if not isinstance(value, str):
        raise ValueError("not a string")
    return parse_socket_address(value)


#: The name of a VM, an availability zone, a region, a model or a backend server.
Name = Annotated[
    str,
    Field(pattern=_NAME_PATTERN),
    Expected("a name of lower-case letters, digits, '-' and '.', such as \"oliwa-1\""),
]

#: An availability zone's name.
ZoneName = Annotated[
    str,
    Field(pattern=_NAME_PATTERN),
    Expected('the name of an availability zone, such as "oliwa"'),
]

#: An address to listen on.
ListenAddress = Annotated[
    SocketAddress,
    pydantic.BeforeValidator(_parse_address),
    Expected('an IP address and a port, such as "10.0.0.1:8080"'),
]

#: An address that other VMs connect to; wildcard addresses are rejected.
PeerAddress = Annotated[
    SocketAddress,
    pydantic.BeforeValidator(_parse_address),
    AfterValidator(_reject_wildcard_address),
    Expected('an IP address that other VMs can reach and a port, such as "10.0.0.1:8082"'),
]

#: The base URL of a service of the platform.
BaseUrl = Annotated[
    str,
    AfterValidator(parse_base_url),
    Expected('an http or https URL with an IP address, such as "http://10.0.0.9:9000"'),
]

#: A time in seconds, greater than zero.
Seconds = Annotated[
    float,
    Field(gt=0, le=MAX_SECONDS, allow_inf_nan=False),
    Expected(f"a number of seconds without a unit, greater than 0 and at most {MAX_SECONDS:.0f}"),
]

#: A time in seconds, which may be zero.
SecondsOrZero = Annotated[
    float,
    Field(ge=0, le=MAX_SECONDS, allow_inf_nan=False),
    Expected(f"a number of seconds without a unit, from 0 to {MAX_SECONDS:.0f}"),
]

#: A size in bytes, greater than zero.
ByteCount = Annotated[
    int,
    Field(gt=0, le=MAX_BYTES),
    Expected(f"a whole number of bytes without a unit, from 1 to {MAX_BYTES}"),
]

#: A count, greater than zero.
Count = Annotated[int, Field(gt=0, le=MAX_COUNT), Expected(f"a whole number from 1 to {MAX_COUNT}")]

#: A rate per second, greater than zero.
PerSecond = Annotated[
    float,
    Field(gt=0, le=MAX_COUNT, allow_inf_nan=False),
    Expected(f"a number per second, greater than 0 and at most {MAX_COUNT}"),
]

#: The path of a file, absolute or relative to the directory of the settings file.
FilePath = Annotated[
    str,
    Field(min_length=1, max_length=4096, pattern=r"^[^\x00]+$"),
    Expected("the path of a file, relative to the settings file or absolute"),
]

#: The name of an environment variable.
EnvironmentVariable = Annotated[
    str,
    Field(pattern=_VARIABLE_PATTERN),
    Expected('the name of an environment variable, such as "CAMPHORDRIFT_FLEET_KEY"'),
]

#: The hash of a key, as printed by ``camphordrift keygen``.
KeyHash = Annotated[
    str,
    Field(pattern=_KEY_HASH_PATTERN),
    Expected(
        "the hash that `camphordrift keygen` prints, 64 hexadecimal digits in lower case",
        secret=True,
    ),
]

#: A boolean setting.
Switch = Annotated[bool, Expected("true or false")]
