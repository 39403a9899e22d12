"""The outputs of stand-in engines, which depend on the request alone.

Every engine generates the same output for the same request, so that a test can see in the text
whether a token was lost or duplicated when another engine continued the output.
"""

import math

import xxhash

from camphordrift.backend_servers import GenerationRequest

_FRACTION_BITS = 32


def output_digest(request: GenerationRequest) -> str:
    """Returns eight hexadecimal digits derived from the request's id and its prompt."""
    digest = xxhash.xxh32(request.request_id.encode())
    digest.update(request.prompt)
    return str(digest.hexdigest())


def output_length(request: GenerationRequest, min_output_fraction: float) -> int:
    """Returns the number of tokens in the complete output."""
    fraction = int(output_digest(request), 16) / 2**_FRACTION_BITS
    output_fraction = min_output_fraction + (1.0 - min_output_fraction) * fraction
    length: int = math.ceil(request.max_output_tokens * output_fraction)
    return max(1, length)


def output_text(digest: str, first_token: int, token_count: int) -> str:
    """Returns the text of a range of output tokens, such as ``"t7.9f86d081 "`` for token 7."""
    return "".join(f"t{index}.{digest} " for index in range(first_token, first_token + token_count))
