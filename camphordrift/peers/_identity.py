"""Identity of peers and the shared keys that authenticate them."""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import Incarnation, VmId

#: Minimum length in bytes of a fleet key.
MINIMUM_KEY_BYTES = 16

#: Length in bytes of a key's public name.
KEY_NAME_BYTES = 8


@dataclass(frozen=True)
class PeerIdentity:
    """Identity of an entry VM's process, authenticated by its knowledge of a fleet key."""

    #: Id of the VM that the process runs on.
    vm_id: VmId

    #: Incarnation of the VM's process.
    incarnation: Incarnation


class FleetKeys:
    """The secret keys shared by all entry VMs, in order of preference.

    Two VMs can connect if they have any key in common. To rotate a key, add the new key at the end
    on all VMs, then move it to the front, then remove the old key.

    Raises ``ValueError`` if there is no key, or a key is shorter than ``MINIMUM_KEY_BYTES``.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("at least one fleet key is required")
        if any(len(key) < MINIMUM_KEY_BYTES for key in keys):
            raise ValueError(f"a fleet key must have at least {MINIMUM_KEY_BYTES} bytes")
        self._by_name = {_key_name(key): key for key in keys}

    @property
    def names(self) -> tuple[bytes, ...]:
        """Names of the keys in order of preference. They are digests and do not reveal the keys."""
        return tuple(self._by_name)

    def find(self, name: bytes) -> Optional[bytes]:
        """Returns the key with the given name, or ``None`` if this VM does not have it."""
        return self._by_name.get(name)

    def __repr__(self) -> str:
        return f"FleetKeys({len(self._by_name)} keys)"


def keyed_digest(key: bytes, label: bytes, data: bytes) -> bytes:
    """Returns the HMAC-SHA256 of ``data``, separated by purpose through ``label``."""
    return hmac.digest(key, label + b"\0" + data, "sha256")


def _key_name(key: bytes) -> bytes:
    return hashlib.sha256(b"camphordrift key name\0" + key).digest()[:KEY_NAME_BYTES]
