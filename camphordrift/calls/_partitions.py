"""Assignment of claims to a fixed number of log streams, by a hash of the key."""

import xxhash

from camphordrift.calls._keys import CallKey

#: Number of claims streams. It must not change, since a key must always map to the same stream.
CLAIM_PARTITION_COUNT = 4


def partition_of_key(key: CallKey) -> int:
    """Returns the partition of a key, from 0 to ``CLAIM_PARTITION_COUNT`` - 1."""
    scoped = key.account_id.encode() + b"\x00" + key.value.bytes
    return int(xxhash.xxh64_intdigest(scoped) % CLAIM_PARTITION_COUNT)


def claim_stream(partition: int) -> str:
    """Returns the name of the log stream of a partition."""
    return f"call-claims-{partition}"
