"""The answers of stand-in engines, which depend on the request alone.

Every engine gives the same answer to the same request, so that a token lost or doubled when an
answer is continued elsewhere shows in the text.
"""

import math

import xxhash

from camphordrift.backend_servers import GenerationRequest

_FRACTION_BITS = 32


def answer_digest(request: GenerationRequest) -> str:
    """Returns eight hexadecimal digits that stand for the request and its prompt."""
    digest = xxhash.xxh32(request.request_id.encode())
    digest.update(request.prompt)
    return str(digest.hexdigest())


def answer_length(request: GenerationRequest, min_output_fraction: float) -> int:
    """Returns how many tokens the whole answer has."""
    fraction = int(answer_digest(request), 16) / 2**_FRACTION_BITS
    share = min_output_fraction + (1.0 - min_output_fraction) * fraction
    length: int = math.ceil(request.max_output_tokens * share)
    return max(1, length)


def answer_text(digest: str, first_token: int, token_count: int) -> str:
    """Returns the text of some tokens of the answer, such as ``"t7.9f86d081 "``."""
    return "".join(f"t{index}.{digest} " for index in range(first_token, first_token + token_count))
