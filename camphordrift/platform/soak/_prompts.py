"""Prompts that consist of parts, and which parts and whole requests crash servers."""

import random
import zlib
from collections.abc import Sequence
from typing import Optional

#: First parts, and second parts, which prompts share.
FIRST_PARTS, SUBJECT_PARTS = ("f0", "f1"), ("50", "51", "52", "53")

#: Beginning of the ids of parts that crash engines.
_CRASHING_PREFIX = "dead"

#: Beginning of the bodies of requests that crash servers of any service.
_CRASHING_BODY_PREFIX = "crashing request "


def draw_sound_prompt(generator: random.Random, request_id: str) -> tuple[str, ...]:
    """Returns the ids of the parts of a prompt, of which the last is its own."""
    return (
        generator.choice(FIRST_PARTS),
        generator.choice(SUBJECT_PARTS),
        _own_part(request_id),
    )


def draw_crashing_prompt(
    generator: random.Random, request_id: str, crashing_part: str
) -> tuple[str, ...]:
    """Returns the ids of the parts of a prompt that crashes engines.

    It has the crashing part anywhere but at its end, beside parts of sound prompts.
    """
    parts = [generator.choice(FIRST_PARTS), generator.choice(SUBJECT_PARTS)]
    parts.insert(generator.randrange(len(parts) + 1), crashing_part)
    return (*parts, _own_part(request_id))


def crashing_part_id(number: int) -> str:
    """Returns the id of a part that crashes engines."""
    return f"{_CRASHING_PREFIX}{number:04x}"


def find_crashing_part(parts: Sequence[str]) -> Optional[str]:
    """Returns the part that crashes engines, if there is one."""
    return next((part for part in parts if part.startswith(_CRASHING_PREFIX)), None)


def crashing_body(number: int) -> bytes:
    """Returns the body of a request that crashes servers."""
    return f"{_CRASHING_BODY_PREFIX}{number}".encode()


def find_crashing_body(body: bytes) -> Optional[str]:
    """Returns what servers crash on if the request with this body crashes them."""
    text = body.decode("latin-1")
    return text if text.startswith(_CRASHING_BODY_PREFIX) else None


def is_whole_request(crash_cause: str) -> bool:
    """Returns whether servers crash on one request, instead of on a part of several prompts."""
    return crash_cause.startswith(_CRASHING_BODY_PREFIX)


def format_parts(parts: Sequence[str], prompt_tokens: int) -> str:
    """Returns the value of the header that lists the parts of a prompt."""
    return ",".join(f"{part}:{prompt_tokens // len(parts)}" for part in parts)


def parse_parts(value: str) -> tuple[str, ...]:
    """Returns the ids of the parts that a header lists."""
    return tuple(entry.partition(":")[0] for entry in value.split(",") if entry)


def _own_part(request_id: str) -> str:
    # Does not begin like a crashing part.
    return f"0{zlib.crc32(request_id.encode()):08x}"
