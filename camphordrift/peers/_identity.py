"""Who a peer is, and the keys with which peers prove it."""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import Incarnation, VmId

#: Shorter keys are refused, in bytes.
MINIMUM_KEY_BYTES = 16

#: Length of a key's public name, in bytes.
KEY_NAME_BYTES = 8


@dataclass(frozen=True)
class PeerIdentity:
    """A process on an entry VM that has proved that it knows a fleet key."""

    #: The VM.
    vm_id: VmId

    #: The incarnation of its process.
    incarnation: Incarnation


class FleetKeys:
    """The secret keys that all entry VMs share; the first is preferred.

    To rotate a key, the new one is first added at the end on all VMs, then moved to the front, then
    the old one is removed. The order does not matter for acceptance: any common key serves.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("at least one fleet key is needed")
        if any(len(key) < MINIMUM_KEY_BYTES for key in keys):
            raise ValueError(f"a fleet key must have at least {MINIMUM_KEY_BYTES} bytes")
        self._by_name = {_key_name(key): key for key in keys}

    @property
    def names(self) -> tuple[bytes, ...]:
        """Names of the keys in order of preference; they reveal nothing of the keys."""
        return tuple(self._by_name)

    def find(self, name: bytes) -> Optional[bytes]:
        """Returns the key of that name, or ``None`` if this VM does not have it."""
        return self._by_name.get(name)

    def __repr__(self) -> str:
        return f"FleetKeys({len(self._by_name)} keys)"


def keyed_digest(key: bytes, label: bytes, data: bytes) -> bytes:
    """Returns HMAC-SHA256 of ``data`` for the purpose named by ``label``."""
    return hmac.digest(key, label + b"\0" + data, "sha256")


def _key_name(key: bytes) -> bytes:
    return hashlib.sha256(b"camphordrift key name\0" + key).digest()[:KEY_NAME_BYTES]
