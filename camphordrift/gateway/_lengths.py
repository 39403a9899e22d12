"""Estimates the length of a prompt and hashes its leading blocks, without tokenizing it.

VMs never tokenize prompts. A prompt of a million tokens is about four megabytes; the estimate needs
only its size in bytes, which costs next to nothing.
"""

import xxhash

from camphordrift.identifiers import AccountId

#: Average number of bytes of UTF-8 text in one token.
BYTES_PER_TOKEN = 4

#: Size in bytes of one block of a prompt; engines cache prefixes in whole blocks.
PREFIX_BLOCK_BYTES = 4096

#: Maximum number of leading blocks that are hashed; later blocks do not influence routing.
MAX_PREFIX_BLOCKS = 64


def estimate_tokens(text: bytes) -> int:
    """Returns the estimated length of ``text`` in tokens, at least 1."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def prefix_block_hashes(account_id: AccountId, text: bytes) -> tuple[int, ...]:
    """Returns one hash for each complete leading block of ``text``.

    Each hash covers all text up to the end of its block, so equal hashes mean equal prefixes. Each
    also covers the account. Otherwise an account could detect by the response time that another
    account's prompt with the same prefix is cached.
    """
    digest = xxhash.xxh3_64(account_id.encode("utf-8") + b"\0")
    hashes = []
    block_count = min(len(text) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    for block in range(block_count):
        digest.update(text[block * PREFIX_BLOCK_BYTES : (block + 1) * PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
