"""Estimates the length of a prompt, and names its leading blocks, from bytes alone.

Nothing on the way of a request tokenizes it: a prompt of a million tokens is some four megabytes,
and counting its bytes costs nothing.
"""

import xxhash

from camphordrift.identifiers import AccountId

#: Bytes of UTF-8 text that make one token, on average.
BYTES_PER_TOKEN = 4

#: Bytes of text in one block of a prompt, for the prefix cache.
PREFIX_BLOCK_BYTES = 4096

#: Leading blocks that are named; what lies behind them does not decide where a request goes.
MAX_PREFIX_BLOCKS = 64


def estimate_tokens(text: bytes) -> int:
    """Returns the estimated length of ``text`` in tokens, at least 1."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def prefix_block_hashes(account_id: AccountId, text: bytes) -> tuple[int, ...]:
    """Returns one hash for each whole leading block of ``text``.

    Each hash covers all text up to the end of its block, so equal hashes mean equal prefixes. The
    account is part of it: accounts do not see each other's cache, not even by timing.
    """
    digest = xxhash.xxh3_64(account_id.encode("utf-8") + b"\0")
    hashes = []
    whole_blocks = min(len(text) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    for block in range(whole_blocks):
        digest.update(text[block * PREFIX_BLOCK_BYTES : (block + 1) * PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
