"""Decodes JSON documents from outside."""

from typing import Annotated, TypeVar

import msgspec

_Document = TypeVar("_Document")

#: A name: of a service, an availability zone or the like.
Name = Annotated[str, msgspec.Meta(max_length=255)]

#: Largest number that the platform's formats may state, whatever it counts. All encodings of the
#: relay can represent it, and what is calculated from it is finite.
MAX_NUMBER = 2**53

#: Longest time in milliseconds for which a server may call itself cold: one day.
MAX_COLD_MS = 86_400_000.0

#: A number of bytes, requests, milliseconds since 1970 or the like.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]

#: A number of milliseconds, a weight or the like.
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

#: Smallest number that the relay divides by.
_MIN_DIVISOR = 1e-6

#: A number that the relay divides by, or whose logarithm it takes.
PositiveAmount = Annotated[float, msgspec.Meta(ge=_MIN_DIVISOR, le=MAX_NUMBER)]

#: A number of things of which there must be one.
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]


def decode_json(decoder: msgspec.json.Decoder[_Document], content: bytes) -> _Document:
    """Decodes a document.

    Raises:
        ValueError: The document is malformed, or nested too deeply.

    """
    try:
        return decoder.decode(content)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
